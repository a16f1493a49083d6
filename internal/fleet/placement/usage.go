package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/traffic/request"
)

// ObserveUsage records the resources that one member used at the given time, which
// may be in the past. A report older than the newest one of the job is used for
// learning only. It ignores unknown jobs and members out of range.
func (p *Planner) ObserveUsage(id request.Identity, member int, used worker.Resources, at time.Time) {
	e, ok := p.entries[id]
	if !ok || !e.occupiesPlacement() || member < 0 || member >= len(e.placement) {
		return
	}
	e.peak.Cores = max(e.peak.Cores, used.Cores)
	e.peak.Memory = max(e.peak.Memory, used.Memory)
	if at.Before(e.lastUsageReport) {
		return
	}
	e.lastUsageReport = at
	if used.Memory > e.member.Memory {
		p.raiseMemory(e, used.Memory)
	}
	n := e.placement[member]
	exceedsCores := used.Cores > e.member.Cores && !e.throttled
	if (n.available().Memory < 0 || exceedsCores) && !slices.Contains(p.overloaded, n) {
		p.overloaded = append(p.overloaded, n)
	}
}

// raiseMemory raises the memory allocated for each member.
func (p *Planner) raiseMemory(e *entry, memory int64) {
	p.addUsage(e, -1)
	more := worker.Resources{Memory: memory - e.member.Memory}
	e.member.Memory = memory
	p.addUsage(e, 1)
	for _, n := range slices.Concat(e.placement, e.oldPlacement) {
		n.used = n.used.Plus(more)
		if e.isReleasing() {
			n.releasing = n.releasing.Plus(more)
		}
		p.model.markChanged(n.rack)
		if n.available().Memory < 0 && !slices.Contains(p.overloaded, n) {
			p.overloaded = append(p.overloaded, n)
		}
	}
}

// relieveOverloadedWorkers throttles jobs that use too many cores, and moves or
// reclaims jobs that exceed their memory. Silent workers are tried again at the next
// call of Decide.
func (r *round) relieveOverloadedWorkers() {
	overloaded := r.overloaded
	r.overloaded = nil
	for _, n := range overloaded {
		if r.model.nodes[n.worker.Name] != n {
			continue
		}
		if n.silent {
			r.overloaded = append(r.overloaded, n)
			continue
		}
		r.throttle(n)
		for n.futureFree().Memory < 0 && r.freeMemory(n) {
		}
	}
}

// throttle decides a Throttle for the jobs that use more than their allocated cores,
// when the worker has fewer cores than all its jobs use or have allocated.
func (r *round) throttle(n *node) {
	wanted := 0.0
	for _, t := range n.jobs {
		wanted += float64(t.members) * max(t.entry.member.Cores, t.entry.peak.Cores)
	}
	if wanted <= n.worker.Capacity.Cores+coreTolerance {
		return
	}
	for _, t := range n.jobs {
		if t.entry.peak.Cores > t.entry.member.Cores && !t.entry.throttled && t.entry.state != Reclaiming {
			t.entry.throttled = true
			r.emit(Throttle, t.entry, "uses more cores than were set aside")
		}
	}
}

// freeMemory removes one job from a worker that is short of memory. It prefers
// the job that exceeds its declared memory most: the job is moved if it has
// another placement, and otherwise reclaimed if it is borrowed.
func (r *round) freeMemory(n *node) bool {
	choices := make([]*entry, 0, len(n.jobs))
	for _, t := range n.jobs {
		if t.entry.state == Running && !t.entry.isOnSilentWorker() {
			choices = append(choices, t.entry)
		}
	}
	// Excess memory is compared in MiB.
	slices.SortStableFunc(choices, func(a, b *entry) int {
		return int((b.member.Memory-b.job.Memory)>>20) - int((a.member.Memory-a.job.Memory)>>20)
	})
	for _, x := range choices {
		if r.moveElsewhere(x, "outgrew the memory of its place", x) {
			return true
		}
		if x.unit == 0 {
			r.reclaim(x, x, "outgrew the memory of its place")
			return true
		}
	}
	return false
}
