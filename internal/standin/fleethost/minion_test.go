package fleethost_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

const (
	token    = 5
	stopTime = 10 * time.Millisecond
	workTime = 20 * time.Millisecond
	maxLease = time.Minute
	gangTime = 50 * time.Millisecond
)

var (
	task  = workload.TaskID{Job: "0123456789abcdef"}
	other = workload.TaskID{Job: "0123456789abcdef", Index: 1}
)

// fixture is a fleet of two minions.
type fixture struct {
	c     *qt.C
	fleet *fleethost.Fleet
	a, b  *fleethost.Minion
}

func newFixture(c *qt.C, work fleethost.Work) *fixture {
	f := &fixture{c: c, fleet: fleethost.NewFleet(stopTime)}
	f.fleet.SetBounds(maxLease, gangTime)
	f.fleet.SetWork(task.Job, 0, work)
	report := host.Minion{Service: "app", Labels: []string{"kind", "r1"}, Capacity: workload.Resources{MilliCores: 1000}}
	report.ID = "a"
	f.a = fleethost.NewMinion(f.fleet, report)
	report.ID = "b"
	f.b = fleethost.NewMinion(f.fleet, report)
	return f
}

func request(m *fleethost.Minion, t workload.TaskID, number int) host.StartRequest {
	return host.StartRequest{Incarnation: m.Report().Incarnation(), Token: token, Task: t, Number: number, StartDeadline: time.Since(m.Report().StartedAt) + time.Second}
}

// start starts a run that must be taken.
func (f *fixture) start(m *fleethost.Minion, t workload.TaskID, number int) {
	f.c.Assert(m.Start(context.Background(), request(m, t, number)), qt.IsNil)
}

// renew renews the lease until a time and acknowledges ends.
func (f *fixture) renew(m *fleethost.Minion, until time.Duration, acknowledged int64) host.StatusReport {
	l, err := m.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token, LeaseUntil: until, AcknowledgedSequence: acknowledged})
	f.c.Assert(err, qt.IsNil)
	return l
}

// run runs a task to its end.
func (f *fixture) run(m *fleethost.Minion, t workload.TaskID, number int) {
	f.start(m, t, number)
	time.Sleep(workTime + 5*time.Millisecond)
	m.Settle()
	f.c.Assert(f.fleet.Finished(t), qt.IsTrue)
}

// Guards against checks of runs that cannot fail, and against findings in a
// history that is allowed.
func TestRunsAreChecked(t *testing.T) {
	alone := fleethost.Work{Duration: workTime, Need: workload.Resources{MilliCores: 400}}
	for name, tt := range map[string]struct {
		work    fleethost.Work
		play    func(f *fixture)
		finding string // finding is empty when the history is allowed.
	}{
		"once":                {alone, func(f *fixture) { f.run(f.a, task, 1) }, ""},
		"two tasks at a time": {alone, func(f *fixture) { f.start(f.a, task, 1); f.start(f.b, other, 1) }, ""},
		"twice at a time":     {alone, func(f *fixture) { f.start(f.a, task, 1); f.start(f.b, task, 2) }, ".* runs twice: run 1 on a@.* since .*, run 2 on b@.*"},
		"twice on one minion": {alone, func(f *fixture) { f.start(f.a, task, 1); f.start(f.a, task, 2) }, ".* runs twice: .*"},
		"again after the minion has left": {alone, func(f *fixture) {
			f.start(f.a, task, 1)
			f.a.Leave()
			f.start(f.b, task, 2)
		}, ""},
		"again after an acknowledged end": {alone, func(f *fixture) {
			f.run(f.a, task, 1)
			f.renew(f.a, maxLease, 1)
			f.start(f.b, task, 2)
		}, ".* runs again after it has finished: run 2 on b@.*, finished on a@.*"},
		"again after an end that is acknowledged later": {alone, func(f *fixture) {
			f.run(f.a, task, 1)
			f.start(f.b, task, 2)
			f.renew(f.a, maxLease, 1)
		}, ".* runs again after it has finished: .*"},
		"again after an end that a living minion reports": {alone, func(f *fixture) {
			f.run(f.a, task, 1)
			f.start(f.b, task, 2)
		}, ".* runs again after it has finished: .*"},
		"again after an acknowledged end of a minion that has left": {alone, func(f *fixture) {
			f.run(f.a, task, 1)
			f.renew(f.a, maxLease, 1)
			f.a.Leave()
			f.start(f.b, task, 2)
		}, ".* runs again after it has finished: .*"},
		"again after an end that was lost with its minion": {alone, func(f *fixture) {
			f.run(f.a, task, 1)
			f.a.Restart()
			f.start(f.b, task, 2)
		}, ""},
		"again after the lease of an end has expired": {alone, func(f *fixture) {
			f.fleet.SetBounds(3*workTime, gangTime)
			f.run(f.a, task, 1)
			time.Sleep(3 * workTime)
			f.a.Settle()
			f.start(f.b, task, 2)
			f.renew(f.a, maxLease, 1)
		}, ""},
		"beyond the room": {fleethost.Work{Duration: workTime, Need: workload.Resources{MilliCores: 600}},
			func(f *fixture) { f.start(f.a, task, 1); f.start(f.a, other, 1) }, ".* does not fit on a"},
		"with the label":    {fleethost.Work{Label: "kind"}, func(f *fixture) { f.start(f.a, task, 1) }, ""},
		"without the label": {fleethost.Work{Label: "b"}, func(f *fixture) { f.start(f.a, task, 1) }, ".* started on a, which lacks label b"},
		"spread":            {fleethost.Work{Duration: workTime, Spread: 1}, func(f *fixture) { f.start(f.a, task, 1); f.start(f.b, other, 1) }, ""},
		"not spread":        {fleethost.Work{Duration: workTime, Spread: 1}, func(f *fixture) { f.start(f.a, task, 1); f.start(f.a, other, 1) }, ".* started on a as number 2 of its step"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(qt.New(t), tt.work)
			tt.play(f)
			findings := f.fleet.Findings()
			if tt.finding == "" {
				f.c.Assert(findings, qt.HasLen, 0)
				return
			}
			f.c.Assert(findings, qt.HasLen, 1)
			f.c.Check(findings[0], qt.Matches, tt.finding)
		})
	}
}

// Guards against a minion that answers orders otherwise than the platform says.
func TestOrdersAreAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		before func(f *fixture)
		number int
		token  int64
		until  time.Duration
		want   error
	}{
		"new":                          {number: 1, token: token, until: time.Second},
		"there already":                {before: func(f *fixture) { f.start(f.a, task, 1) }, number: 1, token: token, until: time.Second},
		"too late":                     {number: 1, token: token, until: -time.Second, want: host.ErrStartTooLate},
		"lower token":                  {before: func(f *fixture) { f.start(f.a, other, 1) }, number: 1, token: token - 1, until: time.Second, want: host.ErrFenced},
		"ended":                        {before: func(f *fixture) { f.run(f.a, task, 1) }, number: 1, token: token, until: time.Second, want: host.ErrRunEnded},
		"not higher than one ended":    {before: func(f *fixture) { f.run(f.a, task, 3) }, number: 2, token: token, until: time.Second, want: host.ErrRunEnded},
		"higher than one ended":        {before: func(f *fixture) { f.run(f.a, task, 3) }, number: 4, token: token, until: time.Second},
		"not higher than one stopped":  {before: func(f *fixture) { f.stop(f.a, 3) }, number: 2, token: token, until: time.Second, want: host.ErrRunEnded},
		"stopped by the former life":   {before: func(f *fixture) { f.stop(f.a, 3); f.a.Restart() }, number: 2, token: token, until: time.Second},
		"token seen by the former one": {before: func(f *fixture) { f.stop(f.a, 3); f.a.Restart() }, number: 2, token: token - 1, until: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c, fleethost.Work{Duration: workTime})
			if tt.before != nil {
				tt.before(f)
			}
			r := request(f.a, task, tt.number)
			r.Token, r.StartDeadline = tt.token, tt.until
			err := f.a.Start(context.Background(), r)
			c.Check(errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func (f *fixture) stop(m *fleethost.Minion, number int) {
	f.c.Assert(m.Stop(context.Background(), host.StopRequest{Token: token, Task: task, Number: number}), qt.IsNil)
}

// Guards against leases that last longer than the platform lets them.
func TestLeaseIsShortened(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, fleethost.Work{Lasting: true})
	f.fleet.SetBounds(20*time.Millisecond, 0)
	f.start(f.a, task, 1)
	f.renew(f.a, time.Hour, 0)
	time.Sleep(40 * time.Millisecond)
	f.a.Settle()
	l := f.a.Look()
	c.Assert(l.EndedRuns, qt.HasLen, 1)
	c.Check(l.EndedRuns[0].Outcome, qt.Equals, host.LeaseExpired)
}

// Guards against calls without an answer that have another effect than they must
// have. Such a call returns when its caller gives up.
func TestCallsWithoutAnAnswer(t *testing.T) {
	const lateBy = 100 * time.Millisecond
	for name, tt := range map[string]struct {
		faults   fleethost.Faults
		deadline time.Duration // deadline is the latest start.
		then     func(f *fixture)
		started  int
	}{
		"silent":                          {faults: fleethost.Faults{Silent: true}, deadline: time.Second},
		"mute":                            {faults: fleethost.Faults{Mute: 1}, deadline: time.Second, started: 1},
		"late":                            {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: time.Second, started: 1},
		"late, after its deadline":        {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: -time.Second},
		"late, after a stop":              {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: time.Second, then: func(f *fixture) { f.stop(f.a, 1) }},
		"late, after the life has ended":  {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: time.Second, then: func(f *fixture) { f.a.Restart() }},
		"late, after a higher token":      {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: time.Second, then: func(f *fixture) { f.raise() }},
		"late, and the minion has left":   {faults: fleethost.Faults{Late: 1, LateBy: lateBy}, deadline: time.Second, then: func(f *fixture) { f.a.Leave() }},
		"unhealthy, which has an answer":  {faults: fleethost.Faults{Unhealthy: 1}, deadline: time.Second},
		"sound, which has an answer, too": {deadline: time.Second, started: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFixture(c, fleethost.Work{Duration: workTime})
			f.a.SetFaults(tt.faults)
			client := f.a.IncarnationClient(f.a.Report().StartedAt)
			ctx, cancel := context.WithTimeout(context.Background(), lateBy/10)
			defer cancel()
			r := request(f.a, task, 1)
			r.StartDeadline = tt.deadline
			err := client.Start(ctx, r)
			answered := tt.faults == (fleethost.Faults{}) || tt.faults.Unhealthy > 0
			c.Check(ctx.Err() == nil, qt.Equals, answered)
			c.Check(errors.Is(err, host.ErrUnhealthy), qt.Equals, tt.faults.Unhealthy > 0)
			if tt.then != nil {
				tt.then(f)
			}
			for end := time.Now().Add(2 * lateBy); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				f.a.Settle()
			}
			c.Check(f.fleet.Starts(task), qt.Equals, tt.started)
			c.Check(f.fleet.LastStart(task).IsZero(), qt.Equals, tt.started == 0 || tt.faults.Late > 0)
		})
	}
}

// raise lets a minion see a higher token.
func (f *fixture) raise() {
	_, err := f.a.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token + 1})
	f.c.Assert(err, qt.IsNil)
}

// Guards against gangs that work before all members are there, or go on without
// one.
func TestGangsRunTogether(t *testing.T) {
	for name, tt := range map[string]struct {
		second func(f *fixture)
		want   host.Outcome // want is the end of the first member.
	}{
		"both":           {func(f *fixture) { f.start(f.b, other, 1) }, host.Completed},
		"alone":          {func(*fixture) {}, host.GangTimedOut},
		"another run":    {func(f *fixture) { f.start(f.b, other, 2) }, host.GangTimedOut},
		"member stopped": {func(f *fixture) { f.start(f.b, other, 1); f.b.End(other) }, host.GangAborted},
		"member lost":    {func(f *fixture) { f.start(f.b, other, 1); f.b.Leave() }, host.GangAborted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFixture(c, fleethost.Work{Duration: workTime, Gang: 2})
			f.start(f.a, task, 1)
			tt.second(f)
			for end := time.Now().Add(2 * gangTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
				f.a.Settle()
				f.b.Settle()
			}
			l := f.a.Look()
			c.Assert(l.EndedRuns, qt.HasLen, 1)
			c.Check(l.EndedRuns[0].Outcome, qt.Equals, tt.want)
			c.Check(f.fleet.Finished(other), qt.Equals, tt.want == host.Completed)
			c.Check(f.fleet.Findings(), qt.HasLen, 0)
		})
	}
}

// Guards against minions that leave without having said so, and against
// successors that are taken for them.
func TestMinionsAreReplaced(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, fleethost.Work{Lasting: true})
	former := f.a.Report()
	f.start(f.a, task, 1)
	f.a.Drain(time.Minute)
	c.Check(f.a.Report().Draining, qt.IsTrue)
	c.Check(f.a.Report().Remaining > 59*time.Second, qt.IsTrue)
	f.start(f.a, other, 1) // A draining minion still serves.
	f.a.Leave()
	c.Check(f.a.Look().Running, qt.HasLen, 0)
	c.Check(f.a.Start(context.Background(), request(f.a, task, 2)), qt.IsNotNil)
	time.Sleep(2 * time.Millisecond) // Incarnations of one minion differ by a millisecond at least.
	next := former
	next.ID = "c"
	f.a.Replace(next)
	c.Check(f.a.Report().Draining, qt.IsFalse)
	c.Check(f.a.Report().Incarnation(), qt.Not(qt.Equals), former.Incarnation())
	f.start(f.a, task, 2)
	c.Check(f.fleet.Findings(), qt.HasLen, 0)
}
