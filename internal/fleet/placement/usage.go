package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/traffic/request"
)

// ObserveUsage records what one member used at the time now, which may lie in
// the past. A report that is older than the newest one of the job is used for
// learning only.
func (p *Planner) ObserveUsage(id request.Identity, member int, used worker.Resources, now time.Time) {
	e, ok := p.entries[id]
	if !ok || !e.placed() || member < 0 || member >= len(e.place) {
		return
	}
	e.peak.Cores = max(e.peak.Cores, used.Cores)
	e.peak.Memory = max(e.peak.Memory, used.Memory)
	if now.Before(e.observed) {
		return
	}
	e.observed = now
	if used.Memory > e.member.Memory {
		p.grow(e, used.Memory)
	}
	n := e.place[member]
	tooMany := used.Cores > e.member.Cores && !e.throttled
	if (n.available().Memory < 0 || tooMany) && !slices.Contains(p.overgrown, n) {
		p.overgrown = append(p.overgrown, n)
	}
}

// grow sets more memory aside for each member.
func (p *Planner) grow(e *entry, memory int64) {
	p.charge(e, -1)
	more := worker.Resources{Memory: memory - e.member.Memory}
	e.member.Memory = memory
	p.charge(e, 1)
	for _, n := range slices.Concat(e.place, e.from) {
		n.used = n.used.Plus(more)
		if e.isLeaving() {
			n.leaving = n.leaving.Plus(more)
		}
		p.model.touch(n.rack)
		if n.available().Memory < 0 && !slices.Contains(p.overgrown, n) {
			p.overgrown = append(p.overgrown, n)
		}
	}
}

// relieve throttles tasks that use too many cores, and moves or reclaims tasks
// that have outgrown their memory.
func (r *round) relieve() {
	crowded := r.overgrown
	r.overgrown = nil
	for _, n := range crowded {
		if r.model.nodes[n.worker.Name] != n {
			continue
		}
		if n.silent {
			r.overgrown = append(r.overgrown, n)
			continue
		}
		r.throttle(n)
		for n.eventual().Memory < 0 && r.shrink(n) {
		}
	}
}

// throttle limits tasks to their cores when the worker does not have what all
// its tasks use.
func (r *round) throttle(n *node) {
	wanted := 0.0
	for _, t := range n.tasks {
		wanted += float64(t.count) * max(t.entry.member.Cores, t.entry.peak.Cores)
	}
	if wanted <= n.worker.Capacity.Cores+coreRounding {
		return
	}
	for _, t := range n.tasks {
		if t.entry.peak.Cores > t.entry.member.Cores && !t.entry.throttled && t.entry.state != Reclaiming {
			t.entry.throttled = true
			r.emit(Throttle, t.entry, "uses more cores than were set aside")
		}
	}
}

// shrink makes one job leave a worker that is short of memory: the one that has
// outgrown its declared size most, moved if it has another place and otherwise
// reclaimed if it is borrowed.
func (r *round) shrink(n *node) bool {
	choices := make([]*entry, 0, len(n.tasks))
	for _, t := range n.tasks {
		if t.entry.state == Running && !t.entry.onSilent() {
			choices = append(choices, t.entry)
		}
	}
	slices.SortStableFunc(choices, func(a, b *entry) int {
		return int((b.member.Memory-b.job.Memory)>>20) - int((a.member.Memory-a.job.Memory)>>20)
	})
	for _, x := range choices {
		if r.move(x, "outgrew the memory of its place", x) {
			return true
		}
		if x.unit == 0 {
			r.reclaim(x, x, "outgrew the memory of its place")
			return true
		}
	}
	return false
}
