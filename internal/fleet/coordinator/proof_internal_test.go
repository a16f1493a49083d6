package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
)

var (
	former  = host.Minion{ID: "m", StartedAt: time.UnixMilli(1_700_000_000_000)}
	present = host.Minion{ID: "m", StartedAt: former.StartedAt.Add(time.Second)}
)

// newRunTerm returns a term with a started run of an incarnation on a host.
func newRunTerm(t *testing.T, minion host.Minion) (*term, *run) {
	c := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), state: ledger.NewState()}
	c.Apply(Options{MaxLease: 10 * time.Second})
	tm := newTerm(c, 2, now(), group.New(context.Background()))
	t.Cleanup(func() { tm.group.Stop(); _ = tm.group.Wait() })
	h := tm.host("host")
	h.minion = minion
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
	j := &jobState{job: job, progress: workload.NewProgress(job), failuresByStep: make(map[int]*stepFailures)}
	j.progress.Place(job.TaskID(0, 0), 1, h.name, minion.Incarnation())
	tm.jobs[job.ID] = j
	r := tm.addRun(tm.newAttempt(j, 0), job.TaskID(0, 0), 1, h, minion.Incarnation())
	r.phase = running
	return tm, r
}

// Guards against a run that is given up because its minion is gone, while a try of its
// start may still reach the next incarnation, and against one that is kept for longer.
func TestGoneMinionKeepsRunsWithOpenTries(t *testing.T) {
	for name, tt := range map[string]struct {
		tries    startTries
		draining bool
		held     bool
	}{
		"all tries are answered":           {tries: startTries{sent: 2, lateUntil: now() + time.Minute}},
		"a try may arrive":                 {tries: startTries{sent: 2, open: 1, lateUntil: now() + time.Minute}, held: true},
		"a try has been too late":          {tries: startTries{sent: 2, open: 1, lateUntil: now() - 1}},
		"a try may arrive, minion drained": {tries: startTries{sent: 2, open: 1, lateUntil: now() + time.Minute}, draining: true},
		"start of a former term":           {tries: startTries{open: 1, lateUntil: now() + time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm, r := newRunTerm(t, former)
			r.tries, r.host.minion.Draining = tt.tries, tt.draining
			for range 2 { // Each further report says the same.
				tm.handleStatusReport(r.host, host.StatusReport{Gone: true}, now())
				c.Check(r.held(), qt.Equals, tt.held)
				c.Check(r.stopSent, qt.IsFalse)
			}
			if tt.held {
				c.Check(r.attempt.stopping, qt.IsTrue)
				r.tries.lateUntil = now() - 1
				tm.handleStatusReport(r.host, host.StatusReport{Gone: true}, now())
				c.Check(r.held(), qt.IsFalse)
			}
		})
	}
}

// Guards against a run that is given up after a restart of its minion, while another
// try of its start may still reach the next incarnation.
func TestRestartIsNoProofWhileTryMayArrive(t *testing.T) {
	const sent = 10 * time.Second // sent is when the report of the next incarnation was requested.
	for name, tt := range map[string]struct {
		tries  startTries
		listed bool
		held   bool
	}{
		"all tries are answered":             {tries: startTries{sent: 1, openUntil: 2 * sent, lateUntil: 2 * sent}},
		"a try may arrive":                   {tries: startTries{sent: 2, open: 1, openUntil: sent, lateUntil: sent}, held: true},
		"a try may arrive past its deadline": {tries: startTries{sent: 2, open: 1, openUntil: sent - 1, lateUntil: sent}, held: true},
		"a try has been too late":            {tries: startTries{sent: 2, open: 1, openUntil: sent - 1, lateUntil: sent - 1}},
		"the run is listed":                  {tries: startTries{sent: 1}, listed: true, held: true},
	} {
		report := host.StatusReport{Minion: present}
		if tt.listed {
			report.Running = []host.Run{{Task: workload.TaskID{Job: "job"}, Number: 1}}
		}
		t.Run(name+", capacity known", func(t *testing.T) {
			c := qt.New(t)
			tm, r := newRunTerm(t, former)
			r.reported, r.tries, r.startAnswered, r.missingSince = true, tt.tries, 1, 1
			r.host.minion = present
			tm.loseFormerRuns(r.host, report, sent)
			c.Assert(r.held(), qt.Equals, tt.held)
			if tt.held {
				c.Check(r.minion, qt.Equals, present.Incarnation())
				c.Check(r.reported || r.missingSince != 0, qt.IsFalse)
				c.Check(r.startSettled(sent), qt.Equals, !r.tries.mayArrive(sent))
			}
		})
		t.Run(name+", capacity not known", func(t *testing.T) {
			tm, r := newRunTerm(t, former)
			r.reported, r.tries = true, tt.tries
			report := report
			report.Minion = host.Minion{StartedAt: present.StartedAt}
			tm.loseRunsBefore(r.host, report, sent)
			qt.New(t).Check(r.held(), qt.Equals, tt.held)
		})
	}
}

// Guards against a run that the next coordinator gives up after a restart of its
// minion, while a start of the former coordinator may still arrive.
func TestRestartIsNoProofWhileFormerStartMayArrive(t *testing.T) {
	for name, tt := range map[string]struct {
		after time.Duration // after is when the report was requested, counted from the begin of the term.
		held  bool
	}{
		"at once":                    {0, true},
		"when the last one was sent": {formerStartWindow, true},
		"before its deadline":        {formerStartWindow + startValidity, true},
		"with all margins":           {formerStartWindow + 2*startValidity, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm, r := newRunTerm(t, former)
			tm.releaseRun(r)
			tm.adoptRuns(r.attempt.job)
			r = runsOf(r.host)[0]
			tm.markRunning(r)
			r.reported, r.host.minion = true, present
			tm.loseFormerRuns(r.host, host.StatusReport{Minion: present}, tm.begunAt+tt.after)
			qt.New(t).Check(r.held(), qt.Equals, tt.held)
		})
	}
}

// Guards against the reply of a former incarnation that counts as one of the present
// incarnation.
func TestStopReplyOfFormerIncarnationProvesNothing(t *testing.T) {
	for name, tt := range map[string]struct {
		incarnation string
		err         error
		settled     bool
	}{
		"former":                        {former.Incarnation(), nil, false},
		"former, the run has ended":     {former.Incarnation(), host.ErrRunEnded, false},
		"former, another one answers":   {former.Incarnation(), host.ErrOtherIncarnation, false},
		"present":                       {present.Incarnation(), nil, true},
		"present, the run has ended":    {present.Incarnation(), host.ErrRunEnded, true},
		"present, another one answers":  {present.Incarnation(), host.ErrOtherIncarnation, true},
		"present, but it takes no work": {present.Incarnation(), host.ErrUnhealthy, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm, r := newRunTerm(t, present)
			c.Check(tm.handleStopReply(r, host.StopRequest{Incarnation: tt.incarnation}, tt.err), qt.Equals, tt.settled)
			c.Check(r.stopAnswered != 0, qt.Equals, tt.settled)
		})
	}
}

// restartingClient answers a start after the next incarnation of its minion has
// reported, and notes what the coordinator makes of the answer.
type restartingClient struct {
	host.Client
	term  *term
	run   *run
	reply error
	calls int
	known chan bool // known receives whether the start counted as answered at the second call.
}

// Start implements host.Client.
func (rc *restartingClient) Start(ctx context.Context, _ host.StartRequest) error {
	answered, ok := callLoop(ctx, rc.term, func() bool {
		rc.calls++
		rc.run.minion = present.Incarnation()
		return rc.run.startAnswered != 0
	})
	if ok && rc.calls > 1 {
		rc.known <- answered
	}
	return rc.reply
}

// Guards against a start that counts as confirmed by the present incarnation of the
// minion, although the former one has answered.
func TestStartReplyOfFormerIncarnationProvesNothing(t *testing.T) {
	for name, reply := range map[string]error{"carried out": nil, "the run has ended": host.ErrRunEnded} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm, r := newRunTerm(t, former)
			r.phase = starting
			rc := &restartingClient{term: tm, run: r, reply: reply, known: make(chan bool, 1)}
			r.host.client = rc
			tm.callMinion(r, tm.startRun)
			deadline := time.After(waitForSecondTry)
			for {
				select {
				case event := <-tm.events:
					event()
				case answered := <-rc.known:
					c.Check(answered, qt.IsFalse)
					c.Check(r.minion, qt.Equals, present.Incarnation())
					return
				case <-deadline:
					c.Fatal("the start was not sent again")
				}
			}
		})
	}
}

// waitForSecondTry is longer than callRetryDelay on a busy machine.
const waitForSecondTry = 5 * time.Second

// Guards against a second run of a task whose progress can't be read, on a host that
// became silent after this term had renewed its leases.
func TestUnknownRunsOfSilentHostEndWithItsLeases(t *testing.T) {
	tm, r := newRunTerm(t, present)
	j, end := r.attempt.job, tm.formerRunsEnd()
	tm.releaseRun(r)
	for name, tt := range map[string]struct {
		at, lastContact, leaseExpiry time.Duration
		known, possible              bool
	}{
		"former leases last":     {at: end, possible: true},
		"never answered":         {at: end + 1},
		"silent, leases last":    {at: end + 1, lastContact: end, leaseExpiry: end + 1, possible: true},
		"silent, leases are out": {at: end + 2, lastContact: end, leaseExpiry: end + 1},
		"has answered since":     {at: end + 2, lastContact: end + 1, leaseExpiry: end + 9},
		"progress is known":      {known: true},
	} {
		t.Run(name, func(t *testing.T) {
			j.progressUnknown = !tt.known
			r.host.lastContact, r.host.leaseExpiry = tt.lastContact, tt.leaseExpiry
			qt.New(t).Check(tm.mayHaveUnknownRuns(j, tt.at), qt.Equals, tt.possible)
		})
	}
}

// Guards against run numbers that minions refuse, because a former term has used
// them.
func TestRunsAfterUnknownProgressGetNewNumbers(t *testing.T) {
	c := qt.New(t)
	tm, r := newRunTerm(t, present)
	j := r.attempt.job
	j.progressUnknown = true
	for want := range 2 {
		tm.requeueRun(runsOf(r.host)[0], "")
		propose(tm, j, []*hostState{r.host}, 0)
		c.Check(runsOf(r.host)[0].number, qt.Equals, firstRunAfterUnknown+want)
	}
}

// Guards against a record that a successor takes for all that is known, although it
// was written while unknown runs may exist.
func TestProgressIsUncertainWhileUnknownRunsMayExist(t *testing.T) {
	for name, tt := range map[string]struct {
		unknown   bool
		age       time.Duration // age is that of the term.
		state     workload.State
		uncertain bool
	}{
		"known":                    {state: workload.Running},
		"unknown":                  {unknown: true, state: workload.Running, uncertain: true},
		"unknown, but they ended":  {unknown: true, age: time.Minute, state: workload.Running},
		"unknown, but job is over": {unknown: true, state: workload.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm, r := newRunTerm(t, present)
			tm.begunAt -= tt.age
			j := r.attempt.job
			j.progressUnknown, j.progress.State = tt.unknown, tt.state
			record, err := tm.encodeProgress(j)
			c.Assert(err, qt.IsNil)
			jobRecord, err := ledger.EncodeJob(j.job)
			c.Assert(err, qt.IsNil)
			state := ledger.NewState()
			c.Assert(state.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: jobRecord}, {Record: record, Offset: 1}}, Next: 2}), qt.IsNil)
			e, ok := state.Job(j.job.ID)
			c.Assert(ok, qt.IsTrue)
			c.Check(e.ProgressUnknown, qt.Equals, tt.uncertain)
		})
	}
}
