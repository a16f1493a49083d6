package coordinator_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

var errNoReply = errors.New("no reply")

// hooks decide what becomes of calls to minions. A nil hook passes them on.
type hooks struct {
	start func(m *fleethost.Minion, r host.StartRequest) error
	stop  func(m *fleethost.Minion, r host.StopRequest) error
	renew func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error)

	throttle func(m *fleethost.Minion, r host.ThrottleRequest) error
}

// link is the path from the coordinators to a minion.
type link struct {
	*fleethost.Minion
	hooks *atomic.Pointer[hooks]
}

// Start implements host.Client.
func (l link) Start(ctx context.Context, r host.StartRequest) error {
	if h := l.hooks.Load(); h != nil && h.start != nil {
		return h.start(l.Minion, r)
	}
	return l.Minion.Start(ctx, r)
}

// Stop implements host.Client.
func (l link) Stop(ctx context.Context, r host.StopRequest) error {
	if h := l.hooks.Load(); h != nil && h.stop != nil {
		return h.stop(l.Minion, r)
	}
	return l.Minion.Stop(ctx, r)
}

// Throttle implements host.Client.
func (l link) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	if h := l.hooks.Load(); h != nil && h.throttle != nil {
		return h.throttle(l.Minion, r)
	}
	return l.Minion.Throttle(ctx, r)
}

// RenewLease implements host.Client.
func (l link) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	if h := l.hooks.Load(); h != nil && h.renew != nil {
		return h.renew(l.Minion, r)
	}
	return l.Minion.RenewLease(ctx, r)
}

// Guards against a second run of a task whose first start was carried out
// without an answer, when a later try of that start is refused.
func TestTaskRunsTwiceAfterRefusedRetry(t *testing.T) {
	for name, refusal := range map[string]error{
		"minion drains":            host.ErrDraining,
		"minion is unhealthy":      host.ErrUnhealthy,
		"minion has no room":       host.ErrNoCapacity,
		"another minion answers":   host.ErrOtherIncarnation,
		"call can't be read":       host.ErrMalformed,
		"ticket is not valid":      host.ErrInvalidTicket,
		"later try comes too late": host.ErrStartTooLate,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			var mute atomic.Pointer[fleethost.Minion] // mute has run 1. Only the refusals of its start reach the coordinator.
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					switch {
					case r.Number > 1:
						return m.Start(context.Background(), r)
					case mute.Load() == m:
						return refusal
					}
					mute.Store(m)
					f.c.Check(m.Start(context.Background(), r), qt.IsNil)
					return errNoReply
				},
				stop: func(m *fleethost.Minion, r host.StopRequest) error {
					if mute.Load() == m {
						return errNoReply
					}
					return m.Stop(context.Background(), r)
				},
				renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
					if mute.Load() == m {
						return host.StatusReport{}, errNoReply
					}
					return m.RenewLease(context.Background(), r)
				},
			})
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, time.Second)
			f.waitFor("a later try is refused", func() bool { return strings.Contains(f.logs.String(), `event="start refused" job=job`) })
			time.Sleep(500 * time.Millisecond) // Without a proof, the task must not be placed again.
			f.c.Check(f.starts("job", 1), qt.Equals, 1)
			f.hooks.Store(nil)
			f.awaitState("job", workload.Done)
		})
	}
}

// heldStart keeps a try of a start that is neither answered nor carried out
// until it is delivered.
type heldStart struct {
	mu      sync.Mutex
	minion  *fleethost.Minion
	request host.StartRequest
}

// hold keeps a try unless one is kept already, and reports whether it did.
func (h *heldStart) hold(m *fleethost.Minion, r host.StartRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minion != nil {
		return false
	}
	h.minion, h.request = m, r
	return true
}

// on returns the minion of the kept try, nil if there is none.
func (h *heldStart) on() *fleethost.Minion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.minion
}

// renewShortly passes a renewal on, without a long wait during which the hooks
// could not act.
func renewShortly(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
	r.Wait = min(r.Wait, shortDuration)
	return m.RenewLease(context.Background(), r)
}

// deliver lets the minion carry the try out, whichever incarnation it is now.
func (h *heldStart) deliver() { _ = h.minion.Start(context.Background(), h.request) }

// Guards against a second run of a task when a start that was not answered is
// carried out by the next incarnation of the minion under the same id.
func TestTaskRunsTwiceAfterStartReachesNextIncarnation(t *testing.T) {
	background := context.Background()
	for name, disturb := range map[string]func(f *fixture, held *heldStart){
		"minion is gone in between": func(f *fixture, held *heldStart) {
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					if r.Number == 1 && (held.hold(m, r) || held.on() == m) {
						return errNoReply
					}
					return m.Start(background, r)
				},
				renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
					if held.on() == m {
						return host.StatusReport{Gone: true}, nil
					}
					return renewShortly(m, r)
				},
			})
			f.waitFor("a start is held", func() bool { return held.on() != nil })
			time.Sleep(500 * time.Millisecond) // The coordinator sees that the minion is gone.
			held.on().Restart()
		},
		"former incarnation answered the stop": func(f *fixture, held *heldStart) {
			var stopped atomic.Bool
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					switch {
					case r.Number > 1 || held.on() != nil && held.on() != m:
						return m.Start(background, r)
					case held.hold(m, r):
						return errNoReply
					}
					return host.ErrUnhealthy
				},
				stop: func(m *fleethost.Minion, r host.StopRequest) error {
					err := m.Stop(background, r)
					stopped.Store(true)
					return err
				},
				renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
					if held.on() == m {
						return host.StatusReport{}, errNoReply
					}
					return renewShortly(m, r)
				},
			})
			f.waitFor("the stop is answered", stopped.Load)
			held.on().Restart()
			f.hooks.Store(&hooks{renew: renewShortly})
			time.Sleep(500 * time.Millisecond) // The next incarnation reports.
		},
		"former incarnation reported the run": func(f *fixture, held *heldStart) {
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					if r.Number == 1 && held.hold(m, r) {
						return errNoReply
					}
					return m.Start(background, r)
				},
				renew: renewShortly,
			})
			f.waitFor("the next try is carried out", func() bool { return f.starts("job", 1) == 1 })
			time.Sleep(200 * time.Millisecond) // The minion reports the run.
			held.on().Restart()
			time.Sleep(500 * time.Millisecond) // The next incarnation reports.
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			var held heldStart
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 3*time.Second)
			disturb(f, &held)
			held.deliver()
			f.hooks.Store(nil)
			f.awaitState("job", workload.Done)
		})
	}
}

// Guards against resources that are allocated twice, and tasks that run twice,
// when a stop of the former coordinator is carried out shortly before the first
// contact of its successor with the minion.
func TestSuccessorWaitsForStopThatIsCarriedOutLate(t *testing.T) {
	t.Parallel()
	const stopTime = 700 * time.Millisecond
	background := context.Background()
	f := newSlowFixture(t, stopTime, "r1", "r1")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "job", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("job", 1) == 1 })
	var minion *fleethost.Minion
	for _, m := range f.minionList {
		if len(m.Look().Running) > 0 {
			minion = m
		}
	}
	time.Sleep(1200 * time.Millisecond) // The successor is to know that the host has room on the other minion.
	stop()
	f.hooks.Store(&hooks{renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
		if m == minion {
			return host.StatusReport{}, errNoReply
		}
		return m.RenewLease(background, r)
	}})
	defer f.startCoordinator("two")()
	f.waitFor("the successor leads", func() bool { return strings.Contains(f.logs.String(), `event="term begun" token=2`) })
	time.Sleep(stopTime + 400*time.Millisecond) // longer than stops take, from the begin of the term
	f.c.Assert(minion.Stop(background, host.StopRequest{Token: 1, Task: workload.TaskID{Job: "job"}, Number: 1}), qt.IsNil)
	f.hooks.Store(nil)
	f.waitFor("it runs again", func() bool { return f.starts("job", 1) == 2 })
	f.cancel("job")
	f.awaitState("job", workload.Cancelled)
}

// Guards against a start that is sent again after its run was stopped or given
// up.
func TestStartIsNotSentAgainAfterItsRunIsStopped(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	var chosen atomic.Pointer[fleethost.Minion]
	var tries atomic.Int64
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number > 1 {
				return m.Start(context.Background(), r)
			}
			chosen.Store(m)
			tries.Add(1)
			return errNoReply
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if chosen.Load() == m {
				return host.StatusReport{Gone: true}, nil
			}
			r.Wait = min(r.Wait, 5*time.Millisecond) // The coordinator sees that the minion is gone before the next try.
			return m.RenewLease(context.Background(), r)
		},
	})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.waitFor("it is stopped", func() bool { return strings.Contains(f.logs.String(), `event=stop job=job`) })
	time.Sleep(10 * time.Millisecond) // A try may be under way. Tries are 100 ms apart.
	former := tries.Load()
	time.Sleep(500 * time.Millisecond)
	f.c.Check(tries.Load(), qt.Equals, former)
	f.awaitState("job", workload.Done)
}
