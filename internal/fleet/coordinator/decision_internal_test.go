package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/tenancy/catalogue"
)

// newBusyTerm returns a term with a number of hosts and of jobs, of which the first wait
// and the others run where they fit.
func newBusyTerm(tb testing.TB, hosts, jobs, waiting int, seed uint64) *term {
	tb.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	t := newAdaptiveTerm()
	t.dirty = collection.NewSet[workload.ID]()
	t.reservations.byGang, t.paces, t.outlooks = make(map[stepKey]*reservation), newHostPaces(), newOutlooks()
	t.catalogue = catalogue.NewCurrent("config", func([]byte) (*catalogue.Catalogue, error) {
		return &catalogue.Catalogue{Version: 1, Queues: []catalogue.Queue{{Name: "q-0", Service: "app"}, {Name: "q-1", Service: "app", UsesAdviser: true}, {Name: "q-2", Service: "app"}}, Organisations: []catalogue.Organisation{{Name: "o-0", GuaranteedAccelerators: 100}}}, nil
	}, log.NewNopLogger())
	if err := t.catalogue.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: ledger.Record{Key: "config", Value: []byte("1")}}}}); err != nil {
		tb.Fatal(err)
	}
	for i := range hosts {
		h := t.host(fmt.Sprintf("host-%03d", i))
		h.minion = host.Minion{ID: fmt.Sprint("m-", i), Service: "app", Rack: fmt.Sprint("r-", i/8), Labels: []string{"a"}, Capacity: workload.Resources{MilliCores: 64000, MemoryMB: 131072, Accelerators: 8}}
		h.incarnationKnown, h.lastContact = true, now()
		for n := range 4 {
			t.paces.tracker.Observe(h.name, h.minion.Incarnation(), pace.Run{Task: workload.TaskID{Job: "former", Index: 4*i + n}}, 1+float64(random.IntN(4)), now())
		}
	}
	t.updatePaces(now() + paceInterval)
	for n := range jobs {
		step := workload.Step{Count: 1 + random.IntN(12), Need: workload.Resources{MilliCores: 5600, MemoryMB: 8200, Accelerators: 1 + random.IntN(2)}, Estimate: time.Duration(500+random.IntN(9000)) * time.Millisecond, Gang: random.IntN(2) == 0, Checkpoints: random.IntN(2) == 0}
		step.RackLocal = step.Gang && random.IntN(2) == 0
		if random.IntN(8) == 0 {
			step.DataRack = fmt.Sprint("r-", random.IntN(hosts/8))
		}
		j := &jobState{acceptOrder: int64(n), failuresByStep: make(map[int]*stepFailures), job: workload.Job{
			ID: workload.ID(fmt.Sprint("job-", n)), Queue: fmt.Sprint("q-", random.IntN(3)), Organisation: fmt.Sprint("o-", random.IntN(5)), Service: "app", Priority: random.IntN(3),
			Attempts: 3, Stretch: 3, Submitted: time.Now().Add(-time.Duration(random.IntN(20000)) * time.Millisecond), Steps: []workload.Step{step, step},
		}}
		j.job.Steps[1].DependsOn = []int{0}
		j.progress = workload.NewProgress(j.job)
		t.jobs[j.job.ID] = j
		t.workSizes.add(j.job)
		if random.IntN(10) == 0 {
			j.failures(0).record(fmt.Sprintf("host-%03d", random.IntN(hosts)), now())
		}
		if n >= waiting {
			startBusyJob(t, j, random)
		}
	}
	return t
}

// startBusyJob starts the first step of a job where it fits.
func startBusyJob(t *term, j *jobState, random *rand.Rand) {
	step := j.job.Step(0)
	var a *attempt
	for i := range step.Count {
		h := t.host(fmt.Sprintf("host-%03d", random.IntN(len(t.hosts))))
		for n := 0; n < 8 && !h.free().Fits(step.Need); n++ {
			h = t.host(fmt.Sprintf("host-%03d", random.IntN(len(t.hosts))))
		}
		if !h.free().Fits(step.Need) {
			continue
		}
		if a == nil || !step.Gang {
			a = t.newAttempt(j, 0)
		}
		id := j.job.TaskID(0, i)
		j.progress.Place(id, 1, h.name, h.minion.Incarnation())
		r := t.addRun(a, id, 1, h, h.minion.Incarnation())
		r.phase, r.startedAt, r.reported = running, now()-time.Duration(1+random.IntN(3000))*time.Millisecond, true
		r.update(host.Run{Task: id, Number: 1, ProgressPercent: random.IntN(100)})
		t.observeProgress(r)
	}
}

// Guards against sums of what the runs on a host use that no longer match the runs.
func TestUsedFollowsRuns(t *testing.T) {
	c := qt.New(t)
	tm := newBusyTerm(c, 48, 100, 30, 1)
	for _, h := range tm.hosts {
		for _, r := range runsOf(h)[:len(h.runs)/2] {
			tm.releaseRun(r)
		}
		var used workload.Resources
		for _, r := range h.runs {
			used = used.Add(r.need)
		}
		c.Check(h.used, qt.Equals, used)
	}
}

// Guards against leases that are found to have expired only at the time that was known
// before a host got a run.
func TestLeaseOfNewRunExpiresInTime(t *testing.T) {
	c := qt.New(t)
	tm := newBusyTerm(c, 8, 0, 0, 1)
	j := &jobState{job: workload.Job{ID: "job", Steps: []workload.Step{{Count: 2}}}}
	j.progress = workload.NewProgress(j.job)
	lapsed := tm.host("host-001")
	tm.host("host-000").leaseExpiry = now() + time.Hour
	tm.addRun(tm.newAttempt(j, 0), j.job.TaskID(0, 0), 1, tm.host("host-000"), "m")
	tm.expireLeases()
	lapsed.lastContact -= time.Minute
	tm.addRun(tm.newAttempt(j, 0), j.job.TaskID(0, 1), 1, lapsed, "m")
	tm.expireLeases()
	c.Check(lapsed.runs, qt.HasLen, 0)
	c.Check(tm.host("host-000").runs, qt.HasLen, 1)
}

// holdTime moves the times of hosts and runs on, so that a benchmark sees the same fleet
// however long it takes.
func holdTime(t *term, last *time.Duration) {
	passed := now() - *last
	*last += passed
	for _, h := range t.hosts {
		h.lastContact += passed
		for _, r := range h.runs {
			r.startedAt, r.progressedAt = r.startedAt+passed, r.progressedAt+passed
		}
	}
}

// BenchmarkPlan makes one plan for a fleet of 300 hosts and carries nothing out. At the
// users' sites nine plans of ten find that nothing waits.
func BenchmarkPlan(b *testing.B) {
	for name, size := range map[string]struct{ jobs, waiting int }{"full": {450, 150}, "two wait": {150, 2}, "none waits": {100, 0}} {
		b.Run(name, func(b *testing.B) {
			t := newBusyTerm(b, 300, size.jobs, size.waiting, 1)
			at := now()
			for b.Loop() {
				holdTime(t, &at)
				t.measure()
				t.decide()
			}
		})
	}
}

// BenchmarkTick does what a busy term does on each tick and event beside the plan.
func BenchmarkTick(b *testing.B) {
	t := newBusyTerm(b, 300, 450, 150, 1)
	at := now()
	for b.Loop() {
		holdTime(t, &at)
		t.expireLeases()
		t.checkProgress()
		t.moveSlowRuns(now())
		t.outlooks.nextAt, t.paces.updatedAt = 0, 0
		t.updateOutlooks()
		t.updatePaces(now())
	}
}
