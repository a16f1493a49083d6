package coordinator_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against a second run of a task whose placement the next coordinator can't
// read, because another writer has replaced the progress of its job.
func TestTaskRunsTwiceAfterUnreadableProgress(t *testing.T) {
	for name, tt := range map[string]struct {
		progress string
		stop     error // stop is the reply of the minion to stops; nil if it carries them out.
		renew    error // renew is its reply to renewals; nil if it reports its runs.
	}{
		"minion is silent":       {progress: `{"state":"strange"}`, renew: errNoReply},
		"minion does not stop":   {progress: `{"state":"strange"}`, stop: errNoReply},
		"minion stops":           {progress: `{"state":"strange"}`},
		"progress of other job":  {progress: `{"state":"running","steps":[{"waiting":7}],"cycle":1}`, renew: errNoReply},
		"progress is not a text": {progress: "\xff", renew: errNoReply},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			stop := f.startCoordinator("one")
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 9*time.Second)
			f.waitFor("it runs", func() bool { return f.starts("job", 1) == 1 })
			var minion *fleethost.Minion
			for _, m := range f.minionList {
				if len(m.Look().Running) > 0 {
					minion = m
				}
			}
			stop()
			f.append(topic, ledger.Record{Key: "progress/job", Value: []byte(tt.progress)})
			var undisturbed atomic.Bool
			f.hooks.Store(&hooks{
				stop: func(m *fleethost.Minion, r host.StopRequest) error {
					if m == minion && tt.stop != nil && !undisturbed.Load() {
						return tt.stop
					}
					return m.Stop(context.Background(), r)
				},
				renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
					if m == minion && tt.renew != nil {
						return host.StatusReport{}, tt.renew
					}
					return renewShortly(m, r)
				},
			})
			defer f.startCoordinator("two")()
			f.waitFor("the successor leads", func() bool { return strings.Contains(f.logs.String(), `event="term begun" token=2`) })
			if tt.stop != nil {
				time.Sleep(7 * time.Second) // longer than every lease of the former term
				f.c.Check(f.starts("job", 1), qt.Equals, 1)
				undisturbed.Store(true)
			}
			f.waitFor("it runs again", func() bool {
				minion.Settle() // Its lease may have lapsed.
				return f.starts("job", 1) == 2
			})
			f.cancel("job")
			f.awaitState("job", workload.Cancelled)
		})
	}
}
