package placementbench

import (
	"slices"
	"strings"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/tenancy/organisation"
)

// guaranteed returns the running jobs that the planner calls guaranteed. The
// label is a claim of the planner; verify checks what follows from it.
func (r *replay) guaranteed(x *centre) []*instance {
	var list []*instance
	for _, i := range x.running {
		if s, ok := x.planner.Explain(i.job.Identity, r.now); ok && s.Guaranteed {
			list = append(list, i)
		}
	}
	return list
}

// inspect checks one decision before it is carried out.
func (r *replay) inspect(x *centre, i *instance, d placement.Decision, guaranteed []*instance) {
	switch d.Kind {
	case placement.Start, placement.Move:
		if !whole(x, i, d.Workers) {
			r.measured.split++
		}
		s, _ := x.planner.Explain(d.Job, r.now)
		if d.Kind == placement.Start && !s.Guaranteed && i.job.Shape.Total() > 0 {
			x.lent = true
		}
	case placement.Reclaim:
		if slices.Contains(guaranteed, i) {
			r.measured.violations++
		}
	}
}

// whole reports whether the place has a present worker for each member within
// the adjacency of the job.
func whole(x *centre, i *instance, workers []string) bool {
	if len(workers) != i.job.Shape.Members {
		return false
	}
	first := x.workers[workers[0]]
	for _, name := range workers {
		k, ok := x.workers[name]
		near := i.job.Shape.Adjacency == organisation.WithinDataCentre || k.Rack == first.Rack
		if i.job.Shape.Adjacency == organisation.WithinWorker {
			near = k.Name == first.Name
		}
		if !ok || !near {
			return false
		}
	}
	return true
}

// verify checks the state after the decisions were carried out: no worker has
// more accelerators in use than it has, and the predicate holds if it held
// before or if accelerators were lent.
func (r *replay) verify(x *centre) {
	for name, n := range x.used() {
		if n > x.workers[name].Capacity.Accelerators {
			r.measured.oversubs++
		}
	}
	held := r.holds(x)
	if !held && (x.held || x.lent) {
		r.measured.violations++
	}
	x.held, x.lent = held, false
}

// holding returns the jobs that wait for others to leave a guaranteed shape.
func (r *replay) holding(x *centre) []*instance {
	var list []*instance
	for _, i := range r.byID {
		s, ok := x.planner.Explain(i.job.Identity, r.now)
		if ok && i.home == nil && s.Guaranteed && s.State == placement.Holding {
			held := *i
			held.workers = s.Workers
			list = append(list, &held)
		}
	}
	slices.SortFunc(list, func(a, b *instance) int {
		return strings.Compare(a.job.Identity.String(), b.job.Identity.String())
	})
	return list
}

// holds evaluates the predicate with the independent check. Jobs that still wait
// for their guaranteed shape count as well; they are looked up only when the
// predicate does not hold without them.
func (r *replay) holds(x *centre) bool {
	guaranteed := r.guaranteed(x)
	if r.holdsWith(x, guaranteed) {
		return true
	}
	return r.holdsWith(x, append(guaranteed, r.holding(x)...))
}

func (r *replay) holdsWith(x *centre, guaranteed []*instance) bool {
	left, ok := unoccupied(x.entitled, guaranteed)
	if !ok {
		r.measured.violations++
	}
	sites := make([]site, 0, len(x.workers))
	taken := map[string]int{}
	for _, i := range guaranteed {
		for _, name := range i.workers {
			taken[name] += member(i.job)
		}
	}
	for _, k := range r.fleet {
		if _, ok := x.workers[k.Name]; ok && k.DataCentre == x.name {
			sites = append(sites, site{rack: k.Rack, free: k.Capacity.Accelerators - taken[k.Name]})
		}
	}
	return r.checker.holds(sites, left)
}
