package gang_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/standin/workerhost"
)

const (
	members       = 3
	ttl           = 600 * time.Millisecond
	startDeadline = 300 * time.Millisecond
)

// unrenewedLease makes calls under a lease that is never renewed, so that all tasks
// end within ttl.
type unrenewedLease struct{ worker.LeasedClient }

func (unrenewedLease) Abandon() {}

type fixture struct {
	hosts   []*workerhost.Host
	members []gang.Member
	gang    *gang.Gang
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{}
	var list []gang.Member
	for i := range members {
		h := workerhost.New(worker.Resources{Memory: 100}, nil)
		server := httptest.NewServer(h.Handler())
		client := worker.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 100*time.Millisecond)
		t.Cleanup(func() {
			h.SetFaults(workerhost.Faults{})
			client.Close()
			server.Close()
		})
		lease := worker.Lease{Holder: "a", Epoch: 1, TTL: ttl}
		_, err := client.Renew(context.Background(), lease, 0, 0)
		qt.Assert(t, err, qt.IsNil)
		f.hosts = append(f.hosts, h)
		list = append(list, gang.Member{
			Worker: fmt.Sprint(i),
			Handle: unrenewedLease{worker.LeasedClient{Client: client, Lease: lease}},
			Spec:   worker.Spec{Name: fmt.Sprintf("job/%d", i), RunTime: time.Minute},
		})
	}
	f.members = list
	f.gang = gang.New(list, gang.Options{StartDeadline: startDeadline, StopRetry: 20 * time.Millisecond, StopTries: 3})
	return f
}

// checkAllOrNone fails the test when a member was released before all members were
// started, or when a member is still live although not all were released. It
// returns the number of released members.
func (f *fixture) checkAllOrNone(c *qt.C) (released int) {
	var all []workerhost.Interval
	for _, h := range f.hosts {
		all = append(all, h.History()...)
	}
	for _, interval := range all {
		if interval.Released.IsZero() {
			continue
		}
		released++
		c.Check(all, qt.HasLen, members, qt.Commentf("%s was released alone", interval.Task))
		for _, other := range all {
			c.Check(other.Started.After(interval.Released), qt.IsFalse, qt.Commentf("%s was released before %s was started", interval.Task, other.Task))
		}
	}
	if released < members {
		for _, interval := range all {
			c.Check(interval.Ended.IsZero(), qt.IsFalse, qt.Commentf("%s is live in a partly released gang", interval.Task))
		}
	}
	return released
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against part of a gang running when the caller crashes between any two
// steps.
func TestCallerCrashesBetweenSteps(t *testing.T) {
	for steps := range 4 {
		t.Run(fmt.Sprintf("after %d steps", steps), func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			for _, s := range f.gang.Steps()[:steps] {
				c.Assert(s.Run(testContext(t)), qt.IsNil)
			}
			time.Sleep(ttl + 100*time.Millisecond)
			released := f.checkAllOrNone(c)
			c.Assert(released == members, qt.Equals, steps == 3)
		})
	}
}

// Guards against a caller that is paused between two steps beyond the start
// deadline and then continues with the next step.
func TestCallerPausesBetweenSteps(t *testing.T) {
	for paused := 1; paused <= 2; paused++ {
		t.Run(fmt.Sprintf("after %d steps", paused), func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			var err error
			for i, s := range f.gang.Steps() {
				if i == paused {
					time.Sleep(startDeadline + 50*time.Millisecond)
				}
				if err = s.Run(testContext(t)); err != nil {
					break
				}
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(f.checkAllOrNone(c), qt.Equals, 0)
		})
	}
}

// Guards against part of a gang running when one worker fails during the start, or
// the start is cancelled.
func TestStartWithFaultyWorker(t *testing.T) {
	tests := map[string]func(f *fixture){
		"refuses":      func(f *fixture) { f.hosts[1].SetFaults(workerhost.Faults{RefuseStarts: true}) },
		"silent":       func(f *fixture) { f.hosts[1].SetFaults(workerhost.Faults{Hang: true}) },
		"frozen":       func(f *fixture) { f.hosts[1].SetFaults(workerhost.Faults{Freeze: true}) },
		"loses answer": func(f *fixture) { f.hosts[1].SetFaults(workerhost.Faults{LoseAnswers: true}) },
		"crashed":      func(f *fixture) { f.hosts[1].Crash() },
		"cancelled":    func(f *fixture) { f.gang.Cancel() },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			fault(f)
			time.AfterFunc(ttl, func() { f.gang.MarkLost(1) })
			r, started := f.gang.Start(testContext(t))
			c.Assert(started, qt.IsFalse)
			c.Assert(r.Released, qt.IsFalse)
			f.hosts[1].SetFaults(workerhost.Faults{})
			time.Sleep(50 * time.Millisecond) // frozen calls resume
			f.checkAllOrNone(c)
		})
	}
}

// Guards against a failed start that waits for the lease of a silent worker to
// lapse although no member was released, and against a member that is left on that
// worker.
func TestFailedStartDoesNotWaitForASilentWorker(t *testing.T) {
	for name, fault := range map[string]workerhost.Faults{"silent": {Hang: true}, "frozen": {Freeze: true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			g := gang.New(f.members, gang.Options{StartDeadline: startDeadline, StopRetry: 20 * time.Millisecond,
				StopTries: 3, RollbackTimeout: 50 * time.Millisecond})
			f.hosts[1].SetFaults(fault)
			begun := time.Now()
			r, started := g.Start(testContext(t))
			c.Assert(started, qt.IsFalse)
			c.Assert(time.Since(begun) < ttl, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
			c.Assert(r.Released, qt.IsFalse)
			c.Assert(r.Unconfirmed, qt.DeepEquals, []int{1})
			f.hosts[1].SetFaults(workerhost.Faults{})
			c.Assert(g.StopHeld(testContext(t), 1), qt.IsNil)
			c.Assert(f.checkAllOrNone(c), qt.Equals, 0)
		})
	}
}

// Guards against part of a gang running when a worker fails after the confirm step,
// so that the release step fails.
func TestWorkerFailsBeforeTheRelease(t *testing.T) {
	tests := map[string]func(h *workerhost.Host){
		"silent":       func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{Hang: true}) },
		"loses answer": func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{LoseAnswers: true}) },
		"crashed":      func(h *workerhost.Host) { h.Crash() },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			steps := f.gang.Steps()
			c.Assert(steps[0].Run(testContext(t)), qt.IsNil)
			c.Assert(steps[1].Run(testContext(t)), qt.IsNil)
			fault(f.hosts[1])
			c.Assert(steps[2].Run(testContext(t)), qt.IsNotNil)
			time.AfterFunc(ttl, func() { f.gang.MarkLost(1) })
			r := f.gang.Stop(testContext(t), "release failed")
			c.Assert(r.Released, qt.IsTrue)
			f.checkAllOrNone(c)
		})
	}
}

// Guards against members that keep running when the attempt has to end, and against
// a result with the wrong outcome.
func TestWatchStopsTheRest(t *testing.T) {
	tests := map[string]struct {
		event func(g *gang.Gang)
		want  gang.Outcome
	}{
		"member failed": {func(g *gang.Gang) { g.Report(1, worker.Task{State: worker.Failed}) }, gang.MemberFailed},
		"lapsed":        {func(g *gang.Gang) { g.Report(1, worker.Task{State: worker.Lapsed}) }, gang.WorkerLost},
		"lost":          {func(g *gang.Gang) { g.MarkLost(1) }, gang.WorkerLost},
		"cancelled":     {func(g *gang.Gang) { g.Cancel() }, gang.Cancelled},
		"reclaimed":     {func(g *gang.Gang) { g.Reclaim(100*time.Millisecond, "guarantee") }, gang.Checkpointed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			_, started := f.gang.Start(testContext(t))
			c.Assert(started, qt.IsTrue)
			tt.event(f.gang)
			r := f.gang.Watch(testContext(t))
			c.Assert(r.Outcome, qt.Equals, tt.want)
			c.Assert(r.AllCheckpointed, qt.Equals, tt.want == gang.Checkpointed)
			for i, h := range f.hosts {
				lost := i == 1 && name == "lost"
				c.Assert(h.History()[0].Ended.IsZero(), qt.Equals, lost, qt.Commentf("member %d", i))
			}
		})
	}
}

// Guards against a hanging checkpoint that occupies the workers after its timeout
// or after the caller has aborted it.
func TestHangingCheckpointIsStopped(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"timeout": 50 * time.Millisecond, "aborted": time.Minute} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			_, started := f.gang.Start(testContext(t))
			c.Assert(started, qt.IsTrue)
			f.hosts[2].SetFaults(workerhost.Faults{CheckpointDelay: -1})
			f.gang.Reclaim(timeout, "guarantee")
			if timeout == time.Minute {
				time.AfterFunc(50*time.Millisecond, f.gang.AbortCheckpoint)
			}
			r := f.gang.Watch(testContext(t))
			c.Assert(r.Outcome, qt.Equals, gang.Checkpointed)
			c.Assert(r.AllCheckpointed, qt.IsFalse)
			c.Assert(f.hosts[2].History()[0].End, qt.Equals, worker.Stopped)
		})
	}
}
