// Package placement decides which job of a data centre runs on which workers,
// and when running jobs give their accelerators back.
package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// MaxMembers is the largest gang that is accepted.
const MaxMembers = 64

// Options are the settings of a Planner.
type Options struct {
	AttemptLimit int // AttemptLimit bounds the waiting jobs that one call of Decide tries to place.
}

// Default returns the options used in production.
func Default() Options {
	return Options{AttemptLimit: 256}
}

// entry is one job in the planner.
type entry struct {
	job     job.Job
	state   State
	member  worker.Resources // member is what the model sets aside for each member.
	place   []*node          // place has one worker for each member; nil while the job waits.
	started time.Time
	reason  string
}

func (e *entry) workers() []string {
	names := make([]string, 0, len(e.place))
	for _, n := range e.place {
		names = append(names, n.worker.Name)
	}
	return names
}

// Planner places the jobs of one data centre. It is not safe for concurrent
// use: its owner calls it from one goroutine. It never reads the clock.
type Planner struct {
	policy        Policy
	options       Options
	configuration organisation.Configuration
	model         *model
	entries       map[request.Identity]*entry
	waiting       []*entry // waiting in order of submission.
}

// New returns a planner without workers, jobs or configuration.
func New(policy Policy, options Options) *Planner {
	return &Planner{policy: policy, options: options, model: newModel(), entries: map[request.Identity]*entry{}}
}

// SetConfiguration replaces the configuration. Running jobs go on.
func (p *Planner) SetConfiguration(c organisation.Configuration) { p.configuration = c }

// AddWorker adds a worker, or replaces the capacity of a known one.
func (p *Planner) AddWorker(w worker.Worker) {
	if n, ok := p.model.nodes[w.Name]; ok && n.worker.Rack == w.Rack {
		n.worker = w
		return
	}
	p.RemoveWorker(w.Name)
	p.model.add(w)
}

// RemoveWorker removes a worker and returns the jobs that lost a member. These
// keep the rest of their place until Ended or Released is called.
func (p *Planner) RemoveWorker(name string) []request.Identity {
	n, ok := p.model.nodes[name]
	if !ok {
		return nil
	}
	var lost []request.Identity
	for e := range n.tasks {
		lost = append(lost, e.job.Identity)
	}
	p.model.remove(n)
	sortIdentities(lost)
	return lost
}

// SetSchedulable says whether new tasks may start on the worker.
func (p *Planner) SetSchedulable(name string, schedulable bool) {
	if n, ok := p.model.nodes[name]; ok {
		n.schedulable = schedulable
	}
}

// Submit adds a waiting job. A job that is already known is left as it is.
func (p *Planner) Submit(j job.Job) {
	if _, ok := p.entries[j.Identity]; ok {
		return
	}
	e := &entry{job: j, state: Waiting, member: j.Member()}
	p.entries[j.Identity] = e
	p.waiting = append(p.waiting, e)
}

// Cancel forgets a job in any state and frees its place. The caller stops the
// tasks of a running job before it cancels the job here.
func (p *Planner) Cancel(id request.Identity) { p.forget(id) }

// Adopt adds a job that is already running. workers has one name for each
// member; names of unknown workers are left out.
func (p *Planner) Adopt(j job.Job, workers []string, started time.Time) {
	p.forget(j.Identity)
	e := &entry{job: j, state: Running, member: j.Member(), started: started}
	for _, name := range workers {
		if n, ok := p.model.nodes[name]; ok {
			e.place = append(e.place, n)
		}
	}
	p.entries[j.Identity] = e
	p.model.occupy(e)
}

// Started records that all members of a job run.
func (p *Planner) Started(id request.Identity, now time.Time) {
	if e, ok := p.entries[id]; ok && e.state == Starting {
		e.state = Running
		e.started = now
	}
}

// Ended records the outcome of a job and frees its place.
func (p *Planner) Ended(id request.Identity, _ time.Time, _ request.Outcome) { p.forget(id) }

// Released records that an attempt was undone; the job waits again.
func (p *Planner) Released(id request.Identity) {
	e, ok := p.entries[id]
	if !ok || e.state == Waiting {
		return
	}
	p.forget(id)
	p.Submit(e.job)
}

// ObserveUsage records what one member used at a time before now.
func (p *Planner) ObserveUsage(request.Identity, int, worker.Resources, time.Time) {}

// Decide returns the steps to take now, in order.
func (p *Planner) Decide(now time.Time) []Decision {
	var decisions []Decision
	for _, e := range p.waiting {
		place := p.policy.place(p.model, e.job.Shape, e.member)
		if place == nil {
			e.reason = "no place fits now"
			continue
		}
		e.place, e.state, e.started = place, Starting, now
		p.model.occupy(e)
		decisions = append(decisions, Decision{Kind: Start, Job: e.job.Identity, Workers: e.workers()})
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(e *entry) bool { return e.state != Waiting })
	return decisions
}

// Explain says why a job is where it is, and whether the job is known.
func (p *Planner) Explain(id request.Identity, now time.Time) (Explanation, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{State: e.state, Workers: e.workers(), Reason: e.reason}
	if e.state == Waiting || e.state == Holding {
		x.Waited = now.Sub(e.job.Submitted)
	}
	return x, true
}

// CanEverRun returns an error when the job would not fit on this data centre
// even if it were empty.
func (p *Planner) CanEverRun(j job.Job) error {
	if j.Shape.Members < 1 || j.Shape.Members > MaxMembers {
		return fmt.Errorf("gang of %d members: want 1 to %d", j.Shape.Members, MaxMembers)
	}
	for _, group := range p.model.groups(j.Shape.Adjacency) {
		fits := 0
		for _, n := range group {
			fits += slots(n.worker.Capacity, j.Member(), j.Shape.Members)
		}
		if fits >= j.Shape.Members {
			return nil
		}
	}
	return fmt.Errorf("%s with %s for each member does not fit on the workers", j.Shape, j.Member())
}

// Summary returns the state of the data centre in a few numbers.
func (p *Planner) Summary() Summary {
	s := Summary{Waiting: len(p.waiting), Running: len(p.entries) - len(p.waiting)}
	for _, n := range p.model.nodes {
		if n.schedulable {
			s.FreeAccelerators += max(n.physical().Accelerators, 0)
		}
	}
	s.LargestGang = min(s.FreeAccelerators, MaxMembers)
	if s.FreeAccelerators > 0 {
		s.Fragmentation = 1 - float64(s.LargestGang)/float64(s.FreeAccelerators)
	}
	return s
}

// forget removes the job and frees its place.
func (p *Planner) forget(id request.Identity) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	delete(p.entries, id)
	if e.state == Waiting {
		p.waiting = slices.DeleteFunc(p.waiting, func(o *entry) bool { return o == e })
		return
	}
	p.model.vacate(e)
	e.place = nil
}

// sortIdentities orders identities by organisation and ID.
func sortIdentities(ids []request.Identity) {
	slices.SortFunc(ids, func(a, b request.Identity) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
}
