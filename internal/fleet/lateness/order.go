package lateness

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
)

// Candidate is waiting work of one rank that competes for the same room.
type Candidate struct {
	Work
	Organisation string
	Need         time.Duration // Need is the time that the work still takes once it has its room.
	Room         time.Duration // Room is for how long the work would take all of the room, if it could use it at once.
	Waited       time.Duration // Waited is the time since it could have started first.
}

// Load is the work that holds the room for which candidates compete.
type Load struct {
	Taken   time.Duration // Taken is for how long it would take all of the room.
	Overdue time.Duration // Overdue is the part of Taken that was overdue when it started.
}

const (
	// MaxWait is the wait after which work that can't be in time is overdue. Some of
	// it goes before all other work of its rank, so that a lasting overload starves
	// nobody.
	MaxWait = 30 * time.Second
	// overdueShare is the share of all work up to which overdue work goes first. More
	// would let the backlog of an overload delay all that comes after it.
	overdueShare = 0.25
)

// Service is the order in which candidates are served.
type Service struct {
	Order     []int // Order holds the indices of the candidates.
	Overdue   int   // Overdue counts those that go first because they have waited for too long.
	Late      int   // Late counts those that give way, with a result that can be late but not worthless.
	Worthless int   // Worthless counts those whose result would be worthless.
}

// group is a part of the order of service. Groups are served one after the other.
type group int

const (
	overdue   group = iota // Overdue candidates have waited for too long.
	inTime                 // The results of these can all be in time.
	late                   // The results of these can be late, but not worthless.
	worthless              // The results of these would be worthless in any case.
)

// Order returns the order in which to serve waiting candidates.
//
// While all can be in time, the earliest latest start goes first. In an overload that
// order makes everything late in turn, so the candidates that are worth least for the
// room that they take are served after those that can then be in time, and what would
// be worthless after that. Of an organisation that has more than its share of the
// waiting work, more goes into the later groups.
func Order(candidates []Candidate, load Load) Service {
	groups := make([]group, len(candidates))
	density := densities(candidates)
	taken := load.Taken
	first := collection.NewSet(overdueFirst(candidates, load)...)
	for i := range first {
		taken += candidates[i].Room
	}
	var dueFirst []int
	for i, c := range candidates {
		switch {
		case first.Has(i):
		case c.Need > c.Limit:
			groups[i] = worthless
		default:
			groups[i] = late
			if c.Need <= c.Due {
				dueFirst = append(dueFirst, i)
			}
		}
	}
	slices.SortFunc(dueFirst, func(a, b int) int {
		return cmp.Or(cmp.Compare(candidates[a].Due, candidates[b].Due), cmp.Compare(a, b))
	})
	for _, i := range feasible(candidates, dueFirst, density, taken) {
		groups[i] = inTime
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(groups[a], groups[b]), cmp.Compare(key(candidates[a], groups[a], density[a]), key(candidates[b], groups[b], density[b])), cmp.Compare(a, b))
	})
	counts := make(map[group]int)
	for _, g := range groups {
		counts[g]++
	}
	return Service{Order: order, Overdue: counts[overdue], Late: counts[late], Worthless: counts[worthless]}
}

// key returns the value by which candidates of a group are sorted.
func key(c Candidate, g group, density float64) float64 {
	switch g {
	case inTime:
		return (c.Due - c.Need).Seconds()
	case late: // Whether such a result is early or late within the group changes nothing.
		return -density
	default:
		return -c.Waited.Seconds()
	}
}

// feasible returns those of some candidates, given by increasing due time, that can all
// be in time. Whenever the candidates so far don't fit before a due time, it leaves out
// the one with the least density. This is the algorithm of Moore and Hodgson, which is
// exact if all are worth the same.
func feasible(candidates []Candidate, dueFirst []int, density []float64, taken time.Duration) []int {
	leastFirst := collection.NewHeap(
		func(a, b int) bool { return cmp.Or(cmp.Compare(density[a], density[b]), cmp.Compare(a, b)) < 0 },
		func(int, int) {})
	left := collection.NewSet[int]()
	sum := taken
	for _, i := range dueFirst {
		leastFirst.Push(i)
		sum += candidates[i].Room
		for leastFirst.Len() > 0 && sum > candidates[i].Due {
			least := leastFirst.Remove(0)
			sum -= candidates[least].Room
			left.Add(least)
		}
	}
	return slices.DeleteFunc(slices.Clone(dueFirst), left.Has)
}

// densities returns what a result in time is worth for the room that it takes. For
// organisations that wait for more than an equal share of the room it is reduced in
// proportion.
func densities(candidates []Candidate) []float64 {
	byOrganisation := make(map[string]float64)
	sum := 0.0
	for _, c := range candidates {
		byOrganisation[c.Organisation] += c.Room.Seconds()
		sum += c.Room.Seconds()
	}
	share := sum / float64(max(1, len(byOrganisation)))
	list := make([]float64, len(candidates))
	for i, c := range candidates {
		list[i] = c.Worth() / max(c.Room.Seconds(), minRoom) * min(1, share/max(byOrganisation[c.Organisation], minRoom))
	}
	return list
}

// minRoom is the least room, in seconds, with which densities are computed.
const minRoom = 1e-6

// isOverdue reports whether the candidate has waited for too long.
func (c Candidate) isOverdue() bool { return c.Waited > MaxWait && c.Need > c.Due }

// overdueFirst returns the overdue candidates that go first: those that have waited
// longest, up to overdueShare of all work, and one in any case.
func overdueFirst(candidates []Candidate, load Load) []int {
	var list []int
	all := load.Taken
	for i, c := range candidates {
		all += c.Room
		if c.isOverdue() {
			list = append(list, i)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(candidates[b].Waited, candidates[a].Waited) })
	sum := load.Overdue
	for n, i := range list {
		sum += candidates[i].Room
		if sum > time.Duration(overdueShare*float64(all)) && (n > 0 || load.Overdue > 0) {
			return list[:n]
		}
	}
	return list
}
