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
	members  = 3
	ttl      = 600 * time.Millisecond
	deadline = 300 * time.Millisecond
)

// holder is the lease holder in the tests. Its leases are not renewed, so
// everything ends within ttl.
type holder struct{ worker.Session }

func (holder) Abandon() {}

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
			Host:   holder{worker.Session{Client: client, Lease: lease}},
			Spec:   worker.Spec{Name: fmt.Sprintf("job/%d", i), RunTime: time.Minute},
		})
	}
	f.members = list
	f.gang = gang.New(list, gang.Options{StartDeadline: deadline, StopRetry: 20 * time.Millisecond, StopTries: 3})
	return f
}

// check fails when a member was released before all were started, or when a
// partly released gang or a held member is still live.
func (f *fixture) check(c *qt.C) (released int) {
	var all []workerhost.Interval
	for _, h := range f.hosts {
		all = append(all, h.History()...)
	}
	for _, i := range all {
		if i.Released.IsZero() {
			continue
		}
		released++
		c.Check(all, qt.HasLen, members, qt.Commentf("%s was released alone", i.Task))
		for _, other := range all {
			c.Check(other.Started.After(i.Released), qt.IsFalse, qt.Commentf("%s was released before %s was started", i.Task, other.Task))
		}
	}
	if released < members {
		for _, i := range all {
			c.Check(i.Ended.IsZero(), qt.IsFalse, qt.Commentf("%s is live in a partly released gang", i.Task))
		}
	}
	return released
}

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against part of a gang running alone when the caller dies between any
// two steps.
func TestCallerDiesBetweenSteps(t *testing.T) {
	for steps := range 4 {
		t.Run(fmt.Sprintf("after %d steps", steps), func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			for _, s := range f.gang.Steps()[:steps] {
				c.Assert(s.Run(bounded(t)), qt.IsNil)
			}
			time.Sleep(ttl + 100*time.Millisecond)
			released := f.check(c)
			c.Assert(released == members, qt.Equals, steps == 3)
		})
	}
}

// Guards against a caller that was paused between two steps and goes on as if
// nothing had happened.
func TestCallerPausesBetweenSteps(t *testing.T) {
	for paused := 1; paused <= 2; paused++ {
		t.Run(fmt.Sprintf("after %d steps", paused), func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			var err error
			for i, s := range f.gang.Steps() {
				if i == paused {
					time.Sleep(deadline + 50*time.Millisecond)
				}
				if err = s.Run(bounded(t)); err != nil {
					break
				}
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(f.check(c), qt.Equals, 0)
		})
	}
}

// Guards against part of a gang running alone when one worker misbehaves
// during the start.
func TestStartWithABadWorker(t *testing.T) {
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
			time.AfterFunc(ttl, func() { f.gang.Lost(1) })
			r, started := f.gang.Start(bounded(t))
			c.Assert(started, qt.IsFalse)
			c.Assert(r.Released, qt.IsFalse)
			f.hosts[1].SetFaults(workerhost.Faults{})
			time.Sleep(50 * time.Millisecond) // frozen calls are carried out
			f.check(c)
		})
	}
}

// Guards against a failed start that waits for the lease of a silent worker
// although no member was released, and against a member that is left there.
func TestFailedStartDoesNotWaitForASilentWorker(t *testing.T) {
	for name, fault := range map[string]workerhost.Faults{"silent": {Hang: true}, "frozen": {Freeze: true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			g := gang.New(f.members, gang.Options{StartDeadline: deadline, StopRetry: 20 * time.Millisecond,
				StopTries: 3, RollbackTimeout: 50 * time.Millisecond})
			f.hosts[1].SetFaults(fault)
			begun := time.Now()
			r, started := g.Start(bounded(t))
			c.Assert(started, qt.IsFalse)
			c.Assert(time.Since(begun) < ttl, qt.IsTrue, qt.Commentf("took %s", time.Since(begun)))
			c.Assert(r.Released, qt.IsFalse)
			c.Assert(r.Unconfirmed, qt.DeepEquals, []int{1})
			f.hosts[1].SetFaults(workerhost.Faults{})
			c.Assert(g.StopHeld(bounded(t), 1), qt.IsNil)
			c.Assert(f.check(c), qt.Equals, 0)
		})
	}
}

// Guards against a gang that runs on in part when a worker fails between the
// confirmation and the end of the release.
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
			c.Assert(steps[0].Run(bounded(t)), qt.IsNil)
			c.Assert(steps[1].Run(bounded(t)), qt.IsNil)
			fault(f.hosts[1])
			c.Assert(steps[2].Run(bounded(t)), qt.IsNotNil)
			time.AfterFunc(ttl, func() { f.gang.Lost(1) })
			r := f.gang.Stop(bounded(t), "release failed")
			c.Assert(r.Released, qt.IsTrue)
			f.check(c)
		})
	}
}

// Guards against members that run on when another has ended early, and against
// a wrong account of why the attempt ended.
func TestWatchStopsTheRest(t *testing.T) {
	tests := map[string]struct {
		event func(g *gang.Gang)
		want  gang.Outcome
	}{
		"member failed": {func(g *gang.Gang) { g.Report(1, worker.Task{State: worker.Failed}) }, gang.MemberFailed},
		"lapsed":        {func(g *gang.Gang) { g.Report(1, worker.Task{State: worker.Lapsed}) }, gang.WorkerLost},
		"lost":          {func(g *gang.Gang) { g.Lost(1) }, gang.WorkerLost},
		"cancelled":     {func(g *gang.Gang) { g.Cancel() }, gang.Cancelled},
		"reclaimed":     {func(g *gang.Gang) { g.Reclaim(100*time.Millisecond, "guarantee") }, gang.Checkpointed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			_, started := f.gang.Start(bounded(t))
			c.Assert(started, qt.IsTrue)
			tt.event(f.gang)
			r := f.gang.Watch(bounded(t))
			c.Assert(r.Outcome, qt.Equals, tt.want)
			c.Assert(r.AllCheckpointed, qt.Equals, tt.want == gang.Checkpointed)
			for i, h := range f.hosts {
				lost := i == 1 && name == "lost"
				c.Assert(h.History()[0].Ended.IsZero(), qt.Equals, lost, qt.Commentf("member %d", i))
			}
		})
	}
}

// Guards against a checkpoint that hangs and keeps the workers occupied until
// its time is over, or although the holder has given it up.
func TestHangingCheckpointIsStopped(t *testing.T) {
	for name, limit := range map[string]time.Duration{"time is over": 50 * time.Millisecond, "given up": time.Minute} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(t)
			_, started := f.gang.Start(bounded(t))
			c.Assert(started, qt.IsTrue)
			f.hosts[2].SetFaults(workerhost.Faults{CheckpointDelay: -1})
			f.gang.Reclaim(limit, "guarantee")
			if limit == time.Minute {
				time.AfterFunc(50*time.Millisecond, f.gang.AbortCheckpoint)
			}
			r := f.gang.Watch(bounded(t))
			c.Assert(r.Outcome, qt.Equals, gang.Checkpointed)
			c.Assert(r.AllCheckpointed, qt.IsFalse)
			c.Assert(f.hosts[2].History()[0].End, qt.Equals, worker.Stopped)
		})
	}
}
