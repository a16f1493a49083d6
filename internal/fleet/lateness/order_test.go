package lateness_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/fleet/lateness"
)

func waiting(organisation string, size float64, room, due time.Duration) lateness.Candidate {
	return lateness.Candidate{
		Work: lateness.Work{Class: lateness.Ordinary, Size: size, Due: due, Limit: 3 * due}, Organisation: organisation, Room: room, Need: due / 4,
	}
}

// served returns how many candidates are done by their due times if they are served one
// after the other.
func served(candidates []lateness.Candidate, order []int, load lateness.Load) int {
	count, sum := 0, load.Taken
	for _, i := range order {
		sum += candidates[i].Room
		if sum <= candidates[i].Due {
			count++
		}
	}
	return count
}

// Replays a burst of equal jobs of one kind, twice as much as fits before their due
// time. Served by latest start, each is as late as the others.
func TestBurstIsNotLateAsAWhole(t *testing.T) {
	c := qt.New(t)
	var burst []lateness.Candidate
	for i := range 20 {
		burst = append(burst, waiting("owner", 10, second, 10*second+time.Duration(i)))
	}
	burst = append(burst, waiting("owner", 10, 12*second, 9*second)) // The one with the earliest latest start doesn't fit.
	order := lateness.Order(burst, lateness.Load{}).Order
	c.Check(served(burst, order, lateness.Load{}), qt.Equals, 10)
	c.Check(order[20], qt.Equals, 20)
}

// Replays the backlog of one organisation beside a small job of another, which came last.
func TestBacklogDoesNotDelaySmallOrganisations(t *testing.T) {
	var all []lateness.Candidate
	for range 30 {
		all = append(all, waiting("large", 10, second, 10*second))
	}
	all = append(all, waiting("small", 10, second, 10*second))
	order := lateness.Order(all, lateness.Load{}).Order
	qt.New(t).Check(slices.Index(order, 30) < 10, qt.IsTrue, qt.Commentf("order %v", order))
}

// Replays the first plan after an outage: the results of what came before it would be
// worthless, those of later jobs can be in time, and a few have waited for too long.
func TestBacklogOfAnOutageDoesNotKeepItselfAlive(t *testing.T) {
	c := qt.New(t)
	var all []lateness.Candidate
	for i := range 20 {
		old := waiting("owner", 10, second, 10*second)
		old.Due, old.Limit, old.Need = -15*second, -5*second, 2*second
		old.Waited = 20*second + time.Duration(i)*second // The last nine are overdue.
		all = append(all, old)
	}
	for range 10 {
		all = append(all, waiting("owner", 10, second, 20*second))
	}
	order := lateness.Order(all, lateness.Load{}).Order
	c.Check(order[:7], qt.DeepEquals, []int{19, 18, 17, 16, 15, 14, 13}) // A quarter of the work.
	c.Check(order[7:17], qt.DeepEquals, []int{20, 21, 22, 23, 24, 25, 26, 27, 28, 29})
	order = lateness.Order(all, lateness.Load{Taken: 10 * second, Overdue: 10 * second}).Order
	c.Check(order[0], qt.Equals, 20, qt.Commentf("overdue work runs already"))
}

// Compares the order with all others: for candidates that are worth the same, no order
// has more results in time. Without an overload it is the order of the latest starts.
func TestOrderMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []lateness.Candidate
		var latest []time.Duration
		for range rapid.IntRange(1, 6).Draw(t, "count") {
			due := time.Duration(rapid.IntRange(1, 20).Draw(t, "due")) * second
			c := waiting("owner", 10, time.Duration(rapid.IntRange(1, 8).Draw(t, "room"))*second, due)
			all = append(all, c)
			latest = append(latest, c.Due-c.Need)
		}
		load := lateness.Load{Taken: time.Duration(rapid.IntRange(0, 5).Draw(t, "taken")) * second}
		order := lateness.Order(all, load).Order
		best := 0
		permute(len(all), func(other []int) { best = max(best, served(all, other, load)) })
		if best == len(all) {
			if !slices.IsSortedFunc(order, func(a, b int) int { return int(latest[a] - latest[b]) }) {
				t.Fatalf("order %v of %+v", order, all)
			}
			return
		}
		if got := inTimeOf(all, order, load); got != best {
			t.Fatalf("%d in time, want %d: order %v of %+v", got, best, order, all)
		}
	})
}

// inTimeOf returns how many of the first candidates can all be in time, served by due time.
func inTimeOf(all []lateness.Candidate, order []int, load lateness.Load) int {
	for n := len(order); n > 0; n-- {
		first := slices.Clone(order[:n])
		slices.SortStableFunc(first, func(a, b int) int { return int(all[a].Due - all[b].Due) })
		if served(all, first, load) == n {
			return n
		}
	}
	return 0
}

// permute calls f with each order of n indices.
func permute(n int, f func([]int)) {
	order := make([]int, 0, n)
	var extend func()
	extend = func() {
		if len(order) == n {
			f(order)
			return
		}
		for i := range n {
			if !slices.Contains(order, i) {
				order = append(order, i)
				extend()
				order = order[:len(order)-1]
			}
		}
	}
	extend()
}
