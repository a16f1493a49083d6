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
	// Names lists the live ones, in any order.
	Names() []string
	// Dial returns the holder with a name from the list.
	Dial(name string) lease.Holder
}

// noHolders leaves all leases to the scheduler's own process.
type noHolders struct{}

// Names implements Holders.
func (noHolders) Names() []string { return nil }

// Dial implements Holders.
func (noHolders) Dial(string) lease.Holder { return nil }

// session is how long a holder renews leases without an answered query. It
// covers a query that waits, and one that fails.
func (l Timing) session() time.Duration { return l.RenewInterval + 2*l.CallTimeout }

// times are those that the holders keep. Holders may go on for a scheduler that
// is gone until its session ends. Whether it shared its leases depended on its
// tasks, which the successor does not know.
func (t *term) times() lease.Times {
	l := t.limits
	return lease.Times{
		TTL: l.TTL, RenewInterval: l.RenewInterval, CallTimeout: l.CallTimeout, RetryDelay: l.RetryDelay,
		SessionTTL: l.session(), FirstContactTimeout: l.TTL + l.CallTimeout + l.session(), UsageInterval: l.UsageInterval,
	}
}

// shareLeases divides the workers among the holders when the live agents have
// changed, when one has ceased or begun to answer, or when the tasks call for
// other parts.
func (t *term) shareLeases() {
	names := slices.Sorted(slices.Values(t.options.Holders.Names()))
	divided := t.divide(time.Now())
	if t.shares != nil && !divided && slices.Equal(names, t.candidates) {
		return
	}
	t.candidates = names
	self := t.options.Holder
	usable := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return t.links[name] != nil && t.links[name].isAvoided()
	})
	t.shares = t.division.Holders(t.options.DataCentre, self, usable)
	t.assignWorkers()
	for name, l := range t.links {
		if name != self && !slices.Contains(names, name) {
			l.cancel()
			delete(t.links, name)
		}
	}
}

// divide compares the parts of the leases with the tasks now and then, and
// reports whether there are new parts. A worker that is not leased has no known
// tasks.
func (t *term) divide(now time.Time) bool {
	if now.Sub(t.compared) < t.limits.PartitionInterval {
		return false
	}
	t.compared = now
	costs := map[string]int{}
	for _, h := range t.hosts {
		costs[h.worker.Rack] += lease.WorkerCost(h.liveTasks())
	}
	return t.division.Update(costs)
}

func (h *hostState) liveTasks() int {
	count := 0
	for _, task := range h.tasks {
		if task.State.Live() {
			count++
		}
	}
	return count
}

// assignWorkers tells the holders which workers are theirs.
func (t *term) assignWorkers() {
	wanted := map[string][]lease.WorkerAssignment{}
	for name := range t.links {
		wanted[name] = nil
	}
	moved := map[string]bool{}
	for _, h := range t.hosts {
		holder := t.shares[h.worker.Rack]
		if h.holder != holder {
			if before := t.links[h.holder]; before != nil {
				h.heldUntil = latest(h.heldUntil, before.heldUntil())
				moved[h.holder] = true
			}
			t.generation.Add(1)
			h.holder, h.generation = holder, t.generation.Load()
			moved[holder] = true
		}
		wanted[holder] = append(wanted[holder], lease.WorkerAssignment{Worker: h.worker, Generation: h.generation})
	}
	for name, list := range wanted {
		if moved[name] {
			t.link(name).assign(list)
		}
	}
	if len(moved) > 0 {
		_ = t.options.Logger.Log("event", "leases-shared", "data-centre", t.options.DataCentre, "holders", strings.Join(sortedKeys(wanted), ","))
	}
}

// link returns the connection to a holder. It begins with the first use.
func (t *term) link(name string) *link {
	if l := t.links[name]; l != nil {
		return l
	}
	ctx, cancel := context.WithCancel(t.work.Context())
	l := &link{term: t, name: name, cancel: cancel, answered: time.Now()}
	if name == t.options.Holder {
		l.holder = t.local
	} else {
		l.holder = t.options.Holders.Dial(name)
	}
	t.links[name] = l
	t.work.Go(l.String(), func(context.Context) error { return l.Run(ctx) })
	return l
}

// holderChanges takes what a holder reports. Times are counted from when the
// query was sent, which is before its arrival, so that a renewal is never taken
// for later than it was.
func (t *term) holderChanges(l *link, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	t.dirty = t.dirty || len(t.settling) > 0
	for _, c := range changes.Workers {
		h := t.hosts[c.Worker]
		if h == nil || h.holder != l.name || h.generation != c.Generation {
			continue
		}
		switch c.State {
		case lease.Held:
			t.workerHeld(l, session, c, sent, received)
		case lease.Lost:
			h.lapsing = !h.lost
		}
	}
	t.loseLapsed()
	t.noteAnswers(l, session, sent, received, changes)
	if len(changes.Usage) > 0 {
		t.observeUsage(changes.Usage, received)
		t.dirty = true
	}
}

// noteAnswers records which workers of a holder answer their renewals.
func (t *term) noteAnswers(l *link, session lease.SessionID, sent, received time.Time, changes lease.Changes) {
	for name, h := range t.hosts {
		if h.holder != l.name || h.heldBy != session || !h.up {
			continue
		}
		switch {
		case slices.Contains(changes.Silent, name):
			h.reportSilent(received)
		case !h.lapsing:
			h.renewed = latest(h.renewed, sent.Add(changes.Renewed))
			h.hear(h.renewed)
		}
	}
}

// workerHeld takes the report of a worker whose lease is held.
func (t *term) workerHeld(l *link, session lease.SessionID, c lease.WorkerChange, sent, received time.Time) {
	h, s := t.hosts[c.Worker], t.seats[c.Worker]
	h.lapsing, h.heldUntil = false, time.Time{}
	report := worker.Report{Incarnation: c.Incarnation, CompleteFor: c.CompleteFor, Tasks: c.Tasks}
	if h.up && c.Incarnation != h.incarnation {
		t.workerLost(c.Worker)
	}
	fresh := !h.up
	if fresh || h.epoch != c.Epoch {
		if !fresh {
			t.counters.MovedLeases.Add(1)
		}
		s.hold(l, session, c.Epoch)
		h.epoch, h.incarnation, h.heldBy = c.Epoch, c.Incarnation, session
		h.renewed = time.Time{}
	}
	h.renewed = latest(h.renewed, sent.Add(c.Renewed))
	if fresh {
		t.workerUp(c.Worker, received, report)
		return
	}
	t.workerReport(c.Worker, report)
}

// loseLapsed gives up the workers whose holder reports the loss, once no other
// holder of this term can still have the lease.
func (t *term) loseLapsed() {
	now := time.Now()
	for name, h := range t.hosts {
		if h.lapsing && now.After(h.heldUntil) {
			h.lapsing = false
			t.workerLost(name)
			t.dirty = true
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortedKeys(m map[string][]lease.WorkerAssignment) []string {
	var names []string
	for name, list := range m {
		if len(list) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
