package routing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/traffic/request"
)

type scoredAgent struct {
	agent Agent
	score uint64 // score is the rendezvous hash of agent name and identity.
}

// topByHash returns the first agents of each region in the rendezvous order of
// the identity, at most count per region. It skips dead agents and agents of
// other services.
func topByHash(agents []Agent, service string, id request.Identity, count int) []Agent {
	regions := map[string][]scoredAgent{}
	var key []byte
	for _, a := range agents {
		if a.Service != service || a.State == Dead {
			continue
		}
		key = append(append(append(append(append(key[:0], a.Name...), 0), id.Organisation...), 0), id.ID...)
		regions[a.Region] = insertScored(regions[a.Region], scoredAgent{a, xxhash.Sum64(key)}, count)
	}
	var first []Agent
	for _, list := range regions {
		for _, s := range list {
			first = append(first, s.agent)
		}
	}
	return first
}

// insertScored adds s to a list in descending order of scores, and cuts the list
// to the first count elements.
func insertScored(list []scoredAgent, s scoredAgent, count int) []scoredAgent {
	order := func(a, b scoredAgent) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.agent.Name, b.agent.Name))
	}
	if len(list) == count && order(list[count-1], s) < 0 {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, s, order)
	list = slices.Insert(list, i, s)
	return list[:min(len(list), count)]
}

// candidates returns the agents among which choose selects by state and service.
// An idempotent request may be sent to any agent. A non-idempotent request may be
// sent to a few agents that its identity determines, so that each entry (process
// that accepts requests) knows to which agents another entry may have sent it.
// Draining and suspected agents are included, so that the set stays the same when
// an agent changes between these states.
func (c *chooser) candidates(q request.Request) []Agent {
	agents := c.agents()
	if q.Idempotent {
		return agents
	}
	return topByHash(agents, q.Service, q.Identity, c.options.CandidatesPerRegion)
}

// lookupTargets returns the agents that are asked for a non-idempotent request
// before it is answered as not run. Lookup targets include agents beyond the
// candidates, because another entry may have known fewer agents when it sent the
// request, and so may have had other candidates.
func (c *chooser) lookupTargets(q request.Request) []Agent {
	return topByHash(c.agents(), q.Service, q.Identity, c.options.CandidatesPerRegion+c.options.ExtraLookupTargets)
}

// pastLookupTargets returns the agents that may have been lookup targets
// earlier: it treats all given agents as alive. The list of agents may have
// duplicates.
func (c *chooser) pastLookupTargets(agents []Agent, q request.Request) []Agent {
	byName := map[string]Agent{}
	for _, a := range agents {
		a.State = Alive
		byName[a.Name] = a
	}
	all := slices.Collect(maps.Values(byName))
	return topByHash(all, q.Service, q.Identity, c.options.CandidatesPerRegion+c.options.ExtraLookupTargets)
}
