package membership

import (
	"context"
	"net/netip"
	"time"

	"wasabihoist/internal/cluster/wire"
)

const (
	joinRetry = time.Second // joinRetry lies between two attempts to join.
	// catchUpPause lies between the pages of the later readings.
	catchUpPause = 500 * time.Millisecond
	seedReadings = 3 // seedReadings are the later readings that also ask a seed.
)

// catchUpDelays precede the later readings of the list. The first ones come
// soon, because processes that start together miss each other in the first
// reading, and piggybacked changes miss a member now and then. A whole data centre
// that starts at once joins before the seeds know it.
var catchUpDelays = []time.Duration{time.Second, time.Second, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second}

// join reads the whole member list from the first seed that answers.
func (m *Membership) join(ctx context.Context) error {
	for {
		seeds := m.otherSeeds()
		if len(seeds) == 0 {
			break
		}
		for _, seed := range seeds {
			if m.joinThrough(ctx, seed, "") {
				m.count(func(s *Statistics) { s.Joined = true })
				m.catchUp(ctx)
				return nil
			}
		}
		if !sleep(ctx, joinRetry) {
			return nil
		}
	}
	m.count(func(s *Statistics) { s.Joined = true })
	return nil
}

// otherSeeds returns the seeds in random order without this process.
func (m *Membership) otherSeeds() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var seeds []netip.AddrPort
	for _, i := range m.random.Perm(len(m.options.Seeds)) {
		if seed := m.options.Seeds[i]; seed != m.self.member.Address {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// joinThrough reads the list of a seed, or the part of one data centre, and
// reports whether it is complete.
func (m *Membership) joinThrough(ctx context.Context, seed netip.AddrPort, centre string) bool {
	after := ""
	for {
		res, err := m.exchange(ctx, Member{Address: seed}, call{
			timeout:    m.options.ExchangeTimeout,
			fresh:      true,
			anyName:    true,
			prepare:    func(r *wire.ProbeRequest) { r.Join, r.PageAfter, r.PageDataCentre = true, after, centre },
			pageSource: listed,
		})
		if err != nil {
			return false
		}
		next := lastName(res.page, after)
		if !res.more || next == after {
			return true
		}
		after = next
	}
}

// catchUp reads the list again from members of the data centre. Processes of
// one data centre that joined through seeds elsewhere may not know each other,
// so the first readings also ask a seed for the members of the data centre.
func (m *Membership) catchUp(ctx context.Context) {
	for i, delay := range catchUpDelays {
		m.readAgain(ctx, delay)
		seeds := m.otherSeeds()
		if i < seedReadings && len(seeds) > 0 {
			m.joinThrough(ctx, seeds[0], m.self.member.DataCentre)
		}
	}
}

// readUnread reads the list of the next new member.
func (m *Membership) readUnread(ctx context.Context) error {
	m.mu.Lock()
	var peer Member
	next := len(m.unread) > 0
	if next {
		peer, m.unread = m.unread[0], m.unread[1:]
	}
	m.mu.Unlock()
	for after := ""; next; {
		page, err := m.readPage(ctx, peer, after, call{join: true})
		after, next = page, err == nil && page != ""
	}
	return nil
}

func (m *Membership) readAgain(ctx context.Context, pause time.Duration) {
	after := ""
	for sleep(ctx, pause) {
		m.mu.Lock()
		peers := m.pickPeers(1, "")
		m.mu.Unlock()
		if len(peers) == 0 {
			return
		}
		next, err := m.readPage(ctx, peers[0], after, call{join: true})
		if err == nil && next == "" {
			return
		}
		after, pause = next, catchUpPause
	}
}

func lastName(page []Member, after string) string {
	for _, p := range page {
		after = max(after, p.Name)
	}
	return after
}

// repair compares a page of the list with another process, so that a change
// that the piggybacked messages missed still arrives, and looks for members on
// the other side of a healed partition.
func (m *Membership) repair(ctx context.Context) error {
	m.repairFromPeer(ctx)
	m.reconnect(ctx)
	m.repairFromSeed(ctx)
	return nil
}

func (m *Membership) repairFromPeer(ctx context.Context) {
	m.mu.Lock()
	peers := m.pickPeers(1, "")
	after := m.repairAfter
	m.mu.Unlock()
	for _, peer := range peers {
		next, err := m.readPage(ctx, peer, after, call{})
		if err != nil {
			return
		}
		m.mu.Lock()
		m.repairAfter = next
		m.mu.Unlock()
	}
}

// readPage merges the page after a name and returns the name that the next
// page starts after.
func (m *Membership) readPage(ctx context.Context, peer Member, after string, c call) (string, error) {
	c.timeout = m.options.ExchangeTimeout
	c.pageSource = listed
	c.prepare = func(r *wire.ProbeRequest) { r.Page, r.Join, r.PageAfter = true, c.join, after }
	res, err := m.exchange(ctx, peer, c)
	if err != nil {
		return after, err
	}
	if !res.more {
		return "", nil
	}
	return lastName(res.page, after), nil
}

// reconnect tries a random dead member of the data centre. After a partition
// each side has declared the other one dead and no longer probes it.
func (m *Membership) reconnect(ctx context.Context) {
	m.mu.Lock()
	var dead []Member
	for _, r := range m.table.byCentre[m.self.member.DataCentre] {
		if r.member.State == Dead {
			dead = append(dead, r.member)
		}
	}
	var target Member
	if len(dead) > 0 {
		target = dead[m.random.IntN(len(dead))]
	}
	m.mu.Unlock()
	if len(dead) > 0 {
		_, _ = m.exchange(ctx, target, call{timeout: m.options.DirectTimeout})
	}
}

// repairFromSeed compares a page with a seed. Only one process of a data
// centre does so, because the number of seeds does not grow with the fleet.
// When a partition outlasts the retention of dead members, the parts find each
// other in this way.
func (m *Membership) repairFromSeed(ctx context.Context) {
	m.mu.Lock()
	delegate := m.isDelegate("seeds")
	after := m.seedAfter
	m.mu.Unlock()
	seeds := m.otherSeeds()
	if !delegate || len(seeds) == 0 {
		return
	}
	next, err := m.readPage(ctx, Member{Address: seeds[0]}, after, call{fresh: true, anyName: true})
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seedAfter = next
}
