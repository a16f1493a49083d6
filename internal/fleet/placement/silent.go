package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/traffic/request"
)

// SetSilent says that the worker has stopped answering, or that it answers
// again. Nothing starts on a silent worker, and no guarantee counts as kept
// there: its jobs are borrowed until it answers. A reclaim on it is complete
// only when its lease has lapsed, so no job is asked to leave it, and jobs that
// wait for such a reclaim look for another place.
func (p *Planner) SetSilent(name string, silent bool) {
	n, ok := p.model.nodes[name]
	if !ok || n.silent == silent {
		return
	}
	n.silent = silent
	p.reopen(n)
	if silent {
		p.releaseUnitsOn(name)
	}
	for _, x := range p.leaving {
		p.model.setStuck(x)
	}
	for _, e := range slices.Clone(p.holding) {
		if p.isStuck(e) {
			p.requeue(e)
		}
	}
	p.guaranteesChanged()
}

// releaseUnitsOn ends the holds on guaranteed shapes that have a part on the
// worker, in the order of the jobs.
func (p *Planner) releaseUnitsOn(name string) {
	var held []*entry
	for id, e := range p.holders {
		if slices.Contains(p.ledger.Place(id), name) {
			held = append(held, e)
		}
	}
	slices.SortFunc(held, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range held {
		p.releaseUnit(e)
	}
}

// WorkersBlockingUrgentStarts returns, in order of name, the workers that have to
// answer before an urgent job can start: those of its placement and those of the
// jobs that are being reclaimed from it.
func (p *Planner) WorkersBlockingUrgentStarts() []string {
	awaited := collection.NewSet[string]()
	for _, e := range p.holding {
		if !e.job.Urgent {
			continue
		}
		for _, name := range e.workers() {
			awaited.Add(name)
		}
		for _, x := range p.leaving {
			if overlap(x.place, e.place) {
				for _, name := range x.workers() {
					awaited.Add(name)
				}
			}
		}
	}
	return awaited.Sorted()
}

// DelayReclaim keeps the waiting job from asking others to leave before a time.
// It starts on free room meanwhile.
func (p *Planner) DelayReclaim(id request.Identity, from time.Time) {
	if e, ok := p.entries[id]; ok && e.state == Waiting {
		e.reclaimFrom = from
		p.delayed = append(p.delayed, e)
	}
}

// openReclaim tries jobs again that may ask others to leave from now on.
func (r *round) openReclaim() {
	r.delayed = slices.DeleteFunc(r.delayed, func(e *entry) bool {
		if r.entries[e.job.Identity] != e || e.state != Waiting {
			return true
		}
		if !r.mayReclaim(e) {
			return false
		}
		e.retry = true
		e.tenant.changed = true
		return true
	})
}

// mayReclaim reports whether the job may ask others to leave.
func (r *round) mayReclaim(e *entry) bool { return !r.now.Before(e.reclaimFrom) }

// checkpointFor is how long a job that leaves for e has for its checkpoint. A
// later choice of an urgent job has what the first one has left, because the
// time in which urgent work starts counts from its submission.
func (r *round) checkpointFor(e *entry) time.Duration {
	switch {
	case !e.job.Urgent:
		return r.options.CheckpointTimeout
	case e.state != Waiting, e.urged.IsZero() && e.reclaimFrom.IsZero():
		return r.options.UrgentCheckpointTimeout
	}
	left := e.urged.Add(r.options.UrgentCheckpointTimeout).Sub(r.now)
	return max(left, r.options.MinUrgentCheckpointTimeout)
}

// isStuck reports whether the place of the job becomes free only when the lease
// of a silent worker has lapsed.
func (p *Planner) isStuck(e *entry) bool {
	return e.onSilent() ||
		slices.ContainsFunc(p.leaving, func(x *entry) bool { return x.stuck && overlap(x.place, e.place) })
}

// onSilent reports whether a member of the job is on a silent worker.
func (e *entry) onSilent() bool {
	return slices.ContainsFunc(e.place, func(n *node) bool { return n.silent })
}

func overlap(a, b []*node) bool {
	return slices.ContainsFunc(a, func(n *node) bool { return slices.Contains(b, n) })
}

// setStuck takes the room of a job that leaves a silent worker out of what is
// expected to become free, or puts it back.
func (m *model) setStuck(x *entry) {
	stuck := x.onSilent()
	if stuck == x.stuck {
		return
	}
	x.stuck = stuck
	for _, n := range x.place {
		if stuck {
			n.leaving = n.leaving.Minus(x.member)
		} else {
			n.leaving = n.leaving.Plus(x.member)
		}
		m.touch(n.rack)
	}
}
