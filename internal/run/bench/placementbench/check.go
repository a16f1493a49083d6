package placementbench

import (
	"fmt"
	"slices"
	"strings"

	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// checker evaluates the guarantee predicate without the code of the planner: it
// tries all workers for all members of the shapes that no job occupies.
type checker struct {
	known map[string]bool // known results by state.
}

// site is one worker in the check.
type site struct {
	rack string
	free int // free or borrowed accelerators.
}

// holds reports whether all shapes can be placed on the sites at once.
func (c *checker) holds(sites []site, shapes []organisation.Shape) bool {
	slices.SortFunc(shapes, func(a, b organisation.Shape) int { return b.Total() - a.Total() })
	var key strings.Builder
	fmt.Fprint(&key, sites, shapes)
	if value, ok := c.known[key.String()]; ok {
		return value
	}
	value := tryAll(sites, shapes, 0, -1)
	c.known[key.String()] = value
	return value
}

// tryAll places the members of shapes[0] from member on, and then the others.
func tryAll(sites []site, shapes []organisation.Shape, member, previous int) bool {
	if len(shapes) == 0 {
		return true
	}
	s := shapes[0]
	if member == s.Members {
		return tryAll(sites, shapes[1:], 0, -1)
	}
	for i := max(previous, 0); i < len(sites); i++ {
		apart := previous >= 0 && (s.Adjacency == organisation.WithinWorker && i != previous ||
			s.Adjacency == organisation.WithinRack && sites[i].rack != sites[previous].rack)
		if apart || sites[i].free < s.Accelerators {
			continue
		}
		sites[i].free -= s.Accelerators
		found := tryAll(sites, shapes, member+1, i)
		sites[i].free += s.Accelerators
		if found {
			return true
		}
	}
	return false
}

// unoccupied returns the guaranteed shapes that none of the jobs occupies. Each
// job takes the smallest shape of its organisation that covers it. ok is false
// when a job is called guaranteed and its organisation has no shape left for it.
func unoccupied(entitlements []guarantee.Entitlement, guaranteed []*instance) (left []organisation.Shape, ok bool) {
	type unit struct {
		organisation string
		shape        organisation.Shape
	}
	var units []unit
	for _, e := range entitlements {
		for range e.Count {
			units = append(units, unit{e.Organisation, e.Shape})
		}
	}
	ok = true
	jobs := slices.Clone(guaranteed)
	slices.SortStableFunc(jobs, func(a, b *instance) int { return b.job.Shape.Total() - a.job.Shape.Total() })
	for _, x := range jobs {
		best := -1
		for i, u := range units {
			if u.organisation == x.job.Identity.Organisation && guarantee.Covers(u.shape, x.job.Shape) &&
				(best < 0 || u.shape.Total() < units[best].shape.Total()) {
				best = i
			}
		}
		if best < 0 {
			ok = false
			continue
		}
		units = slices.Delete(units, best, best+1)
	}
	for _, u := range units {
		left = append(left, u.shape)
	}
	return left, ok
}
