package coordinator_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleethost"
)

const evacuationTimeout = 5 * time.Second

// operatorsStore is a store that can't be read while down is set.
type operatorsStore struct {
	ledger.Store
	down *atomic.Bool
}

var errOperatorsDown = errors.New("the topic of the operators is down")

// Read implements ledger.Store.
func (s operatorsStore) Read(ctx context.Context, t ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	if s.down.Load() {
		return ledger.Page{}, errOperatorsDown
	}
	page, err := s.Store.Read(ctx, t, from, wait)
	if s.down.Load() { // The answer does not arrive.
		return ledger.Page{}, errOperatorsDown
	}
	return page, err
}

// startLog holds the data centres that starts were sent to.
type startLog struct {
	mu          sync.Mutex
	dataCentres []string
}

func (l *startLog) add(m *fleethost.Minion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dataCentres = append(l.dataCentres, m.Report().DataCentre)
}

func (l *startLog) count(dataCentre string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, d := range l.dataCentres {
		if d == dataCentre {
			n++
		}
	}
	return n
}

// newEvacuationFixture returns a fixture that follows evacuations, and the log of its
// starts. mute is the data centre whose minions do not receive starts.
func newEvacuationFixture(t *testing.T, mute string, dataCentres ...string) (*fixture, *startLog) {
	f := newFixture(t, dataCentres...)
	f.evacuationTimeout, f.maxLease = evacuationTimeout, longLease
	starts := &startLog{}
	f.hooks.Store(&hooks{start: func(m *fleethost.Minion, r host.StartRequest) error {
		starts.add(m)
		if m.Report().DataCentre == mute {
			return errNoReply
		}
		return m.Start(context.Background(), r)
	}})
	return f, starts
}

func (f *fixture) evacuate(dataCentres ...string) {
	for _, d := range dataCentres {
		f.append(operators, ledger.Record{Key: evacuationPrefix + d, Value: []byte("{}")})
	}
	time.Sleep(100 * time.Millisecond) // The coordinators have read it.
}

func (f *fixture) takeBack(dataCentre string) {
	f.append(operators, ledger.Record{Key: evacuationPrefix + dataCentre})
}

// Guards against starts in evacuated data centres, and against work that ends there or
// does not return.
func TestNothingStartsInEvacuatedDataCentres(t *testing.T) {
	t.Parallel()
	f, starts := newEvacuationFixture(t, "", "a", "b", "c")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "before", Steps: []workload.Step{step(3, 8)}}, 2*time.Second)
	f.waitFor("it runs everywhere", func() bool { return f.starts("before", 3) == 3 })
	f.evacuate("a", "b")
	f.submit(workload.Job{ID: "tasks", Steps: []workload.Step{step(3, 8)}}, shortDuration)
	f.submit(workload.Job{ID: "gang", Steps: []workload.Step{gang(2, 8)}}, shortDuration)
	f.submit(workload.Job{ID: "owned", Organisation: "owner", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.awaitState("before", workload.Done)
	f.awaitState("tasks", workload.Done)
	f.awaitState("owned", workload.Done)
	f.c.Check(f.starts("before", 3) <= 4, qt.IsTrue) // Only the task in c may make room.
	f.c.Check(starts.count("a"), qt.Equals, 1)
	f.c.Check(starts.count("b"), qt.Equals, 1)
	f.c.Check(f.stateOf("gang"), qt.Equals, workload.Pending)
	f.takeBack("b")
	f.awaitState("gang", workload.Done)
	f.c.Check(starts.count("a"), qt.Equals, 1)
}

// Guards against further tries of a start after the evacuation of its data centre, by
// the coordinator that has sent the first one and by its successor. The members of a
// gang that have started are stopped.
func TestStartIsWithdrawnFromEvacuatedDataCentre(t *testing.T) {
	for name, tt := range map[string]struct {
		task       workload.Step
		others     []string // others are evacuated until the start in a has been withdrawn.
		succession bool
	}{
		"task":            {step(1, 8), []string{"b", "c"}, false},
		"gang":            {gang(2, 8), []string{"c"}, false},
		"task, successor": {step(1, 8), []string{"b", "c"}, true},
		"gang, successor": {gang(2, 8), []string{"c"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, starts := newEvacuationFixture(t, "a", "a", "b", "c")
			f.evacuate(tt.others...)
			stop := f.startCoordinator("one")
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{tt.task}}, time.Second)
			f.waitFor("a start is under way", func() bool { return starts.count("a") > 0 })
			f.evacuate("a")
			sent := starts.count("a")
			if tt.succession {
				stop()
				stop = f.startCoordinator("two")
			}
			defer stop()
			for _, d := range tt.others {
				f.takeBack(d)
			}
			f.awaitState("job", workload.Done)
			f.c.Check(starts.count("a"), qt.Equals, sent)
			if !tt.succession {
				f.c.Check(f.logs.String(), qt.Contains, `reason="its host was evacuated during the start"`)
				f.c.Check(f.logs.String(), qt.Contains, `event=stop job=job`)
			}
		})
	}
}

// Guards against starts without a recent reading of the operators' topic, after which
// a data centre may have been evacuated, and against starts that are lost meanwhile.
func TestStartsWaitForTheOperatorsTopic(t *testing.T) {
	t.Parallel()
	f, starts := newEvacuationFixture(t, "", "a", "b")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(2, 8)}}, shortDuration)
	f.awaitState("first", workload.Done)
	f.operatorsDown.Store(true)
	time.Sleep(evacuationTimeout)
	f.append(operators, ledger.Record{Key: evacuationPrefix + "a", Value: []byte("{}")})
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(2, 8)}}, shortDuration)
	time.Sleep(time.Second)
	f.c.Check(starts.count("a")+starts.count("b"), qt.Equals, 2)
	f.operatorsDown.Store(false)
	f.awaitState("second", workload.Done)
	f.c.Check(starts.count("a"), qt.Equals, 1)
}
