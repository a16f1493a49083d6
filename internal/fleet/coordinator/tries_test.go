package coordinator_test

import (
	"context"
	"errors"
	"strings"
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
