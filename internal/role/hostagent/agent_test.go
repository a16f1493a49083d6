package hostagent_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/logging"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/platform"
)

const token = 5

var task = workload.TaskID{Job: "0123456789abcdef"}

// fixture is an agent with a stand-in of its minion that is served over HTTP.
type fixture struct {
	fleet    *fleethost.Fleet
	minion   *fleethost.Minion
	agent    *hostagent.Agent
	registry *metrics.Registry
	logs     logBuffer
}

// logBuffer collects the log lines of an agent.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
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

// withTask returns the lines about the task, without times and the keys that all
// of them have.
func (l *logBuffer) withTask() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for line := range strings.Lines(l.text.String()) {
		if _, rest, found := strings.Cut(line, "process=side-1 level=info "); found && strings.Contains(line, " task="+task.String()+" ") {
			lines = append(lines, strings.TrimSpace(strings.Replace(rest, " job="+string(task.Job)+" task="+task.String(), "", 1)))
		}
	}
	return lines
}

func newFixture(c *qt.C) *fixture {
	f := &fixture{fleet: fleethost.NewFleet(time.Millisecond), registry: metrics.For(c.Name())}
	f.minion = fleethost.NewMinion(f.fleet, host.Minion{ID: "m-1", Service: "app", Capacity: workload.Resources{MilliCores: 1000}})
	f.fleet.SetWork(task.Job, 0, fleethost.Work{Duration: time.Millisecond})
	s := httptest.NewUnstartedServer(nil)
	s.Config = platform.MinionServer(f.minion)
	s.Start()
	c.Cleanup(s.Close)
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	connect := func() hostagent.Connection { return platform.NewMinionConnection(address) }
	logger, err := logging.New(&f.logs, "info", "side-1")
	c.Assert(err, qt.IsNil)
	f.agent = hostagent.New(platform.NewMinionClient(address), connect, f.registry, logger)
	return f
}

// runTask runs the task to its end.
func (f *fixture) runTask(c *qt.C, number int) {
	r := host.StartRequest{Incarnation: f.minion.Report().Incarnation(), Token: token, Task: task, Number: number, StartDeadline: time.Minute}
	err := f.agent.Start(context.Background(), r)
	if err != nil { // The idle connection ended with the former incarnation.
		err = f.agent.Start(context.Background(), r)
	}
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * time.Millisecond)
}

func (f *fixture) renew(incarnation string, acknowledged int64, wait time.Duration) (host.StatusReport, error) {
	return f.agent.RenewLease(context.Background(), host.RenewLeaseRequest{
		Incarnation: incarnation, Token: token, LeaseUntil: time.Minute, AcknowledgedSequence: acknowledged, Wait: wait,
	})
}

// Guards against lost reports of ended runs: a renewal that acknowledges ended
// runs of a former incarnation must not reach a minion that was restarted under
// the same id, because the minion would forget its own ended runs.
func TestAcknowledgementsStayWithTheirIncarnation(t *testing.T) {
	tests := map[string]struct{ waiting bool }{
		"renewal after restart":        {false},
		"renewal waits during restart": {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c)
			former := f.minion.Report().Incarnation()
			f.runTask(c, 1)
			status, err := f.renew(former, 0, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(status.EndedRuns, qt.HasLen, 1)
			if tt.waiting {
				time.AfterFunc(20*time.Millisecond, f.minion.Restart)
				_, err = f.renew(former, 1, time.Second)
				c.Check(err, qt.IsNotNil)
			} else {
				_, err = f.renew(former, 1, 0)
				c.Assert(err, qt.IsNil)
				f.minion.Restart()
			}
			f.runTask(c, 2)
			for range 2 { // The first call may find that the connection is closed.
				if status, err = f.renew(former, 1, 0); err == nil {
					break
				}
			}
			c.Assert(err, qt.IsNil)
			c.Check(host.IncarnationStartedAt(former, status.Minion.StartedAt), qt.IsFalse)
			c.Check(status.EndedRuns, qt.HasLen, 1)
			status, err = f.renew(f.minion.Report().Incarnation(), 0, 0)
			c.Assert(err, qt.IsNil)
			c.Check(status.EndedRuns, qt.HasLen, 1)
		})
	}
}

// Guards against a late start for a former incarnation of the minion that the next
// one carries out, because it has the same id.
func TestLateStartDoesNotReachNextIncarnation(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	former := f.minion.Report().Incarnation()
	_, err := f.renew(former, 0, 0)
	c.Assert(err, qt.IsNil)
	f.minion.Restart()
	for range 2 { // The first call may find that the connection is closed.
		if _, err = f.renew(former, 0, 0); err == nil {
			break
		}
	}
	c.Assert(err, qt.IsNil)
	start := host.StartRequest{Incarnation: former, Token: token, Task: task, Number: 1, StartDeadline: time.Minute}
	for range 2 { // As above.
		c.Check(f.agent.Start(context.Background(), start), qt.ErrorIs, host.ErrOtherIncarnation)
	}
	c.Check(f.fleet.Starts(task), qt.Equals, 0)
	start.Incarnation = f.minion.Report().Incarnation()
	c.Check(f.agent.Start(context.Background(), start), qt.IsNil)
	c.Check(f.fleet.Starts(task), qt.Equals, 1)
}

// Guards against renewals of two coordinators that block or break each other.
func TestConcurrentRenewals(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	incarnation := f.minion.Report().Incarnation()
	const wait = 300 * time.Millisecond
	waiting := make(chan error, 1)
	time.AfterFunc(0, func() {
		_, err := f.renew(incarnation, 0, wait)
		waiting <- err
	})
	time.Sleep(wait / 3)
	begin := time.Now()
	_, err := f.renew(incarnation, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Check(time.Since(begin) < wait/3, qt.IsTrue)
	c.Check(<-waiting, qt.IsNil)
	_, err = f.renew(incarnation, 0, 0)
	c.Check(err, qt.IsNil)
}

// report fetches a status report. The first call may find that the connection is
// closed.
func (f *fixture) report(c *qt.C) {
	_, err := f.renew(f.minion.Report().Incarnation(), 0, 0)
	if err != nil {
		_, err = f.renew(f.minion.Report().Incarnation(), 0, 0)
	}
	c.Assert(err, qt.IsNil)
}

// start sends a start for the incarnation that runs at present.
func (f *fixture) start(ctx context.Context, number int) error {
	return f.agent.Start(ctx, host.StartRequest{
		Incarnation: f.minion.Report().Incarnation(), Token: token, Task: task, Number: number, StartDeadline: time.Minute,
	})
}

// Guards against a run that is carried out although its start was not answered,
// and against log lines of the agent that do not tell so.
func TestLogsShowTheStateOfStarts(t *testing.T) {
	for name, tt := range map[string]struct {
		run  func(c *qt.C, f *fixture)
		want []string // want are expressions for the lines about the task, in order.
	}{
		"answered": {
			func(c *qt.C, f *fixture) {
				c.Assert(f.start(context.Background(), 1), qt.IsNil)
				f.report(c)
			},
			[]string{
				`event=start run=1 token=5 minion=m-1@\w+ known-minion=m-1@\w+ known-age=\S+ draining=false unanswered-before=0 asked=true outcome=done took=\S+ caller=waits`,
			},
		},
		"not answered and carried out, refused because the minion drains": {
			func(c *qt.C, f *fixture) {
				counters := []metrics.Counter{
					f.registry.Counter("agent-starts-carried-out-unanswered", "", ""),
					f.registry.Counter("agent-starts-refused-draining", "", ""),
					f.registry.Counter("agent-start-unanswered", "", ""),
				}
				var former []int64
				for _, counter := range counters {
					former = append(former, counter.Value())
				}
				f.minion.SetFaults(fleethost.Faults{LoseStarts: 1})
				c.Assert(f.start(context.Background(), 1), qt.IsNotNil)
				state := f.minion.Report()
				state.Draining = true
				f.agent.Heartbeat(state, 2)
				c.Assert(f.start(context.Background(), 1), qt.ErrorIs, host.ErrDraining)
				f.report(c)
				for i, counter := range counters {
					c.Check(counter.Value()-former[i], qt.Equals, int64(1))
				}
			},
			[]string{
				`event=start run=1 token=5 minion=m-1@\w+ known-minion=m-1@\w+ known-age=\S+ draining=false unanswered-before=0 asked=true outcome=unanswered reason=".*" took=\S+ caller=waits`,
				`event=start run=1 token=5 minion=m-1@\w+ known-minion=m-1@\w+ known-age=\S+ draining=true unanswered-before=1 asked=false outcome=refused reason="the minion is leaving" took=0s caller=waits`,
				`event="run reported" run=1 minion=(?P<was>m-1@\w+) started-for=(?P<is>m-1@\w+) unanswered-starts=1 state=running`,
			},
		},
		"refused by the minion": {
			func(c *qt.C, f *fixture) {
				c.Assert(f.agent.Stop(context.Background(), host.StopRequest{Incarnation: f.minion.Report().Incarnation(), Token: token, Task: task, Number: 1}), qt.IsNil)
				c.Assert(f.start(context.Background(), 1), qt.ErrorIs, host.ErrRunEnded)
			},
			[]string{
				`event=stop run=1 token=5 minion=m-1@\w+ known-minion=m-1@\w+ known-age=\S+ draining=false asked=true outcome=done took=\S+ caller=waits`,
				`event=start run=1 .* asked=true outcome=refused reason="start: the run was stopped or has ended" took=\S+ caller=waits`,
			},
		},
		"the caller has gone": {
			func(c *qt.C, f *fixture) {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				c.Assert(f.start(ctx, 1), qt.IsNotNil)
			},
			[]string{`event=start run=1 .* asked=true outcome=unanswered reason=".*context canceled" took=\S+ caller=gone`},
		},
		"carried out by the next incarnation": {
			func(c *qt.C, f *fixture) {
				f.report(c)
				former := f.minion.Report().Incarnation()
				time.Sleep(2 * time.Millisecond)
				f.minion.Restart()
				r := host.StartRequest{Incarnation: former, Token: token, Task: task, Number: 1, StartDeadline: time.Minute}
				c.Assert(f.agent.Start(context.Background(), r), qt.IsNil)
				f.report(c)
			},
			[]string{
				`event=start run=1 token=5 minion=m-1@(?P<former>\w+) known-minion=m-1@\w+ .* outcome=done .*`,
				`event="run reported" run=1 minion=@(?P<next>\w+) started-for=m-1@\w+ unanswered-starts=0 state=running`,
			},
		},
		"answered and ended": {
			func(c *qt.C, f *fixture) {
				c.Assert(f.start(context.Background(), 1), qt.IsNil)
				f.report(c)
				f.minion.End(task)
				f.report(c)
				f.report(c)
			},
			[]string{`event=start run=1 .* outcome=done .*`},
		},
		"ended before it was reported, without an answer": {
			func(c *qt.C, f *fixture) {
				f.minion.SetFaults(fleethost.Faults{LoseStarts: 1})
				c.Assert(f.start(context.Background(), 1), qt.IsNotNil)
				f.minion.End(task)
				f.report(c)
				f.report(c)
			},
			[]string{
				`event=start run=1 .* outcome=unanswered .*`,
				`event="run reported" run=1 minion=m-1@\w+ started-for=m-1@\w+ unanswered-starts=1 state=ended outcome=crashed sequence=1`,
			},
		},
		"started by an earlier process of the agent": {
			func(c *qt.C, f *fixture) {
				r := host.StartRequest{Incarnation: f.minion.Report().Incarnation(), Token: token, Task: task, Number: 1, StartDeadline: time.Minute}
				c.Assert(f.minion.Start(context.Background(), r), qt.IsNil)
				f.report(c)
				f.report(c)
			},
			[]string{`event="run reported" run=1 minion=m-1@\w+ started-for= unanswered-starts=0 state=running`},
		},
		"not answered again after it was reported": {
			func(c *qt.C, f *fixture) {
				f.minion.SetFaults(fleethost.Faults{LoseStarts: 1})
				c.Assert(f.start(context.Background(), 1), qt.IsNotNil)
				f.report(c)
				f.minion.SetFaults(fleethost.Faults{Silent: true})
				for range 2 {
					c.Assert(f.start(context.Background(), 1), qt.IsNotNil)
				}
			},
			[]string{
				`event=start run=1 .* unanswered-before=0 asked=true outcome=unanswered .*`,
				`event="run reported" run=1 .* unanswered-starts=1 state=running`,
				`event=start run=1 .* unanswered-before=1 asked=true outcome=unanswered .*`,
				`event=start run=1 .* unanswered-before=2 asked=true outcome=unanswered .*`,
			},
		},
		"not answered, then answered": {
			func(c *qt.C, f *fixture) {
				carriedOut := f.registry.Counter("agent-starts-carried-out-unanswered", "", "")
				former := carriedOut.Value()
				f.minion.SetFaults(fleethost.Faults{LoseStarts: 1})
				c.Assert(f.start(context.Background(), 1), qt.IsNotNil)
				c.Assert(f.start(context.Background(), 1), qt.IsNil)
				f.report(c)
				c.Check(carriedOut.Value(), qt.Equals, former)
			},
			[]string{
				`event=start run=1 .* unanswered-before=0 asked=true outcome=unanswered .*`,
				`event=start run=1 .* unanswered-before=1 asked=true outcome=done .*`,
			},
		},
		"refused, then answered": {
			func(c *qt.C, f *fixture) {
				state := f.minion.Report()
				state.Draining = true
				f.agent.Heartbeat(state, 2)
				c.Assert(f.start(context.Background(), 1), qt.ErrorIs, host.ErrDraining)
				state.Draining = false
				f.agent.Heartbeat(state, 3)
				c.Assert(f.start(context.Background(), 1), qt.IsNil)
				f.report(c)
			},
			[]string{
				`event=start run=1 .* asked=false outcome=refused .*`,
				`event=start run=1 .* unanswered-before=0 asked=true outcome=done .*`,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c)
			f.fleet.SetWork(task.Job, 0, fleethost.Work{Duration: time.Minute})
			f.agent.Heartbeat(f.minion.Report(), 1)
			tt.run(c, f)
			lines := f.logs.withTask()
			c.Assert(lines, qt.HasLen, len(tt.want), qt.Commentf("%s", strings.Join(lines, "\n")))
			incarnations := make(map[string]string)
			for i, line := range lines {
				expression := regexp.MustCompile("^" + tt.want[i] + "$")
				found := expression.FindStringSubmatch(line)
				c.Assert(found, qt.IsNotNil, qt.Commentf("%s\nwant %s", line, tt.want[i]))
				for k, name := range expression.SubexpNames() {
					incarnations[name] = found[k]
				}
			}
			if former, found := incarnations["former"]; found {
				c.Check(incarnations["next"], qt.Not(qt.Equals), former)
			}
			c.Check(incarnations["is"], qt.Equals, incarnations["was"])
		})
	}
}

// Guards against a minion that does not answer and an agent that is not called,
// which look the same to the coordinator.
func TestLogsTellASilentMinionFromALostCoordinator(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.report(c)
	f.minion.SetFaults(fleethost.Faults{Silent: true})
	for range 3 {
		_, err := f.renew("", 0, 0)
		c.Assert(err, qt.IsNotNil)
	}
	f.minion.SetFaults(fleethost.Faults{})
	f.report(c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.agent.RenewLease(ctx, host.RenewLeaseRequest{Token: token})
	c.Assert(err, qt.IsNotNil)
	time.Sleep(2600 * time.Millisecond)
	f.report(c)
	c.Check(f.logs.String(), qt.Matches, `(?s)(.*event="call with a higher fencing token" token=5 former=0\n)`+
		`.*event="minion answers" last-answer=0s\n`+
		`.*level=warn event="minion silent" last-answer=\S+ reason="[^\n]+\n`+
		`[^\n]*event="minion answers" last-answer=\S+\n`+
		`[^\n]*event="calls resumed" token=5 former=5 last-call=[2-9]\S*s\n`)
}
