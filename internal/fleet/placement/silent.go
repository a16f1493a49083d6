package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/traffic/request"
)

// SetSilent records that the worker does not answer, or that it answers again.
// Nothing starts on a silent worker, and no guarantee counts as fulfilled
// there: its jobs are borrowed until it answers. A reclaim on a silent worker
// completes only when its lease has expired. Therefore no job is reclaimed
// from it, and jobs that wait for such a reclaim look for another placement.
func (p *Planner) SetSilent(name string, silent bool) {
	n, ok := p.model.nodes[name]
	if !ok || n.silent == silent {
		return
	}
	n.silent = silent
	p.updateSchedulable(n)
	if silent {
		p.releaseUnitsOn(name)
	}
	for _, x := range p.reclaiming {
		p.model.updateReclaimBlocked(x)
	}
	for _, e := range slices.Clone(p.holding) {
		if p.isHoldBlocked(e) {
			p.requeue(e)
		}
	}
	p.retryAllGuarantees()
}

// releaseUnitsOn releases the guaranteed shapes that have a member on the
// worker, in the order of their jobs.
func (p *Planner) releaseUnitsOn(name string) {
	var held []*entry
	for id, e := range p.unitHolders {
		if slices.Contains(p.ledger.Placement(id), name) {
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
	blocking := collection.NewSet[string]()
	for _, e := range p.holding {
		if !e.job.Urgent {
			continue
		}
		for _, name := range e.workerNames() {
			blocking.Add(name)
		}
		for _, x := range p.reclaiming {
			if overlaps(x.placement, e.placement) {
				for _, name := range x.workerNames() {
					blocking.Add(name)
				}
			}
		}
	}
	return blocking.Sorted()
}

// DelayReclaim keeps the waiting job from reclaiming others before the given
// time. Until then it starts only on free resources.
func (p *Planner) DelayReclaim(id request.Identity, from time.Time) {
	if e, ok := p.entries[id]; ok && e.state == Waiting {
		e.reclaimNotBefore = from
		p.delayedReclaims = append(p.delayedReclaims, e)
	}
}

// retryDelayedReclaims retries the jobs that may reclaim others from now on.
func (r *round) retryDelayedReclaims() {
	r.delayedReclaims = slices.DeleteFunc(r.delayedReclaims, func(e *entry) bool {
		if r.entries[e.job.Identity] != e || e.state != Waiting {
			return true
		}
		if !r.mayReclaim(e) {
			return false
		}
		e.retryReclaim = true
		e.tenant.guaranteesDue = true
		return true
	})
}

// mayReclaim reports whether the job may reclaim others.
func (r *round) mayReclaim(e *entry) bool { return !r.now.Before(e.reclaimNotBefore) }

// checkpointTimeoutFor is the checkpoint timeout of a job that is reclaimed for e. A
// second reclaim for a waiting urgent job has the rest of the timeout of the first,
// because the time limit for the start of urgent jobs counts from submission. The
// timeout is at least MinUrgentCheckpointTimeout, which also applies to the first
// reclaim after DelayReclaim. A job that is reclaimed for itself does not wait, so it
// has the full timeout.
func (r *round) checkpointTimeoutFor(e *entry) time.Duration {
	switch {
	case !e.job.Urgent:
		return r.options.CheckpointTimeout
	case e.state != Waiting, e.firstUrgentReclaim.IsZero() && e.reclaimNotBefore.IsZero():
		return r.options.UrgentCheckpointTimeout
	}
	remaining := e.firstUrgentReclaim.Add(r.options.UrgentCheckpointTimeout).Sub(r.now)
	return max(remaining, r.options.MinUrgentCheckpointTimeout)
}

// isHoldBlocked reports whether the placement of the job becomes free only
// when the lease of a silent worker expires.
func (p *Planner) isHoldBlocked(e *entry) bool {
	return e.isOnSilentWorker() ||
		slices.ContainsFunc(p.reclaiming, func(x *entry) bool { return x.reclaimBlocked && overlaps(x.placement, e.placement) })
}

// isOnSilentWorker reports whether a member of the job is on a silent worker.
func (e *entry) isOnSilentWorker() bool {
	return slices.ContainsFunc(e.placement, func(n *node) bool { return n.silent })
}

func overlaps(a, b []*node) bool {
	return slices.ContainsFunc(a, func(n *node) bool { return slices.Contains(b, n) })
}

// updateReclaimBlocked removes the resources of a job that is being reclaimed
// from the releasing ones while one of its workers is silent, and adds them
// again afterwards.
func (m *model) updateReclaimBlocked(x *entry) {
	blocked := x.isOnSilentWorker()
	if blocked == x.reclaimBlocked {
		return
	}
	x.reclaimBlocked = blocked
	for _, n := range x.placement {
		if blocked {
			n.releasing = n.releasing.Minus(x.member)
		} else {
			n.releasing = n.releasing.Plus(x.member)
		}
		m.markChanged(n.rack)
	}
}
