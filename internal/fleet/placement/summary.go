package placement

import (
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/traffic/request"
)

// Explain says why a job is where it is, and whether the job is known.
func (p *Planner) Explain(id request.Identity, now time.Time) (Explanation, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{State: e.state, Guaranteed: e.unit != 0, Workers: e.workers(), Reason: e.reason}
	switch {
	case e.state != Waiting:
	case p.isLeft(e):
		x.Reason = reasonLeft
	case x.Reason == "":
		x.Reason = reasonNoRoom
	}
	if !e.placed() {
		x.Waited = now.Sub(e.job.Submitted)
	}
	(&explainer{Planner: p, entry: e, now: now}).explain(&x)
	return x, true
}

// smallestMember is the least that an accelerator needs to be of use. Free
// accelerators on a worker without cores or memory do not count for the largest
// gang.
var smallestMember = worker.Resources{Cores: 1, Memory: 1 << 30, Accelerators: 1}

// Summary returns the state of the data centre in a few numbers. The largest
// gang is the largest within one rack: a gang without adjacency could take all
// free accelerators, and the number would say nothing.
func (p *Planner) Summary() Summary {
	var s Summary
	for _, t := range p.order {
		s.Waiting += len(t.queue)
	}
	s.Waiting += len(p.holding)
	s.Running = len(p.entries) - s.Waiting
	for _, r := range p.model.racks {
		gang := 0
		for _, n := range r.nodes {
			if !n.schedulable {
				continue
			}
			free := max(n.available().Accelerators, 0)
			s.FreeAccelerators += free
			gang += slots(n.available(), smallestMember, free)
		}
		s.LargestGang = max(s.LargestGang, gang)
	}
	if s.FreeAccelerators > 0 {
		s.Fragmentation = 1 - float64(s.LargestGang)/float64(s.FreeAccelerators)
	}
	return s
}
