package coordinator_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/story"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
)

// logBuffer collects the log lines of processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all lines.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// trace returns the log lines that concern a job.
func (f *fixture) trace(job workload.ID) string {
	s := story.New(string(job))
	f.c.Assert(s.Read(strings.NewReader(f.logs.String())), qt.IsNil)
	var out strings.Builder
	_, err := s.Write(&out)
	f.c.Assert(err, qt.IsNil)
	return out.String()
}

// Guards against job outcomes that cannot be explained from the logs.
func TestLogsShowTheCause(t *testing.T) {
	for name, tt := range map[string]struct {
		disturb func(f *fixture, j workload.Job)
		want    []string // want are parts of lines, in order.
	}{
		"late, because it was preempted": {
			func(f *fixture, j workload.Job) {
				f.submit(workload.Job{ID: "urgent", Organisation: "owner", Steps: []workload.Step{step(1, 8)}}, shortDuration)
				f.awaitState("urgent", workload.Done)
				f.awaitState(j.ID, workload.Done)
			},
			[]string{
				`event=placed job=job `, `event=stop job=job `, `reason="it makes room for more urgent work" for-job=urgent for-rank=guaranteed`,
				`event="run ended" job=job `, `outcome=stopped`, `event=placed job=job `, `outcome=completed`,
			},
		},
		"failed, because its host fails everything": {
			func(f *fixture, j workload.Job) {
				f.minionList[0].SetFaults(fleethost.Faults{FailAll: true})
				f.awaitState(j.ID, workload.Failed)
			},
			[]string{`event=placed job=job `, `host=host-0`, `outcome=crashed`, `event="job failed" job=job `, `attempts=1`},
		},
		"late, because its host was restarted": {
			func(f *fixture, j workload.Job) {
				f.minionList[0].Restart()
				f.awaitState(j.ID, workload.Done)
			},
			[]string{`event=placed job=job `, `event="host silent" host=host-0`, `event="run lost" job=job `, `host=host-0`, `event=placed job=job `, `outcome=completed`},
		},
		"late, because the store was down": {
			func(f *fixture, j workload.Job) {
				f.awaitState(j.ID, workload.Running) // Otherwise the record of the start fails first.
				f.store.SetFaults(fleetstore.Faults{Down: true})
				f.waitFor("it has ended", func() bool { return f.fleet.Finished(j.TaskID(0, 0)) })
				f.waitFor("the append has failed", func() bool { return strings.Contains(f.logs.String(), "append failed") })
				f.store.SetFaults(fleetstore.Faults{})
				f.awaitState(j.ID, workload.Done)
			},
			[]string{`event=placed job=job `, `outcome=completed`, `event="append failed"`, `event="append done"`, `event="job ended" job=job state=done`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1")
			defer f.startCoordinator("one")()
			j := f.submit(workload.Job{ID: "job", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, 3*time.Second)
			f.waitFor("it runs", func() bool { return f.starts(j.ID, 1) == 1 })
			time.Sleep(50 * time.Millisecond)
			tt.disturb(f, j)
			f.waitFor("the end is logged", func() bool { return strings.Contains(f.logs.String(), `event="job ended" job=job `) })
			trace := f.trace(j.ID)
			rest := trace
			for _, part := range tt.want {
				_, after, found := strings.Cut(rest, part)
				f.c.Assert(found, qt.IsTrue, qt.Commentf("%s is missing or out of order:\n%s", part, trace))
				rest = after
			}
		})
	}
}
