package placementbench

import (
	"container/heap"
	"slices"
	"time"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/traffic/request"
)

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	apply    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *replay) at(t time.Time, apply func()) {
	r.count++
	heap.Push(&r.queue, event{at: t, sequence: r.count, apply: apply})
}

func (r *replay) after(d time.Duration, apply func()) { r.at(r.now.Add(d), apply) }

func (r *replay) submit(a arrival) {
	i := &instance{arrival: a, left: a.runTime}
	possible := slices.DeleteFunc(slices.Clone(r.centres), func(x *centre) bool {
		return x.planner.CanEverRun(a.job) != nil
	})
	if len(possible) == 0 {
		r.measured.impossible++
		return
	}
	r.byID[a.job.Identity] = i
	r.open++
	if !a.cancelAt.IsZero() {
		r.at(a.cancelAt, func() { r.cancel(i) })
	}
	r.offer(i, possible)
}

// offer submits the job to its preferred data centre, and to the others when it
// has not started there after the claim delay.
func (r *replay) offer(i *instance, possible []*centre) {
	first := int(hash(i.job.Identity.ID) % uint64(len(possible)))
	possible[first].planner.Submit(i.job)
	r.decide(possible[first])
	if i.job.Urgent {
		r.after(placement.Default().UrgentCheckpointTimeout, r.decideAll)
		r.after(claimDelay+placement.Default().UrgentCheckpointTimeout, r.decideAll)
	}
	r.after(claimDelay, func() {
		for _, x := range possible {
			if i.home == nil && !i.ended {
				x.planner.Submit(i.job)
				r.decide(x)
			}
		}
	})
}

func (r *replay) cancel(i *instance) {
	if i.ended {
		return
	}
	i.ended = true
	r.open--
	home := i.home
	r.stop(i)
	for _, x := range r.centres {
		x.planner.Cancel(i.job.Identity)
	}
	if home != nil {
		r.decide(home)
	}
}

// stop takes the job off its workers.
func (r *replay) stop(i *instance) {
	i.run++
	if i.home != nil {
		i.home.running = slices.DeleteFunc(i.home.running, func(o *instance) bool { return o == i })
	}
	i.home, i.workers, i.leaving = nil, nil, false
}

// begin runs the job at the place that was decided on.
func (r *replay) begin(x *centre, i *instance, workers []string) {
	for _, o := range r.centres {
		if o != x {
			o.planner.Cancel(i.job.Identity)
		}
	}
	i.run++
	i.home, i.workers = x, workers
	x.running = append(x.running, i)
	run := i.run
	if bad := slices.IndexFunc(workers, func(name string) bool { return x.broken[name] }); bad >= 0 {
		r.after(failLatency, func() {
			if i.run == run {
				r.failTask(x, i, workers[bad])
			}
		})
		return
	}
	r.after(startLatency, func() {
		if i.run != run {
			return
		}
		i.started = r.now
		if i.job.Urgent && i.attempt == 0 {
			_ = r.measured.urgentWait.RecordValue(max(r.now.Sub(i.job.Submitted).Milliseconds(), 1))
		}
		i.attempt++
		x.planner.Started(i.job.Identity, r.now)
		r.decide(x)
		r.after(i.left, func() { r.end(i, run) })
		r.after(usageInterval, func() { r.report(i, run, 1) })
	})
}

// failTask ends an attempt on a worker that fails everything, and puts the
// worker into quarantine after three failures in a row.
func (r *replay) failTask(x *centre, i *instance, name string) {
	r.stop(i)
	x.planner.Released(i.job.Identity)
	if x.failures[name]++; x.failures[name] >= 3 {
		x.failures[name] = 0
		x.planner.SetSchedulable(name, false)
		r.after(quarantine, func() {
			x.planner.SetSchedulable(name, true)
			r.decide(x)
		})
	}
	r.decide(x)
}

func (r *replay) end(i *instance, run int) {
	if i.run != run || i.ended {
		return
	}
	x := i.home
	i.ended = true
	r.open--
	r.stop(i)
	x.planner.Ended(i.job.Identity, r.now, request.Done)
	taken := r.now.Sub(i.job.Submitted)
	_ = r.measured.completion.RecordValue(max(int64(taken.Seconds()), 1))
	_ = r.measured.runTime.RecordValue(max(int64(i.runTime.Seconds()), 1))
	if !i.job.Deadline.IsZero() {
		r.measured.deadlines++
		_ = r.measured.inTime.RecordValue(max(int64(taken.Seconds()), 1))
		if r.now.After(i.job.Deadline) {
			r.measured.late++
		}
	}
	r.decide(x)
}

// report sends what the members used some time ago. Memory grows to its peak
// over the first three reports.
func (r *replay) report(i *instance, run, number int) {
	if i.run != run || i.ended {
		return
	}
	x, used := i.home, i.used
	used.Memory = int64(float64(used.Memory) * min(float64(number)/3, 1))
	for member := range i.workers {
		x.planner.ObserveUsage(i.job.Identity, member, used, r.now.Add(-usageLag))
	}
	r.decide(x)
	if number < 4 {
		r.after(usageInterval, func() { r.report(i, run, number+1) })
	}
}

func (r *replay) fail(f fault) {
	k := r.fleet[f.worker]
	x := r.centre(k.DataCentre)
	if !f.lost {
		x.broken[k.Name] = true
		return
	}
	delete(x.workers, k.Name)
	lost := x.planner.RemoveWorker(k.Name)
	x.held = r.holds(x)
	for _, id := range lost {
		r.stop(r.byID[id])
		x.planner.Released(id)
	}
	r.decide(x)
}

func (r *replay) repair(f fault) {
	k := r.fleet[f.worker]
	x := r.centre(k.DataCentre)
	x.broken[k.Name] = false
	if _, ok := x.workers[k.Name]; !ok {
		x.workers[k.Name] = k
		x.planner.AddWorker(k)
		x.held = r.holds(x)
	}
	r.decide(x)
}
