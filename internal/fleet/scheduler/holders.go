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

// sessionTTL is how long a holder renews leases after the last query that extends
// the session. It allows for one query that waits RenewInterval for changes and
// CallTimeout for its answer, and for one failed query.
func (timing Timing) sessionTTL() time.Duration { return timing.RenewInterval + 2*timing.CallTimeout }

// leaseTimes returns the timeouts and intervals for the lease holders. Holders
// may renew leases for a dead scheduler until its session ends.
// FirstContactTimeout always allows for that: whether the predecessor used other
// holders depended on its tasks, which the successor does not know.
func (t *term) leaseTimes() lease.Times {
	timing := t.timing
	return lease.Times{
		TTL: timing.TTL, RenewInterval: timing.RenewInterval, CallTimeout: timing.CallTimeout, RetryDelay: timing.RetryDelay,
		SessionTTL: timing.sessionTTL(), FirstContactTimeout: timing.TTL + timing.CallTimeout + timing.sessionTTL(), UsageInterval: timing.UsageInterval,
	}
}

// updateAssignments divides the racks anew among the lease holders when the live
// agents have changed, when one has stopped or resumed answering, or when the
// partitions have changed. It closes the clients of agents that are gone.
func (t *term) updateAssignments() {
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
	t.sendAssignments()
	for name, hc := range t.holderClients {
		if name != self && !slices.Contains(names, name) {
			hc.cancel()
			delete(t.holderClients, name)
		}
	}
}

// updatePartitions compares the partitions with the cost of the racks once per
// PartitionInterval, and reports whether the partitions have changed. A worker that
// is not leased counts as having no tasks.
func (t *term) updatePartitions(now time.Time) bool {
	if now.Sub(t.partitionsChecked) < t.timing.PartitionInterval {
		return false
	}
	t.partitionsChecked = now
	costByRack := map[string]int{}
	for _, ws := range t.workers {
		costByRack[ws.worker.Rack] += lease.WorkerCost(ws.liveTasks())
	}
	return t.partitioner.Update(costByRack)
}

// liveTasks returns the number of live tasks on the worker.
func (ws *workerState) liveTasks() int {
	count := 0
	for _, task := range ws.tasks {
		if task.State.Live() {
			count++
		}
	}
	return count
}

// sendAssignments assigns each worker to the lease holder of its rack, and sends the
// new assignments to the holders whose workers have changed.
func (t *term) sendAssignments() {
	wanted := map[string][]lease.WorkerAssignment{}
	for name := range t.holderClients {
		wanted[name] = nil
	}
	changed := map[string]bool{}
	for _, ws := range t.workers {
		holder := t.holderByRack[ws.worker.Rack]
		if ws.holder != holder {
			if before := t.holderClients[ws.holder]; before != nil {
				ws.earlierLeaseUntil = latest(ws.earlierLeaseUntil, before.leaseEndBound())
				changed[ws.holder] = true
			}
			t.assignmentCount.Add(1)
			ws.holder, ws.generation = holder, t.assignmentCount.Load()
			changed[holder] = true
		}
		wanted[holder] = append(wanted[holder], lease.WorkerAssignment{Worker: ws.worker, Generation: ws.generation})
	}
	for name, list := range wanted {
		if changed[name] {
			t.holderClient(name).assign(list)
		}
	}
	if len(changed) > 0 {
		_ = t.options.Logger.Log("event", "leases-shared", "data-centre", t.options.DataCentre, "holders", strings.Join(assignedHolders(wanted), ","))
	}
}

// holderClient returns the client of a lease holder. The first call for a holder
// creates and starts the client.
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

// handleChanges applies the changes that a lease holder reports. The holder
// gives renewal times relative to the arrival of the query. They are taken as
// relative to its sending, which is earlier, so that no renewal appears later
// than it was.
func (t *term) handleChanges(hc *holderClient, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	t.stepDue = t.stepDue || len(t.unsettledClaims) > 0
	for _, c := range changes.Workers {
		ws := t.workers[c.Worker]
		if ws == nil || ws.holder != hc.name || ws.generation != c.Generation {
			continue
		}
		switch c.State {
		case lease.Held:
			t.handleWorkerHeld(hc, session, c, sent, received)
		case lease.Lost:
			ws.reportedLost = !ws.lost
		}
	}
	t.dropLostWorkers()
	t.recordAnswers(hc, session, sent, received, changes)
	if len(changes.Usage) > 0 {
		t.observeUsage(changes.Usage, received)
		t.stepDue = true
	}
}

// recordAnswers records which workers of a lease holder answer their renewals.
func (t *term) recordAnswers(hc *holderClient, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	for name, ws := range t.workers {
		if ws.holder != hc.name || ws.session != session || !ws.leased {
			continue
		}
		switch {
		case slices.Contains(changes.Silent, name):
			ws.recordMissedRenewal(received)
		case !ws.reportedLost:
			ws.renewalSent = latest(ws.renewalSent, sent.Add(changes.Renewed))
			ws.recordAnswer(ws.renewalSent)
		}
	}
}

// handleWorkerHeld applies the report of a worker whose lease is held. The lease may
// be new, or may have moved to another agent or session. A changed incarnation
// means that the worker has restarted, so its tasks are lost.
func (t *term) handleWorkerHeld(hc *holderClient, session lease.SessionID, c lease.WorkerChange, sent, received time.Time) {
	ws, route := t.workers[c.Worker], t.routes[c.Worker]
	ws.reportedLost, ws.earlierLeaseUntil = false, time.Time{}
	report := worker.Report{Incarnation: c.Incarnation, CompleteFor: c.CompleteFor, Tasks: c.Tasks}
	if ws.leased && c.Incarnation != ws.incarnation {
		t.handleWorkerLost(c.Worker)
	}
	newLease := !ws.leased
	if newLease || ws.epoch != c.Epoch {
		if !newLease {
			t.counters.MovedLeases.Add(1)
		}
		route.setLease(hc, session, c.Epoch)
		ws.epoch, ws.incarnation, ws.session = c.Epoch, c.Incarnation, session
		ws.renewalSent = time.Time{}
	}
	ws.renewalSent = latest(ws.renewalSent, sent.Add(c.Renewed))
	if newLease {
		t.handleNewLease(c.Worker, received, report)
		return
	}
	t.handleTaskReport(c.Worker, report)
}

// dropLostWorkers handles the loss of each worker that its holder reports as lost,
// once no earlier holder of this term can still have the lease.
func (t *term) dropLostWorkers() {
	now := time.Now()
	for name, ws := range t.workers {
		if ws.reportedLost && now.After(ws.earlierLeaseUntil) {
			ws.reportedLost = false
			t.handleWorkerLost(name)
			t.stepDue = true
		}
	}
}

// latest returns the later of two times.
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
