package placement

import (
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/traffic/request"
)

// Explain describes the state of the job and what it waits for. It returns
// false if the job is unknown.
func (p *Planner) Explain(id request.Identity, now time.Time) (Explanation, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{State: e.state, Guaranteed: e.unit != 0, Workers: e.workerNames(), Reason: e.reason}
	switch {
	case e.state != Waiting:
	case p.isUnexamined(e):
		x.Reason = reasonSearchLimit
	case x.Reason == "":
		x.Reason = reasonNoPlacement
	}
	if !e.occupiesPlacement() {
		x.Waited = now.Sub(e.job.Submitted)
	}
	(&explainer{Planner: p, entry: e, now: now}).explain(&x)
	return x, true
}

// minUsefulMember is the least that a member with one accelerator needs. Free
// accelerators on a worker without these cores and memory do not count for the
// largest gang.
var minUsefulMember = worker.Resources{Cores: 1, Memory: 1 << 30, Accelerators: 1}

// Summary returns an overview of the data centre. The largest gang is the
// largest within one rack: a gang within the data centre could use all free
// accelerators, so its size would carry no information.
func (p *Planner) Summary() Summary {
	var s Summary
	for _, t := range p.tenantsByName {
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
			gang += slots(n.available(), minUsefulMember, free)
		}
		s.LargestGang = max(s.LargestGang, gang)
	}
	if s.FreeAccelerators > 0 {
		s.Fragmentation = 1 - float64(s.LargestGang)/float64(s.FreeAccelerators)
	}
	return s
}
