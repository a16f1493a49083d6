package coordinator_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/logging"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	topic     ledger.Topic = "fleet"
	operators ledger.Topic = "operators"
	// waitTimeout bounds every wait of a test.
	waitTimeout     = 20 * time.Second
	defaultStopTime = 30 * time.Millisecond
	lease           = 2 * time.Second
	// advised is the queue whose jobs need tickets of an adviser.
	advised = "advised"
)

var minionCapacity = workload.Resources{MilliCores: 64000, MemoryMB: 1000, Accelerators: 8}

// fixture is a fleet of minions with the store of the coordinators.
type fixture struct {
	c          *qt.C
	store      *fleetstore.Store
	fleet      *fleethost.Fleet
	minions    map[netip.AddrPort]*fleethost.Minion
	minionList []*fleethost.Minion
	state      *ledger.State
	reader     *ledger.Reader
	group      *group.Group

	hooks               atomic.Pointer[hooks]          // hooks may disturb the calls to all minions; nil passes them on.
	logs                logBuffer                      // logs collects the logs of all coordinators.
	refusedAddress      atomic.Pointer[netip.AddrPort] // refusedAddress is the address at which connections are refused.
	adviser             coordinator.Adviser            // adviser of the advised queue.
	taskStopTime        time.Duration                  // taskStopTime is how long minions take to stop a run.
	silentHostRetention time.Duration                  // silentHostRetention of the coordinators; 0 for the default.
	maxLease            time.Duration                  // maxLease of the coordinators; 0 for lease.
	newest              *coordinator.Coordinator       // newest is the coordinator that was started last.
	evacuationTimeout   time.Duration                  // evacuationTimeout of the coordinators; 0 if they don't follow evacuations.
	noticeTime          time.Duration                  // noticeTime of the coordinators.
	operatorsDown       atomic.Bool                    // operatorsDown is set while the operators' topic can't be read.
}

// evacuationPrefix comes before the data centre in the key of an evacuation.
const evacuationPrefix = "evacuate/"

// newFixture starts a fleet with one minion for each rack named. The data centre of a
// minion has the name of its rack.
func newFixture(t *testing.T, racks ...string) *fixture {
	return newSlowFixture(t, defaultStopTime, racks...)
}

// newSlowFixture starts a fleet whose minions take stopTime to stop a run.
func newSlowFixture(t *testing.T, stopTime time.Duration, racks ...string) *fixture {
	c := qt.New(t)
	f := &fixture{
		c: c, store: fleetstore.New(), fleet: fleethost.NewFleet(stopTime), minions: make(map[netip.AddrPort]*fleethost.Minion),
		state: ledger.NewState(), group: group.New(context.Background()), taskStopTime: stopTime,
	}
	f.append(operators, ledger.Record{Key: "config", Value: []byte("1")})
	for i, rack := range racks {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		m := fleethost.NewMinion(f.fleet, host.Minion{ID: fmt.Sprintf("m-%d", i), Service: "app", DataCentre: rack, Rack: rack, Labels: []string{"a", rack}, Capacity: minionCapacity})
		f.minions[address] = m
		f.minionList = append(f.minionList, m)
		record, err := ledger.EncodeMember(ledger.Member{Name: fmt.Sprintf("host-%d", i), Role: ledger.AgentRole, Address: address})
		c.Assert(err, qt.IsNil)
		f.append(topic, record)
	}
	f.reader = ledger.NewReader(f.store, topic, f.state, 0, log.NewNopLogger())
	f.group.Go("reader", f.reader.Run)
	c.Cleanup(func() {
		f.group.Stop()
		c.Check(f.group.Wait(), qt.IsNil)
		c.Check(f.fleet.Findings(), qt.HasLen, 0)
	})
	return f
}

func (f *fixture) append(to ledger.Topic, records ...ledger.Record) {
	f.c.Assert(f.store.Append(context.Background(), to, records), qt.IsNil)
}

// startCoordinator starts a coordinator that campaigns under a name, and returns
// a function that stops it.
func (f *fixture) startCoordinator(name string) (stop func()) {
	current := catalogue.NewCurrent("config", func([]byte) (*catalogue.Catalogue, error) {
		return &catalogue.Catalogue{
			Version: 1, Queues: []catalogue.Queue{{Name: "q", Service: "app"}, {Name: advised, Service: "app", UsesAdviser: true}},
			Organisations: []catalogue.Organisation{{Name: "owner", GuaranteedAccelerators: 8}},
		}, nil
	}, log.NewNopLogger())
	current.FollowEvacuations(func(key string) (string, bool) { return strings.CutPrefix(key, evacuationPrefix) })
	logger, err := logging.New(&f.logs, "info", name)
	f.c.Assert(err, qt.IsNil)
	g := group.New(f.group.Context())
	state := ledger.NewState()
	reader := ledger.NewReader(f.store, topic, state, 0, log.NewNopLogger())
	g.Go("jobs", reader.Run)
	catalogueReader := ledger.NewReader(operatorsStore{f.store, &f.operatorsDown}, operators, current, 0, log.NewNopLogger())
	g.Go("plans", catalogueReader.Run)
	options := coordinator.Options{
		Name: name, MaxLease: cmp.Or(f.maxLease, lease), GangStartTimeout: time.Second, TaskStopTimeout: f.taskStopTime, StatusRetention: time.Minute, SilentHostRetention: f.silentHostRetention, Adviser: f.adviser, EvacuationTimeout: f.evacuationTimeout, NoticeTime: f.noticeTime,
	}
	coord := coordinator.New(options, f.store, topic, state, reader, current, catalogueReader.ReadAt,
		func(a netip.AddrPort) host.Client { return link{f.minions[a], &f.hooks} }, f.connectionRefused, metrics.For(f.c.Name()+name), logger)
	f.newest = coord
	g.Go("coordinator", coord.Run)
	return func() {
		g.Stop()
		f.c.Check(g.Wait(), qt.IsNil)
	}
}

// connectionRefused simulates a connection to the address of an entry.
func (f *fixture) connectionRefused(_ context.Context, a netip.AddrPort) bool {
	refused := f.refusedAddress.Load()
	return refused != nil && *refused == a
}

// addEntry adds the member record of an entry and returns the candidate name of
// its process.
func (f *fixture) addEntry(name string, address string, started time.Time) string {
	m := ledger.Member{Name: name, Role: ledger.EntryRole, Address: netip.MustParseAddrPort(address), Started: started, RecordsLeases: true}
	record, err := ledger.EncodeMember(m)
	f.c.Assert(err, qt.IsNil)
	f.append(topic, record)
	return coordinator.CandidateName(m)
}

// submit records a job whose tasks run for a time on the minions.
func (f *fixture) submit(j workload.Job, runTime time.Duration) workload.Job {
	works := make([]fleethost.Work, len(j.Steps))
	for i, step := range j.Steps {
		works[i] = fleethost.Work{Duration: runTime, Need: step.Need}
	}
	return f.submitWorks(j, works)
}

// submitWorks records a job with the work of each step, which is estimated correctly.
func (f *fixture) submitWorks(j workload.Job, works []fleethost.Work) workload.Job {
	for i, w := range works {
		j.Steps[i].Estimate = w.Duration
	}
	return f.submitEstimated(j, works)
}

// submitEstimated records a job with the work of each step and the estimates that the
// job has. The minions know the work before the coordinator knows the job.
func (f *fixture) submitEstimated(j workload.Job, works []fleethost.Work) workload.Job {
	j.Queue, j.Service, j.Submitted = cmp.Or(j.Queue, "q"), "app", time.Now()
	j.Attempts, j.Stretch, j.Objective = max(1, j.Attempts), 2, time.Second
	for i, w := range works {
		f.fleet.SetWork(j.ID, i, w)
	}
	record, err := ledger.EncodeJob(j)
	f.c.Assert(err, qt.IsNil)
	f.append(topic, record)
	return j
}

func (f *fixture) cancel(id workload.ID) {
	f.c.Assert(f.reader.Refresh(context.Background()), qt.IsNil)
	e, _ := f.state.Job(id)
	record, err := ledger.EncodeCancellation(id, e.Job.Organisation, time.Now())
	f.c.Assert(err, qt.IsNil)
	f.append(topic, record)
}

func (f *fixture) stateOf(id workload.ID) workload.State {
	e, ok := f.state.Job(id)
	if !ok {
		return -1
	}
	return e.State()
}

// awaitState waits until the job is in the state.
func (f *fixture) awaitState(id workload.ID, want workload.State) {
	f.waitFor(fmt.Sprintf("%s is %s", id, want), func() bool { return f.stateOf(id) == want })
}

func (f *fixture) waitFor(what string, holds func() bool) {
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.c.Fatalf("not within %s: %s; findings: %v", waitTimeout, what, f.fleet.Findings())
		}
	}
}

func step(count, accelerators int) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{MilliCores: 1000, MemoryMB: 10, Accelerators: accelerators}}
}

func gang(count, accelerators int) workload.Step {
	s := step(count, accelerators)
	s.Gang = true
	return s
}
