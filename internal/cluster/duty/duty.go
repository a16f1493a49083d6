// Package duty assigns duties to members by rendezvous hashing, so that all
// processes with the same member list agree on the holder without messages.
package duty

import (
	"cmp"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/rendezvous"
)

// Holder returns the member that holds a duty of a data centre: the first live
// agent in rendezvous order within the data centre, else within the region,
// else anywhere. It reports false when there is no live agent.
func Holder(duty, dataCentre, region string, members []membership.Member) (membership.Member, bool) {
	// Without the data centre in the key, the agent that ranks first would
	// hold the duties of all data centres that have no live agent.
	key := rendezvous.Hash(duty + "\x00" + dataCentre)
	var best candidate
	for _, m := range members {
		if m.Role != membership.Agent || m.State != membership.Alive {
			continue
		}
		c := candidate{member: m, tier: tierOf(m, dataCentre, region), weight: rendezvous.Combine(key, rendezvous.Hash(m.Name))}
		if c.compare(best) > 0 {
			best = c
		}
	}
	return best.member, best.tier > 0
}

// The tiers in ascending preference; zero is no candidate.
const (
	tierAnywhere = iota + 1
	tierRegion
	tierDataCentre
)

type candidate struct {
	member membership.Member
	tier   int
	weight uint64
}

// compare orders candidates by preference. Equal weights are decided by name,
// so that all processes agree.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(c.tier, o.tier), cmp.Compare(c.weight, o.weight), cmp.Compare(c.member.Name, o.member.Name))
}

func tierOf(m membership.Member, dataCentre, region string) int {
	switch {
	case m.DataCentre == dataCentre:
		return tierDataCentre
	case m.Region == region:
		return tierRegion
	default:
		return tierAnywhere
	}
}
