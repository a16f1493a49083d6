package allocation

import (
	"cmp"

	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
)

// PacePreference is which hosts a demand prefers by their pace. No host is excluded:
// a slow one is better than waiting.
type PacePreference int

// The preferences.
const (
	AnyPace    PacePreference = iota // AnyPace does not consider the pace.
	PreferFast                       // PreferFast is for work that must not take longer than on a typical host.
	SpareFast                        // SpareFast is for work with time to spare. It leaves fast hosts to other work.
)

// compare compares two hosts by the preference of the demand; the preferred one is less.
func (p PacePreference) compare(a, b pace.Class) int {
	switch p {
	case PreferFast:
		return cmp.Compare(b, a)
	case SpareFast:
		return cmp.Compare(max(a, pace.Typical), max(b, pace.Typical))
	case AnyPace:
	}
	return 0
}

// paceGroups holds the groups of paces among which the hosts of a gang are chosen, the
// best group first; all hosts come last. The members of a gang end together, so a gang is
// as slow as its slowest member and occupies the faster hosts as long: for work that must
// not be slow, hosts of one pace come first. Other work does not choose between slow and
// typical hosts, because whole hosts stay free only if the tightest come first.
var paceGroups = map[PacePreference][][]pace.Class{
	PreferFast: {{pace.Fast}, {pace.Typical}, {pace.Typical, pace.Fast}},
	SpareFast:  {{pace.Slow, pace.Typical}},
}

// fitByPace assigns the tasks of a demand like bestFit, by the preferred pace. It
// answers a fleet in which some hosts work at half or twice the pace of others: an
// urgent gang with a single slow member ends late, and one slow member holds up the
// faster hosts of its gang.
//
// It also returns the place of the group of paces that was used, less being preferred.
func (p *planner) fitByPace(d Demand, hosts []*hostState, available func(*hostState) workload.Resources) (chosen []*hostState, place int) {
	if d.Pace == AnyPace || !d.Gang {
		return p.bestFit(d, hosts, nil, available), 0
	}
	groups := paceGroups[d.Pace]
	d.Pace = SpareFast // A gang of several paces takes as few fast hosts as possible.
	for i, group := range groups {
		if chosen := p.bestFit(d, hosts, group, available); len(chosen) > 0 {
			return chosen, i
		}
	}
	return p.bestFit(d, hosts, nil, available), len(groups)
}
