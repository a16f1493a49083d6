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

// tier is the network distance of an agent; nearer tiers are used first.
type tier int

const (
	sameDataCentre tier = iota
	sameRegion
	remote
)

// agentStats are the statistics that a client keeps for each agent.
type agentStats struct {
	outstanding  int       // outstanding is the number of requests of this client without a reply.
	avoidedUntil time.Time // avoidedUntil is when the agent is no longer avoided after a failure.
	reportedLoad float64   // reportedLoad is the number of waiting and running requests in the last reply.
	reportedAt   time.Time // reportedAt is when reportedLoad was reported.
}

// chooser chooses the agent of each attempt by distance, recent failures and
// load. It is safe for concurrent use.
type chooser struct {
	options Options
	agents  func() []Agent

	mu    sync.Mutex
	stats map[string]*agentStats
}

func newChooser(options Options, agents func() []Agent) *chooser {
	return &chooser{options: options, agents: agents, stats: map[string]*agentStats{}}
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

// choose returns an agent of the nearest tier that has one without a recent
// failure, or one of the nearest tier if all have failed recently. Agents for
// which usable returns false are skipped.
func (c *chooser) choose(q request.Request, usable func(Agent, tier) bool) (Agent, bool) {
	now := time.Now()
	agents := c.candidates(q)
	all := c.agents()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pruneStats(all)
	// One group for each tier, then one for the recently failed agents of each tier.
	groups := make([][]Agent, 2*(remote+1))
	for _, a := range agents {
		t := c.tierOf(a)
		if a.State != Alive || a.Service != q.Service || !usable(a, t) {
			continue
		}
		if now.Before(c.statsOf(a.Name).avoidedUntil) {
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

// chooseFrom chooses among agents of one tier. For an idempotent request it
// prefers the first agent in rendezvous order, so that a repeat finds the stored
// answer, unless the load of the second is lower by more than
// Options.PreferredLoadMargin. For other requests it takes the less loaded of two
// random agents.
func (c *chooser) chooseFrom(group []Agent, q request.Request, now time.Time) Agent {
	if len(group) == 1 {
		return group[0]
	}
	if q.Idempotent {
		pair := rendezvousOrder(group, q.Identity)
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

// rendezvousOrder returns the agents in rendezvous order: by the hash of name and
// identity, highest first. When an agent joins or leaves, the order of the others
// stays the same.
func rendezvousOrder(agents []Agent, id request.Identity) []Agent {
	ordered := slices.Clone(agents)
	score := func(a Agent) uint64 {
		return xxhash.Sum64String(a.Name + "\x00" + id.Organisation + "\x00" + id.ID)
	}
	slices.SortFunc(ordered, func(a, b Agent) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// load returns the outstanding requests of this client plus the latest reported
// load, which decays with its age. The caller holds the mutex.
func (c *chooser) load(a Agent, now time.Time) float64 {
	s := c.statsOf(a.Name)
	reported, at := float64(a.Waiting+a.Running), a.ReportedAt
	if at.IsZero() {
		at = now
	}
	if s.reportedAt.After(at) {
		reported, at = s.reportedLoad, s.reportedAt
	}
	age := max(0, now.Sub(at).Seconds())
	decay := math.Exp2(-age / c.options.LoadHalfLife.Seconds())
	return float64(s.outstanding) + reported*decay
}

// statsOf returns the statistics of an agent and creates them if needed. The
// caller holds the mutex.
func (c *chooser) statsOf(name string) *agentStats {
	s := c.stats[name]
	if s == nil {
		s = &agentStats{}
		c.stats[name] = s
	}
	return s
}

// pruneStats removes the statistics of unlisted agents without outstanding
// requests, once the number of statistics exceeds twice the number of agents plus
// extraStats. The caller holds the mutex.
func (c *chooser) pruneStats(agents []Agent) {
	const extraStats = 64
	if len(c.stats) <= 2*len(agents)+extraStats {
		return
	}
	known := map[string]bool{}
	for _, a := range agents {
		known[a.Name] = true
	}
	for name, s := range c.stats {
		if !known[name] && s.outstanding == 0 {
			delete(c.stats, name)
		}
	}
}

func (c *chooser) addOutstanding(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsOf(a.Name).outstanding++
}

func (c *chooser) removeOutstanding(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsOf(a.Name).outstanding--
}

// recordFailure makes choose avoid the agent for Options.AvoidTime.
func (c *chooser) recordFailure(a Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsOf(a.Name).avoidedUntil = time.Now().Add(c.options.AvoidTime)
}

// recordLoad stores the load from a reply. An agent that replies is no longer
// avoided, unless the reply is a refusal.
func (c *chooser) recordLoad(a Agent, load float64, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.statsOf(a.Name)
	s.reportedLoad, s.reportedAt = load, time.Now()
	if !refused {
		s.avoidedUntil = time.Time{}
	}
}

func (c *chooser) status() []AgentStatus {
	now := time.Now()
	agents := c.agents()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]AgentStatus, 0, len(agents))
	for _, a := range agents {
		s := c.statsOf(a.Name)
		result = append(result, AgentStatus{Agent: a, Outstanding: s.outstanding, Load: c.load(a, now), AvoidedUntil: s.avoidedUntil})
	}
	return result
}
