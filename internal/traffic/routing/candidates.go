package routing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/traffic/request"
)

type scored struct {
	agent Agent
	score uint64
}

// firstByHash returns the first agents of each region in the rendezvous order
// of the identity, at most count of each. Dead agents and those of other
// services are left out.
func firstByHash(agents []Agent, service string, id request.Identity, count int) []Agent {
	regions := map[string][]scored{}
	var key []byte
	for _, a := range agents {
		if a.Service != service || a.State == Dead {
			continue
		}
		key = append(append(append(append(append(key[:0], a.Name...), 0), id.Organisation...), 0), id.ID...)
		regions[a.Region] = insert(regions[a.Region], scored{a, xxhash.Sum64(key)}, count)
	}
	var first []Agent
	for _, list := range regions {
		for _, s := range list {
			first = append(first, s.agent)
		}
	}
	return first
}

// insert keeps the highest scores in descending order, at most count of them.
func insert(list []scored, s scored, count int) []scored {
	order := func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.agent.Name, b.agent.Name))
	}
	if len(list) == count && order(list[count-1], s) < 0 {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, s, order)
	list = slices.Insert(list, i, s)
	return list[:min(len(list), count)]
}

// candidates are the agents to which a request may be sent. Those of a
// non-idempotent request are few and follow from its identity, so that any
// entry knows where another one may have sent it. Draining and suspected agents
// count, so that the choice does not move when an agent changes between these
// states.
func (c *chooser) candidates(q request.Request) []Agent {
	agents := c.agents()
	if q.Idempotent {
		return agents
	}
	return firstByHash(agents, q.Service, q.Identity, c.options.CandidatesPerRegion)
}

// witnesses are the agents that have to be asked about a non-idempotent
// request. They are more than the candidates, because another entry may have
// known fewer agents when it sent the request.
func (c *chooser) witnesses(q request.Request) []Agent {
	return firstByHash(c.agents(), q.Service, q.Identity, c.options.CandidatesPerRegion+c.options.ExtraLookupTargets)
}

// earlierWitnesses are the agents that would have been witnesses at some time,
// as if none of the agents were dead. An agent may be in the list twice.
func (c *chooser) earlierWitnesses(agents []Agent, q request.Request) []Agent {
	byName := map[string]Agent{}
	for _, a := range agents {
		a.State = Alive
		byName[a.Name] = a
	}
	all := slices.Collect(maps.Values(byName))
	return firstByHash(all, q.Service, q.Identity, c.options.CandidatesPerRegion+c.options.ExtraLookupTargets)
}
