package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/rendezvous"
	"wasabihoist/internal/cluster/wire"
)

const (
	sweepInterval      = 200 * time.Millisecond
	expiryInterval     = 10 * time.Second // expiryInterval lies between searches for old dead members.
	loadNotifyInterval = time.Second
	// introductionTime is how long after its start a process introduces itself
	// again when it hears of another member of the data centre.
	introductionTime = 30 * time.Second
	// maxIntroductions bounds the lists that a process reads because of them.
	maxIntroductions = 16
	// introductionInterval lies between two of these lists.
	introductionInterval = 100 * time.Millisecond
)

// Transport carries probes between processes.
type Transport interface {
	// Probe performs one exchange with the process at address. With fresh it
	// must not use a connection that already exists.
	Probe(ctx context.Context, address netip.AddrPort, request *wire.ProbeRequest, fresh bool) (*wire.ProbeReply, error)
}

// Membership is the member list of one process and the controller that keeps
// it. It is safe for concurrent use.
type Membership struct {
	options   Options
	transport Transport

	mu            sync.Mutex
	random        *rand.Rand
	self          *record // self is not in the table.
	leaving       bool    // leaving stops refutations after Leave.
	table         *table
	suspects      map[string]*record       // suspects of the own data centre have a deadline.
	queue         []*record                // queue holds the changes that wait to be spread.
	unread        []Member                 // unread are the new members whose lists are still to be read.
	introductions int                      // introductions counts the members that were added to unread.
	ring          []string                 // ring holds the names that are still to be probed in this round.
	links         map[string]*link         // links exist for the data centres that this process is the delegate to.
	reachability  map[string]*reachability // reachability is shared within the data centre.
	offset        int64
	onOffset      func(peer Member, offset int64)
	repairAfter   string    // repairAfter is the last name of the previous repair page.
	seedAfter     string    // seedAfter is the last name of the previous page from a seed.
	started       time.Time // started is the time of Run.
	lastSweep     time.Time
	lastExpiry    time.Time // lastExpiry is the time of the last search for old dead members.
	loadChanged   bool
	loadNotified  time.Time
	changed       chan struct{} // changed is closed at the next change and then replaced.
	statistics    Statistics
}

// Statistics count events since the start.
type Statistics struct {
	Probes       uint64 // Probes are the direct probes sent.
	ProbesFailed uint64 // ProbesFailed had no answer, neither directly nor through others.
	IndirectOnly uint64 // IndirectOnly are probes that succeeded only through others.
	Exchanges    uint64 // Exchanges are all messages sent as a client.
	Failures     uint64 // Failures are exchanges without a valid answer.
	Suspicions   uint64
	Refutations  uint64 // Refutations of this process's own suspicion or death.
	Deaths       uint64
	Superseded   uint64 // Superseded counts reports of a newer process with this name at another address.
	Pauses       uint64 // Pauses are times at which this process did not run for a while.
	Joined       bool   // Joined is set once a seed has given the whole list.
	Queued       int    // Queued is the number of changes that wait to be spread.
	Unreachable  int    // Unreachable is the number of data centres that cannot be reached.
}

// New returns the membership of the process self. It does nothing until Run.
func New(options Options, self Member, transport Transport) *Membership {
	seed := options.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	m := &Membership{
		options:      options,
		transport:    transport,
		random:       rand.New(rand.NewPCG(seed, rendezvous.Hash(self.Name))),
		self:         &record{member: self, hash: rendezvous.Hash(self.Name)},
		table:        newTable(),
		suspects:     map[string]*record{},
		links:        map[string]*link{},
		reachability: map[string]*reachability{},
		changed:      make(chan struct{}),
	}
	m.table.touch(m.self, time.Now())
	m.enqueue(m.self)
	return m
}

// String names the controller.
func (m *Membership) String() string { return "membership" }

// Run probes other members until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.started = time.Now()
	m.lastSweep = m.started
	start := time.Duration(m.random.Int64N(int64(m.options.ProbeInterval)))
	m.mu.Unlock()
	g := group.New(ctx)
	g.Go("join", m.join)
	g.Every("sweep", sweepInterval, m.sweep)
	g.Every("introductions", introductionInterval, m.readUnread)
	g.Go("start probes", func(ctx context.Context) error {
		// Processes that start together must not probe in step.
		if !sleep(ctx, start) {
			return nil
		}
		g.Every("probe", m.options.ProbeInterval, m.probeNext)
		g.Every("recheck", m.options.ProbeInterval, m.recheckSuspects)
		g.Every("exchange", m.options.ExchangeInterval, m.exchangeCentres)
		if m.options.GossipInterval > 0 {
			g.Every("gossip", m.options.GossipInterval, m.gossip)
		}
		if m.options.RepairInterval > 0 {
			g.Every("repair", m.options.RepairInterval, m.repair)
		}
		return nil
	})
	return g.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Self returns this process as the others see it.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.member
}

// Members returns all known members, including this process, sorted by name.
// Members of an unreachable data centre are reported as suspect.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot()
}

// Watch returns the members and a channel that is closed at the next change.
// Changes of load alone are reported at most once a second.
func (m *Membership) Watch() ([]Member, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot(), m.changed
}

func (m *Membership) snapshot() []Member {
	members := make([]Member, 0, len(m.table.order)+1)
	for _, r := range m.table.order {
		members = append(members, m.effective(r.member))
	}
	i, _ := slices.BinarySearchFunc(m.table.order, m.self.member.Name, compareName)
	return slices.Insert(members, i, m.self.member)
}

func (m *Membership) effective(member Member) Member {
	reach := m.reachability[member.DataCentre]
	if reach != nil && reach.unreachable && member.Working() {
		member.State = Suspect
	}
	return member
}

// Statistics returns the counters.
func (m *Membership) Statistics() Statistics {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.statistics
	s.Queued = len(m.queue)
	for _, reach := range m.reachability {
		if reach.unreachable {
			s.Unreachable++
		}
	}
	return s
}

// SetLoad sets the load that this process reports with each message.
func (m *Membership) SetLoad(waiting, running int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.member.Waiting, m.self.member.Running = waiting, running
}

// SetAppliedOffset sets the log offset that this process reports with each
// message.
func (m *Membership) SetAppliedOffset(offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offset = offset
}

// OnPeerOffset registers a function that is called for each message with the
// sender and its applied offset. It must return quickly.
func (m *Membership) OnPeerOffset(call func(peer Member, offset int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onOffset = call
}

// SetDraining tells the others whether this process takes new work. A process
// that was draining may take work again, for example when its minion is back.
func (m *Membership) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, to := Alive, Draining
	if !draining {
		from, to = Draining, Alive
	}
	if m.self.member.State == from {
		m.changeSelf(to)
	}
}

// Leave tells the others that this process ends, so that they need not find
// out by probing. Call it before the end of Run; it returns when a few members
// of the data centre have been told or ctx ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	if m.self.member.State != Dead {
		m.changeSelf(Dead)
	}
	targets := m.pickPeers(leaveFanout, "")
	m.mu.Unlock()
	if len(targets) == 0 {
		return nil
	}
	told := make([]bool, len(targets))
	g := group.New(ctx)
	for i, target := range targets {
		g.Go("leave", func(ctx context.Context) error {
			_, err := m.exchange(ctx, target, call{timeout: m.options.ExchangeTimeout})
			told[i] = err == nil
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	if !slices.Contains(told, true) {
		return fmt.Errorf("leave: none of %d members answered", len(targets))
	}
	return nil
}

// notify wakes the watchers. The caller holds the lock.
func (m *Membership) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
