package membership

import (
	"context"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
)

// joinPageFactor is the number of ordinary pages in one page of a join.
const joinPageFactor = 4

// HandleProbe answers a probe. The server of the Peer service calls it.
func (m *Membership) HandleProbe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error) {
	msg, err := decodeRequest(request)
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.InvalidArgument, err.Error()), err)
	}
	m.receive(msg, listed)()
	reached := m.relay(ctx, request.Target)

	m.mu.Lock()
	defer m.mu.Unlock()
	reply := m.newReply(msg, request)
	reply.Reached = reached
	return reply, nil
}

// relay probes a member on behalf of another one.
func (m *Membership) relay(ctx context.Context, name string) bool {
	m.mu.Lock()
	self := name == m.self.member.Name
	r := m.table.byName[name]
	var target Member
	if r != nil {
		target = r.member
	}
	m.mu.Unlock()
	if r == nil || self {
		return self
	}
	_, err := m.exchange(ctx, target, call{timeout: m.options.DirectTimeout, fresh: true})
	return err == nil
}

// newReply builds the reply to a request. The caller holds the lock.
func (m *Membership) newReply(from message, request *wire.ProbeRequest) *wire.ProbeReply {
	to := from.from
	var required []*record
	// The sender is told of its own record when that is not alive, and the
	// result of a relayed probe may be a refutation.
	if r := m.table.byName[to.Name]; r != nil && !r.member.Working() {
		required = append(required, r)
	}
	if r := m.table.byName[request.Target]; r != nil && r.member.Name != to.Name {
		required = append(required, r)
	}
	reply := &wire.ProbeReply{From: Encode(m.self.member), AppliedOffset: m.offset}
	if to.DataCentre == m.self.member.DataCentre {
		reply.Changes = m.encodeChanges(required, m.piggyback(to.Name, append(from.changes, from.from)))
		reply.Reachability = m.encodeReachability(request.Join || request.Page)
	} else {
		reply.Changes = m.encodeChanges(required, nil)
	}
	if request.Join || request.Page {
		m.addPage(reply, request)
	}
	return reply
}

func (m *Membership) addPage(reply *wire.ProbeReply, request *wire.ProbeRequest) {
	size := m.options.PageSize
	if request.Join {
		size *= joinPageFactor
	}
	page, more := m.table.after(request.PageAfter, request.PageDataCentre, min(size, maxDecodedMembers))
	for _, r := range page {
		reply.Page = append(reply.Page, Encode(r.member))
	}
	reply.More = more
}
