package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/rendezvous"
	"wasabihoist/internal/cluster/wire"
)

const (
	// compareInterval lies between two full comparisons with the list of
	// another data centre, which find members that died unnoticed.
	compareInterval = 5 * time.Minute
	minFailures     = 3 // minFailures of different targets precede the verdict unreachable.
)

// link is the state of a delegate towards another data centre.
type link struct {
	cursor       uint64    // cursor is the table sequence up to which changes have been delivered.
	last         time.Time // last is the time of the last attempt.
	firstFailure time.Time // firstFailure is zero after a success.
	failures     int
	compareAfter string    // compareAfter is the last name of the previous page.
	compareDue   time.Time // compareDue is the time of the next comparison page.
	doubtful     []string  // doubtful members are absent from the list of their data centre.
}

// exchangeCentres performs the due exchanges of this process as a delegate.
func (m *Membership) exchangeCentres(ctx context.Context) error {
	m.mu.Lock()
	due := m.dueCentres(time.Now())
	m.mu.Unlock()
	if len(due) == 0 {
		return nil
	}
	g := group.New(ctx)
	for _, centre := range due {
		g.Go("exchange "+centre, func(ctx context.Context) error {
			m.exchangeWith(ctx, centre)
			m.checkDoubtful(ctx, centre)
			return nil
		})
	}
	return g.Wait()
}

// dueCentres returns the data centres to exchange with now. The caller holds
// the lock.
func (m *Membership) dueCentres(now time.Time) []string {
	var due []string
	for centre := range m.table.byCentre {
		if centre == m.self.member.DataCentre {
			continue
		}
		if !m.isDelegate("exchange " + min(centre, m.self.member.DataCentre) + " " + max(centre, m.self.member.DataCentre)) {
			delete(m.links, centre)
			continue
		}
		l := m.links[centre]
		if l == nil {
			l = &link{}
			m.links[centre] = l
		}
		idle := now.Sub(l.last) < m.options.ExchangeIdle
		pending := m.newestLocal() > l.cursor || !l.firstFailure.IsZero() || len(l.doubtful) > 0 || l.compareAfter != ""
		if !idle || pending {
			due = append(due, centre)
		}
	}
	slices.Sort(due)
	return due
}

// isDelegate reports whether this process is first in rendezvous order among
// the working members of its data centre.
func (m *Membership) isDelegate(duty string) bool {
	if m.leaving {
		return false
	}
	key := rendezvous.Hash(duty)
	own := rendezvous.Combine(key, m.self.hash)
	for _, r := range m.table.byCentre[m.self.member.DataCentre] {
		if r.member.Working() && rendezvous.Combine(key, r.hash) > own {
			return false
		}
	}
	return true
}

// newestLocal returns the highest sequence of a change in the own data centre.
func (m *Membership) newestLocal() uint64 {
	newest := m.self.sequence
	for _, r := range m.table.byCentre[m.self.member.DataCentre] {
		if r.member.State != Suspect {
			newest = max(newest, r.sequence)
		}
	}
	return newest
}

// exchangeWith delivers changes of the own data centre to another one and
// compares one page of its list when that is due.
func (m *Membership) exchangeWith(ctx context.Context, centre string) {
	m.mu.Lock()
	l := m.links[centre]
	target, ok := m.linkTarget(centre, l)
	if !ok {
		m.mu.Unlock()
		return
	}
	changes, cursor := m.localChanges(l.cursor)
	l.last = time.Now()
	after := l.compareAfter
	compare := !l.last.Before(l.compareDue)
	m.mu.Unlock()

	res, err := m.exchange(ctx, target, call{
		timeout:    m.options.ExchangeTimeout,
		pageSource: remote,
		prepare: func(r *wire.ProbeRequest) {
			r.Changes = append(r.Changes, m.encodeChanges(changes, nil)...)
			r.Page, r.PageAfter, r.PageDataCentre = compare, after, centre
		},
	})

	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.linkFailed(ctx, centre, l)
		return
	}
	l.cursor = cursor
	l.firstFailure, l.failures = time.Time{}, 0
	m.judge(centre, false)
	if compare {
		m.comparePage(centre, l, after, res)
	}
}

// localChanges returns the next changes of the own data centre after a cursor
// and the cursor that follows them. Suspicions stay within the data centre,
// because they end in a refutation or a death within seconds.
func (m *Membership) localChanges(cursor uint64) ([]*record, uint64) {
	var changes []*record
	for _, r := range m.table.byCentre[m.self.member.DataCentre] {
		if r.sequence > cursor && r.member.State != Suspect {
			changes = append(changes, r)
		}
	}
	slices.SortFunc(changes, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
	if len(changes) <= m.options.ExchangeChanges {
		return changes, m.newestLocal()
	}
	changes = changes[:m.options.ExchangeChanges]
	return changes, changes[len(changes)-1].sequence
}

// linkTarget picks the process of another data centre to talk to. After
// failures it alternates between a random member and the latest news, because
// all processes of a data centre may have been replaced.
func (m *Membership) linkTarget(centre string, l *link) (Member, bool) {
	var candidates []*record
	for _, r := range m.table.byCentre[centre] {
		if r.member.State != Dead {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	// The second attempt goes to the same process on a fresh connection.
	if l.failures > 1 && l.failures%2 == 0 {
		return candidates[m.random.IntN(len(candidates))].member, true
	}
	if l.failures > 1 {
		newest := slices.MaxFunc(candidates, func(a, b *record) int { return cmp.Compare(a.sequence, b.sequence) })
		return newest.member, true
	}
	key := rendezvous.Hash("exchange " + min(centre, m.self.member.DataCentre) + " " + max(centre, m.self.member.DataCentre))
	first := slices.MaxFunc(candidates, func(a, b *record) int {
		return cmp.Compare(rendezvous.Combine(key, a.hash), rendezvous.Combine(key, b.hash))
	})
	return first.member, true
}

func (m *Membership) linkFailed(ctx context.Context, centre string, l *link) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if l.firstFailure.IsZero() {
		l.firstFailure = now
	}
	l.failures++
	if l.failures >= minFailures && now.Sub(l.firstFailure) >= m.options.UnreachableAfter {
		m.judge(centre, true)
		// Members may be replaced while the data centre is unreachable.
		l.cursor, l.compareAfter, l.compareDue = 0, "", now
	}
}

// comparePage notes the members that are missing from the list of their own
// data centre.
func (m *Membership) comparePage(centre string, l *link, after string, res result) {
	listed := map[string]bool{res.from.Name: true}
	last := after
	for _, p := range res.page {
		listed[p.Name] = true
		last = max(last, p.Name)
	}
	for _, r := range m.table.byCentre[centre] {
		name := r.member.Name
		inRange := name > after && (name <= last || !res.more)
		if inRange && !listed[name] && r.member.State != Dead {
			l.doubtful = append(l.doubtful, name)
		}
	}
	if res.more && last > after {
		l.compareAfter = last
		return
	}
	l.compareAfter = ""
	l.compareDue = time.Now().Add(compareInterval)
}

// checkDoubtful probes one doubtful member and declares it dead when it does
// not answer.
func (m *Membership) checkDoubtful(ctx context.Context, centre string) {
	m.mu.Lock()
	l := m.links[centre]
	if l == nil || len(l.doubtful) == 0 || l.failures > 0 {
		m.mu.Unlock()
		return
	}
	r := m.table.byName[l.doubtful[0]]
	l.doubtful = l.doubtful[1:]
	if r == nil || r.member.State == Dead {
		m.mu.Unlock()
		return
	}
	target := r.member
	m.mu.Unlock()
	if _, err := m.exchange(ctx, target, call{timeout: m.options.ExchangeTimeout}); err == nil || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	target.State = Dead
	m.merge(target, rumour)
}
