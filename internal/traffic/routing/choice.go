package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/traffic/request"
)

// tier is the distance of an agent; nearer tiers are used first.
type tier int

const (
	sameDataCentre tier = iota
	sameRegion
	remote
)

// peer is what a client remembers of an agent.
type peer struct {
	outstanding int
	avoided     time.Time // avoided is until when the agent is avoided.
	load        float64   // load was reported by the last reply.
	reported    time.Time // reported is when load was reported.
}

// chooser chooses agents. It is safe for concurrent use.
type chooser struct {
	options Options
	agents  func() []Agent

	mu    sync.Mutex
	peers map[string]*peer
}

func newChooser(options Options, agents func() []Agent) *chooser {
	return &chooser{options: options, agents: agents, peers: map[string]*peer{}}
}

func (c *chooser) tierOf(a Agent) tier {
	switch {
	case a.Region != c.options.Region:
		return remote
	case a.DataCentre != c.options.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}

// choose returns an agent of the nearest tier that has one which did not fail
// lately. Agents that failed lately are the last resort. Agents for which
// usable is false are left out.
func (c *chooser) choose(q request.Request, usable func(Agent, tier) bool) (Agent, bool) {
	now := time.Now()
	agents := c.candidates(q)
	all := c.agents()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(all)
	groups := make([][]Agent, 2*(remote+1))
	for _, a := range agents {
		t := c.tierOf(a)
		if a.State != Alive || a.Service != q.Service || !usable(a, t) {
			continue
		}
		if now.Before(c.peer(a.Name).avoided) {
			t += remote + 1
		}
		groups[t] = append(groups[t], a)
	}
	for _, group := range groups {
		if len(group) > 0 {
			return c.chooseFrom(group, q, now), true
		}
	}
	return Agent{}, false
}

func (c *chooser) chooseFrom(group []Agent, q request.Request, now time.Time) Agent {
	if len(group) == 1 {
		return group[0]
	}
	if q.Idempotent {
		pair := rendezvous(group, q.Identity)
		if c.load(pair[0], now) <= c.load(pair[1], now)+c.options.PreferredLoadMargin {
			return pair[0]
		}
		return pair[1]
	}
	first := rand.IntN(len(group))
	second := (first + 1 + rand.IntN(len(group)-1)) % len(group)
	if c.load(group[second], now) < c.load(group[first], now) {
		return group[second]
	}
	return group[first]
}

// rendezvous orders agents by the hash of identity and name. The order of the
// others stays the same when an agent comes or goes.
func rendezvous(agents []Agent, id request.Identity) []Agent {
	ordered := slices.Clone(agents)
	score := func(a Agent) uint64 {
		return xxhash.Sum64String(a.Name + "\x00" + id.Organisation + "\x00" + id.ID)
	}
	slices.SortFunc(ordered, func(a, b Agent) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// load needs the mutex.
func (c *chooser) load(a Agent, now time.Time) float64 {
	p := c.peer(a.Name)
	reported, at := float64(a.Waiting+a.Running), a.ReportedAt
	if at.IsZero() {
		at = now
	}
	if p.reported.After(at) {
		reported, at = p.load, p.reported
	}
	age := max(0, now.Sub(at).Seconds())
	decay := math.Exp2(-age / c.options.LoadHalfLife.Seconds())
	return float64(p.outstanding) + reported*decay
}

// peer needs the mutex.
func (c *chooser) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{}
		c.peers[name] = p
	}
	return p
}

// forget bounds the memory for agents that are gone. It needs the mutex.
func (c *chooser) forget(agents []Agent) {
	const slack = 64
	if len(c.peers) <= 2*len(agents)+slack {
		return
	}
	known := map[string]bool{}
	for _, a := range agents {
		known[a.Name] = true
	}
	for name, p := range c.peers {
		if !known[name] && p.outstanding == 0 {
			delete(c.peers, name)
		}
	}
}

func (c *chooser) begin(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer(a.Name).outstanding++
}

func (c *chooser) end(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer(a.Name).outstanding--
}

// failed makes choices avoid the agent for a while.
func (c *chooser) failed(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer(a.Name).avoided = time.Now().Add(c.options.AvoidTime)
}

// report takes the load from a reply. An agent that replies is not avoided any
// more, unless the reply is a refusal.
func (c *chooser) report(a Agent, load float64, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(a.Name)
	p.load, p.reported = load, time.Now()
	if !refused {
		p.avoided = time.Time{}
	}
}

func (c *chooser) status() []AgentStatus {
	now := time.Now()
	agents := c.agents()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]AgentStatus, 0, len(agents))
	for _, a := range agents {
		p := c.peer(a.Name)
		result = append(result, AgentStatus{Agent: a, Outstanding: p.outstanding, Load: c.load(a, now), AvoidedUntil: p.avoided})
	}
	return result
}
