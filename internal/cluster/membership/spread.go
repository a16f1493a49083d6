package membership

import (
	"cmp"
	"context"
	"math"
	"slices"

	"wasabihoist/internal/cluster/wire"
)

const leaveFanout = 8

// enqueue puts a change at the head of the queue. The caller holds the lock.
func (m *Membership) enqueue(r *record) {
	r.transmits = 0
	if !r.queued {
		r.queued = true
		m.queue = append(m.queue, r)
	}
}

// transmitLimit is the number of messages that carry a change. It grows with
// the logarithm of the group size.
func (m *Membership) transmitLimit() int {
	size := float64(len(m.table.byCentre[m.self.member.DataCentre]) + 2)
	return m.options.RetransmitFactor * int(math.Ceil(math.Log10(size)))
}

// piggyback takes the changes for one message within the data centre, those
// with the fewest transmissions first. It leaves out what the receiver has
// just sent and the receiver itself. The caller holds the lock.
func (m *Membership) piggyback(receiver string, received []Member) []*record {
	if len(m.queue) > m.options.ChangesPerMessage {
		slices.SortFunc(m.queue, func(a, b *record) int {
			return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.sequence, a.sequence))
		})
	}
	var picked []*record
	for _, r := range m.queue {
		if len(picked) == m.options.ChangesPerMessage {
			break
		}
		if r.member.Name != receiver && !slices.ContainsFunc(received, r.member.sameVersion) {
			r.transmits++
			picked = append(picked, r)
		}
	}
	limit := m.transmitLimit()
	m.queue = slices.DeleteFunc(m.queue, func(r *record) bool {
		r.queued = r.transmits < limit
		return !r.queued
	})
	return picked
}

// encodeChanges joins the required and the piggybacked records. The process
// itself is left out, because each message names its sender.
func (m *Membership) encodeChanges(required, extra []*record) []*wire.Member {
	var changes []*wire.Member
	for _, r := range required {
		changes = append(changes, Encode(r.member))
	}
	for _, r := range extra {
		if r != m.self && !slices.Contains(required, r) {
			changes = append(changes, Encode(r.member))
		}
	}
	return changes
}

// encodeReachability returns the verdicts for one message. Settled verdicts
// are repeated only with a page of the list, for processes that missed them.
func (m *Membership) encodeReachability(all bool) []*wire.Reachability {
	var verdicts []*wire.Reachability
	limit := m.transmitLimit()
	for centre, reach := range m.reachability {
		if reach.revision == 0 || !all && reach.transmits >= limit || len(verdicts) == maxReachability {
			continue
		}
		reach.transmits++
		verdicts = append(verdicts, &wire.Reachability{DataCentre: centre, Revision: reach.revision, Unreachable: reach.unreachable})
	}
	return verdicts
}

// newRequest builds a request to a process of the data centre. It tells the
// receiver of its own record when that is not alive, so that the receiver can
// refute. The caller holds the lock.
func (m *Membership) newRequest(to Member, required ...*record) *wire.ProbeRequest {
	if r := m.table.byName[to.Name]; r != nil && !r.member.Working() {
		required = append(required, r)
	}
	request := &wire.ProbeRequest{From: Encode(m.self.member), AppliedOffset: m.offset}
	if to.DataCentre != m.self.member.DataCentre {
		request.Changes = m.encodeChanges(required, nil)
		return request
	}
	request.Changes = m.encodeChanges(required, m.piggyback(to.Name, nil))
	request.Reachability = m.encodeReachability(false)
	return request
}

// pending reports whether anything waits to be spread.
func (m *Membership) pending() bool {
	if len(m.queue) > 0 {
		return true
	}
	limit := m.transmitLimit()
	for _, reach := range m.reachability {
		if reach.revision > 0 && reach.transmits < limit {
			return true
		}
	}
	return false
}

// pickPeers returns up to n random members of the data centre that are
// believed to be up. The caller holds the lock.
func (m *Membership) pickPeers(n int, except string) []Member {
	var picked []Member
	list := m.table.byCentre[m.self.member.DataCentre]
	for _, i := range m.random.Perm(len(list)) {
		peer := list[i].member
		if len(picked) == n {
			break
		}
		if peer.Working() && peer.Name != except {
			picked = append(picked, peer)
		}
	}
	return picked
}

// gossip sends one extra message while changes wait to be spread.
func (m *Membership) gossip(ctx context.Context) error {
	m.mu.Lock()
	var targets []Member
	if m.pending() {
		targets = m.pickPeers(1, "")
	}
	m.mu.Unlock()
	for _, target := range targets {
		// A lost message is not evidence; the probes decide about liveness.
		// After a failure the message goes out again on a fresh connection.
		if _, err := m.exchange(ctx, target, call{timeout: m.options.DirectTimeout}); err != nil {
			_, _ = m.exchange(ctx, target, call{timeout: m.options.DirectTimeout})
		}
	}
	return nil
}
