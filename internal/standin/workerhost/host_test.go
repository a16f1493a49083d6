package workerhost_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/standin/workerhost"
)

var (
	capacity = worker.Resources{Cores: 8, Memory: 100, Accelerators: 2}
	first    = worker.Lease{Holder: "a", Epoch: 1, TTL: time.Minute}
	second   = worker.Lease{Holder: "b", Epoch: 2, TTL: time.Minute}
)

func start(t *testing.T) (*workerhost.Host, *worker.Client) {
	t.Helper()
	h := workerhost.New(capacity, nil)
	server := httptest.NewServer(h.Handler())
	client := worker.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 300*time.Millisecond)
	t.Cleanup(func() {
		h.SetFaults(workerhost.Faults{})
		client.Close()
		server.Close()
	})
	return h, client
}

func held(name string) worker.Spec {
	return worker.Spec{Name: name, Resources: worker.Resources{Memory: 60}, RunTime: time.Minute, Held: true, StartDeadline: time.Minute}
}

// Guards against two holders of one worker.
func TestHigherEpochSupersedes(t *testing.T) {
	c := qt.New(t)
	_, client := start(t)
	ctx := context.Background()
	_, err := client.Renew(ctx, first, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = client.Renew(ctx, worker.Lease{Holder: "b", Epoch: 1, TTL: time.Minute}, 0, 0)
	c.Assert(errors.Is(err, worker.ErrStaleLease), qt.IsTrue)
	_, err = client.Renew(ctx, second, 0, 0)
	c.Assert(err, qt.IsNil)
	_, err = client.Start(ctx, first, held("t"))
	c.Assert(errors.Is(err, worker.ErrStaleLease), qt.IsTrue)
	_, err = client.Start(ctx, second, held("t"))
	c.Assert(err, qt.IsNil)
	listing, err := client.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(listing.Lease.Epoch, qt.Equals, int64(2))
	c.Assert(listing.Report.Tasks, qt.HasLen, 1)
}

// Guards against tasks that outlive the lease or their start deadline.
func TestTasksEndWithTheirLeaseOrDeadline(t *testing.T) {
	c := qt.New(t)
	h, client := start(t)
	ctx := context.Background()
	_, err := client.Renew(ctx, worker.Lease{Holder: "a", Epoch: 1, TTL: 400 * time.Millisecond}, 0, 0)
	c.Assert(err, qt.IsNil)
	s := held("expires")
	s.StartDeadline = 50 * time.Millisecond
	for _, s := range []worker.Spec{s, held("lapses")} {
		_, err = client.Start(ctx, first, s)
		c.Assert(err, qt.IsNil)
	}
	time.Sleep(700 * time.Millisecond)
	history := h.History()
	c.Assert([]worker.TaskState{history[0].End, history[1].End}, qt.DeepEquals, []worker.TaskState{worker.Expired, worker.Lapsed})
}

// Guards against a client that takes a lost answer for a refusal, and against
// a start that takes effect after its stop.
func TestErrorsTellWhetherTheCallTookEffect(t *testing.T) {
	tests := map[string]struct {
		faults workerhost.Faults
		crash  bool
		want   error
		starts int
	}{
		"refuses":     {faults: workerhost.Faults{RefuseStarts: true}, want: worker.ErrRefused},
		"hangs":       {faults: workerhost.Faults{Hang: true}, want: worker.ErrOutcomeUnknown},
		"loses":       {faults: workerhost.Faults{LoseAnswers: true}, want: worker.ErrOutcomeUnknown, starts: 1},
		"frozen":      {faults: workerhost.Faults{Freeze: true}, want: worker.ErrOutcomeUnknown, starts: 1},
		"has crashed": {crash: true, want: worker.ErrOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, client := start(t)
			ctx := context.Background()
			_, err := client.Renew(ctx, first, 0, 0)
			c.Assert(err, qt.IsNil)
			_, err = client.Stop(ctx, first, "stopped")
			c.Assert(errors.Is(err, worker.ErrUnknownTask), qt.IsTrue)
			_, err = client.Start(ctx, first, held("stopped"))
			c.Assert(errors.Is(err, worker.ErrRefused), qt.IsTrue)
			h.SetFaults(tt.faults)
			if tt.crash {
				h.Crash()
			}
			_, err = client.Start(ctx, first, held("t"))
			c.Assert(errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
			h.SetFaults(workerhost.Faults{})
			time.Sleep(50 * time.Millisecond) // held calls are carried out
			c.Assert(h.History(), qt.HasLen, tt.starts)
		})
	}
}

// Guards against a stand-in that hides overcommitted workers from tests.
func TestOversubscribedMemoryFailsTasks(t *testing.T) {
	c := qt.New(t)
	_, client := start(t)
	ctx := context.Background()
	_, err := client.Renew(ctx, first, 0, 0)
	c.Assert(err, qt.IsNil)
	var last worker.Task
	for _, name := range []string{"t", "u"} {
		_, err = client.Start(ctx, first, held(name))
		c.Assert(err, qt.IsNil)
		last, err = client.Throttle(ctx, first, name, worker.Unthrottled)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(last.State, qt.Equals, worker.Failed)
}
