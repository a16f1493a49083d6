package coordinator_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against starts that are repeated without end, with two writes each, at the
// only host, which refuses all of them, and against work that is lost by the delays.
func TestRefusedStartsAreDelayed(t *testing.T) {
	const window = 3 * time.Second
	for name, refusal := range map[string]error{
		"drains":              host.ErrDraining,
		"takes no work":       host.ErrUnhealthy,
		"has no room":         host.ErrNoCapacity,
		"another incarnation": host.ErrOtherIncarnation,
		"cannot read it":      host.ErrMalformed,
		"ticket":              host.ErrInvalidTicket,
		"ended run":           host.ErrRunEnded,
		"too late":            host.ErrStartTooLate,
		"disconnected":        host.ErrDisconnected,
	} {
		for urgency, tt := range map[string]struct{ priority, most int }{"urgent": {0, 13}, "ordinary": {1, 7}} { // most is what the delays allow.
			t.Run(name+" "+urgency, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, "r1")
				f.adviser = &adviser{permitted: []string{"m-0"}, validity: time.Minute, calls: make(chan int, 10_000)}
				defer f.startCoordinator("one")()
				f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 8)}}, shortDuration)
				f.awaitState("first", workload.Done) // The host is known by then.
				var runs atomic.Int64
				f.hooks.Store(&hooks{renew: renewShortly, start: func(_ *fleethost.Minion, r host.StartRequest) error {
					runs.Store(int64(r.Number))
					return refusal
				}})
				appends, begin := f.store.Appends(), time.Now()
				j := workload.Job{ID: "job", Priority: tt.priority, Queue: advised, Adviser: workload.AdviserUsed, Steps: []workload.Step{step(1, 8)}}
				f.submitWork(j, fleethost.Work{Duration: shortDuration, Ticketed: true})
				f.waitFor("a start is refused", func() bool { return runs.Load() > 0 })
				time.Sleep(window)
				f.c.Check(runs.Load() > 1, qt.IsTrue, qt.Commentf("it is repeated"))
				most := tt.most + int((time.Since(begin)-window)/(300*time.Millisecond)) // A busy machine sleeps for longer.
				f.c.Check(int(runs.Load()) <= most, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
				f.c.Check(f.store.Appends()-appends <= 2*most+6, qt.IsTrue, qt.Commentf("%d appends", f.store.Appends()-appends))
				f.hooks.Store(nil)
				f.awaitState("job", workload.Done)
			})
		}
	}
}
