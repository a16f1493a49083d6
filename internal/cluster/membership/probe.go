package membership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
)

const (
	maxRechecks = 8                      // maxRechecks bounds the suspects that one process probes again at a time.
	pauseSlack  = 500 * time.Millisecond // pauseSlack is the delay beyond which timers are taken as paused.
)

// call describes one exchange.
type call struct {
	timeout    time.Duration
	prepare    func(*wire.ProbeRequest) // prepare completes the request; it is called with the lock held.
	pageSource source
	fresh      bool // fresh takes a new connection also when the last exchange succeeded.
	join       bool // join asks for the larger pages of a join.
	anyName    bool // anyName accepts an answer from whichever process is at the address.
}

// result is what an exchange returned.
type result struct {
	message
	reached bool
	more    bool
}

// exchange sends one request to a process and merges its reply.
func (m *Membership) exchange(ctx context.Context, to Member, c call) (result, error) {
	m.mu.Lock()
	request := m.newRequest(to)
	if c.prepare != nil {
		c.prepare(request)
	}
	r := m.table.byName[to.Name]
	fresh := c.fresh || r != nil && r.failed
	m.statistics.Exchanges++
	m.mu.Unlock()

	res, err := m.send(ctx, to, request, fresh, c)

	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return res, err
	}
	if err != nil {
		m.statistics.Failures++
	}
	if r := m.table.byName[to.Name]; r != nil {
		r.failed = err != nil
	}
	return res, err
}

func (m *Membership) send(ctx context.Context, to Member, request *wire.ProbeRequest, fresh bool, c call) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := m.transport.Probe(ctx, to.Address, request, fresh)
	if err != nil {
		return result{}, fmt.Errorf("probe %s: %w", to.Name, err)
	}
	msg, err := decodeReply(reply)
	if err != nil {
		return result{}, fmt.Errorf("probe %s: %w", to.Name, err)
	}
	m.receive(msg, c.pageSource)()
	if !c.anyName && msg.from.Name != to.Name {
		return result{}, fmt.Errorf("probe %s: %s answered", to.Name, msg.from.Name)
	}
	return result{message: msg, reached: reply.Reached, more: reply.More}, nil
}

// probeNext probes the next member of the round.
func (m *Membership) probeNext(ctx context.Context) error {
	m.mu.Lock()
	target, ok := m.nextTarget()
	m.mu.Unlock()
	if ok {
		m.probe(ctx, target)
	}
	return nil
}

// nextTarget takes members in random rounds, so that each one is probed within
// a bounded time. The caller holds the lock.
func (m *Membership) nextTarget() (Member, bool) {
	if len(m.ring) == 0 {
		list := m.table.byCentre[m.self.member.DataCentre]
		for _, i := range m.random.Perm(len(list)) {
			m.ring = append(m.ring, list[i].member.Name)
		}
	}
	for len(m.ring) > 0 {
		name := m.ring[0]
		m.ring = m.ring[1:]
		r := m.table.byName[name]
		if r != nil && r.member.State != Dead && m.local(r) {
			return r.member, true
		}
	}
	return Member{}, false
}

// probe checks one member directly, then on a fresh connection and through
// others, and suspects it when nobody reaches it.
func (m *Membership) probe(ctx context.Context, target Member) {
	start := time.Now()
	m.count(func(s *Statistics) { s.Probes++ })
	if _, err := m.exchange(ctx, target, call{timeout: m.options.DirectTimeout}); err == nil {
		return
	}
	if reached, indirectOnly := m.probeAgain(ctx, target); reached {
		if indirectOnly {
			m.count(func(s *Statistics) { s.IndirectOnly++ })
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	// Timeouts of a process that was itself paused say nothing about others.
	if time.Since(start) > m.options.DirectTimeout+m.options.IndirectTimeout+pauseSlack {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statistics.ProbesFailed++
	m.suspect(target)
}

func (m *Membership) count(add func(*Statistics)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(&m.statistics)
}

// suspect starts the suspicion of a member unless it has changed since it was
// probed. The caller holds the lock.
func (m *Membership) suspect(target Member) {
	r := m.table.byName[target.Name]
	if r == nil || r.member.Incarnation != target.Incarnation || r.member.Revision != target.Revision {
		return
	}
	if r.member.Working() {
		m.statistics.Suspicions++
		report := r.member
		report.State = Suspect
		m.change(r, report, true)
	}
	if r.member.State == Suspect && !r.recheck {
		r.recheck = true
		r.deadline = time.Now().Add(m.options.SuspicionTime)
	}
}

// probeAgain probes the target on a fresh connection and, at the same time,
// through other members. It reports whether one of the ways worked. All
// connections are fresh, because open ones to the relays may be silent as well.
func (m *Membership) probeAgain(ctx context.Context, target Member) (reached, indirectOnly bool) {
	m.mu.Lock()
	relays := m.pickPeers(m.options.IndirectProbes, target.Name)
	m.mu.Unlock()
	ways := make([]bool, len(relays)+1)
	g := group.New(ctx)
	g.Go("direct probe", func(ctx context.Context) error {
		_, err := m.exchange(ctx, target, call{timeout: m.options.IndirectTimeout, fresh: true})
		ways[0] = err == nil
		m.stopIf(g, ways[0])
		return nil
	})
	for i, relay := range relays {
		g.Go("indirect probe", func(ctx context.Context) error {
			res, err := m.exchange(ctx, relay, call{
				timeout: m.options.IndirectTimeout,
				fresh:   true,
				prepare: func(r *wire.ProbeRequest) { m.askFor(r, target.Name) },
			})
			ways[i+1] = err == nil && res.reached
			m.stopIf(g, ways[i+1])
			return nil
		})
	}
	_ = g.Wait()
	return slices.Contains(ways, true), !ways[0]
}

// stopIf cancels the other ways when one has worked.
func (*Membership) stopIf(g *group.Group, worked bool) {
	if worked {
		g.Stop()
	}
}

// askFor completes a request for an indirect probe. The relay gets the record
// of a suspect, so that the suspect can refute through it.
func (m *Membership) askFor(request *wire.ProbeRequest, target string) {
	request.Target = target
	if r := m.table.byName[target]; r != nil && !r.member.Working() {
		request.Changes = append(request.Changes, Encode(r.member))
	}
}

// recheckSuspects probes the members again that this process suspects, so that
// a suspicion ends in death only after several failed probes.
func (m *Membership) recheckSuspects(ctx context.Context) error {
	m.mu.Lock()
	var targets []Member
	for _, r := range m.suspects {
		if r.recheck && len(targets) < maxRechecks {
			targets = append(targets, r.member)
		}
	}
	m.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	g := group.New(ctx)
	for _, target := range targets {
		g.Go("recheck", func(ctx context.Context) error {
			m.probe(ctx, target)
			return nil
		})
	}
	return g.Wait()
}

// sweep ends suspicions, removes old dead members and reports changes of load.
func (m *Membership) sweep(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	paused := now.Sub(m.lastSweep) > sweepInterval+pauseSlack
	m.lastSweep = now
	if paused {
		m.statistics.Pauses++
	}
	for _, r := range m.suspects {
		m.sweepSuspect(r, now, paused)
	}
	if now.Sub(m.lastExpiry) >= expiryInterval {
		m.lastExpiry = now
		m.expire(now)
	}
	if m.loadChanged && now.Sub(m.loadNotified) >= loadNotifyInterval {
		m.loadChanged, m.loadNotified = false, now
		m.notify()
	}
	return nil
}

// expire removes the members that have been dead for the retention time.
func (m *Membership) expire(now time.Time) {
	var expired []*record
	for _, r := range m.table.order {
		if r.member.State == Dead && now.Sub(r.changed) > m.options.DeadRetention {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		m.forget(r)
	}
}

func (m *Membership) sweepSuspect(r *record, now time.Time, paused bool) {
	if paused {
		// Refutations may wait unread, so the suspicion starts anew.
		r.deadline = now.Add(m.options.SuspicionTime)
		return
	}
	if now.Before(r.deadline) {
		return
	}
	if !r.recheck {
		// A process that missed the refutation must not act on hearsay.
		r.recheck = true
		r.deadline = now.Add(m.options.SuspicionTime)
		return
	}
	report := r.member
	report.State = Dead
	m.change(r, report, true)
}

// forget removes a dead member. The caller holds the lock.
func (m *Membership) forget(r *record) {
	m.table.remove(r)
	for i, queued := range m.queue {
		if queued == r {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			break
		}
	}
	if m.table.byCentre[r.member.DataCentre] == nil {
		delete(m.reachability, r.member.DataCentre)
	}
	m.notify()
}
