package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/worker"
)

// Holders are the other agents of the data centre that can hold leases.
type Holders interface {
	// Names lists the live agents in any order.
	Names() []string
	// Dial returns the lease holder with a name from Names.
	Dial(name string) lease.Holder
}

// localOnly has no other agents, so that the scheduler's own process holds all
// leases.
type localOnly struct{}

// Names implements Holders.
func (localOnly) Names() []string { return nil }

// Dial implements Holders.
func (localOnly) Dial(string) lease.Holder { return nil }

// sessionTTL is how long a holder renews leases without an answered query. It
// covers a query that waits for changes, and one that fails.
func (timing Timing) sessionTTL() time.Duration { return timing.RenewInterval + 2*timing.CallTimeout }

// leaseTimes returns the times that the holders keep. Holders may go on for a
// dead scheduler until its session ends. FirstContactTimeout always allows for
// that: whether the predecessor used other holders depended on its tasks, which
// the successor does not know.
func (t *term) leaseTimes() lease.Times {
	timing := t.timing
	return lease.Times{
		TTL: timing.TTL, RenewInterval: timing.RenewInterval, CallTimeout: timing.CallTimeout, RetryDelay: timing.RetryDelay,
		SessionTTL: timing.sessionTTL(), FirstContactTimeout: timing.TTL + timing.CallTimeout + timing.sessionTTL(), UsageInterval: timing.UsageInterval,
	}
}

// assignHolders divides the workers among the lease holders when the live agents
// have changed, when one has stopped or resumed answering, or when the tasks call
// for other partitions.
func (t *term) assignHolders() {
	names := slices.Sorted(slices.Values(t.options.Holders.Names()))
	repartitioned := t.updatePartitions(time.Now())
	if t.holderByRack != nil && !repartitioned && slices.Equal(names, t.liveHolders) {
		return
	}
	t.liveHolders = names
	self := t.options.Holder
	usable := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return t.holderClients[name] != nil && t.holderClients[name].isAvoided()
	})
	t.holderByRack = t.partitioner.Holders(t.options.DataCentre, self, usable)
	t.assignWorkers()
	for name, hc := range t.holderClients {
		if name != self && !slices.Contains(names, name) {
			hc.cancel()
			delete(t.holderClients, name)
		}
	}
}

// updatePartitions compares the partitions with the tasks once per
// PartitionInterval, and reports whether there are new partitions. A worker that
// is not leased counts as having no tasks.
func (t *term) updatePartitions(now time.Time) bool {
	if now.Sub(t.partitionsChecked) < t.timing.PartitionInterval {
		return false
	}
	t.partitionsChecked = now
	costs := map[string]int{}
	for _, h := range t.workers {
		costs[h.worker.Rack] += lease.WorkerCost(h.liveTasks())
	}
	return t.partitioner.Update(costs)
}

// liveTasks returns the number of live tasks on the worker.
func (h *workerState) liveTasks() int {
	count := 0
	for _, task := range h.tasks {
		if task.State.Live() {
			count++
		}
	}
	return count
}

// assignWorkers tells the lease holders which workers are theirs.
func (t *term) assignWorkers() {
	wanted := map[string][]lease.WorkerAssignment{}
	for name := range t.holderClients {
		wanted[name] = nil
	}
	moved := map[string]bool{}
	for _, h := range t.workers {
		holder := t.holderByRack[h.worker.Rack]
		if h.holder != holder {
			if before := t.holderClients[h.holder]; before != nil {
				h.earlierLeaseUntil = latest(h.earlierLeaseUntil, before.leaseEndBound())
				moved[h.holder] = true
			}
			t.assignmentCount.Add(1)
			h.holder, h.generation = holder, t.assignmentCount.Load()
			moved[holder] = true
		}
		wanted[holder] = append(wanted[holder], lease.WorkerAssignment{Worker: h.worker, Generation: h.generation})
	}
	for name, list := range wanted {
		if moved[name] {
			t.holderClient(name).assign(list)
		}
	}
	if len(moved) > 0 {
		_ = t.options.Logger.Log("event", "leases-shared", "data-centre", t.options.DataCentre, "holders", strings.Join(assignedHolders(wanted), ","))
	}
}

// holderClient returns the client of a lease holder, and starts it at the first
// call.
func (t *term) holderClient(name string) *holderClient {
	if hc := t.holderClients[name]; hc != nil {
		return hc
	}
	ctx, cancel := context.WithCancel(t.work.Context())
	hc := &holderClient{term: t, name: name, cancel: cancel, lastAnswer: time.Now()}
	if name == t.options.Holder {
		hc.holder = t.local
	} else {
		hc.holder = t.options.Holders.Dial(name)
	}
	t.holderClients[name] = hc
	t.work.Go(hc.String(), func(context.Context) error { return hc.Run(ctx) })
	return hc
}

// handleChanges takes the changes that a lease holder reports. Renewal times
// count from when the query was sent, which is before its arrival, so that a
// renewal never appears later than it was.
func (t *term) handleChanges(hc *holderClient, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	t.stepDue = t.stepDue || len(t.settlements) > 0
	for _, c := range changes.Workers {
		h := t.workers[c.Worker]
		if h == nil || h.holder != hc.name || h.generation != c.Generation {
			continue
		}
		switch c.State {
		case lease.Held:
			t.workerHeld(hc, session, c, sent, received)
		case lease.Lost:
			h.reportedLost = !h.lost
		}
	}
	t.loseExpired()
	t.recordAnswers(hc, session, sent, received, changes)
	if len(changes.Usage) > 0 {
		t.observeUsage(changes.Usage, received)
		t.stepDue = true
	}
}

// recordAnswers records which workers of a lease holder answer their renewals.
func (t *term) recordAnswers(hc *holderClient, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	for name, h := range t.workers {
		if h.holder != hc.name || h.session != session || !h.leased {
			continue
		}
		switch {
		case slices.Contains(changes.Silent, name):
			h.recordMissedRenewal(received)
		case !h.reportedLost:
			h.renewalSent = latest(h.renewalSent, sent.Add(changes.Renewed))
			h.recordAnswer(h.renewalSent)
		}
	}
}

// workerHeld takes the report of a worker whose lease is held.
func (t *term) workerHeld(hc *holderClient, session lease.SessionID, c lease.WorkerChange, sent, received time.Time) {
	h, route := t.workers[c.Worker], t.routes[c.Worker]
	h.reportedLost, h.earlierLeaseUntil = false, time.Time{}
	report := worker.Report{Incarnation: c.Incarnation, CompleteFor: c.CompleteFor, Tasks: c.Tasks}
	if h.leased && c.Incarnation != h.incarnation {
		t.workerLost(c.Worker)
	}
	newLease := !h.leased
	if newLease || h.epoch != c.Epoch {
		if !newLease {
			t.counters.MovedLeases.Add(1)
		}
		route.hold(hc, session, c.Epoch)
		h.epoch, h.incarnation, h.session = c.Epoch, c.Incarnation, session
		h.renewalSent = time.Time{}
	}
	h.renewalSent = latest(h.renewalSent, sent.Add(c.Renewed))
	if newLease {
		t.workerUp(c.Worker, received, report)
		return
	}
	t.workerReport(c.Worker, report)
}

// loseExpired gives up the workers that their holder reports as lost, once no
// earlier holder of this term can still have the lease.
func (t *term) loseExpired() {
	now := time.Now()
	for name, h := range t.workers {
		if h.reportedLost && now.After(h.earlierLeaseUntil) {
			h.reportedLost = false
			t.workerLost(name)
			t.stepDue = true
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assignedHolders returns the sorted names of the holders that have workers.
func assignedHolders(wanted map[string][]lease.WorkerAssignment) []string {
	var names []string
	for name, list := range wanted {
		if len(list) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
