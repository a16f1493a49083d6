package placement_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// limitedPlan returns a configuration in which ana's plan has an accelerator limit.
func limitedPlan(limit int) organisation.Configuration {
	return organisation.Configuration{Version: 1,
		Organisations: []organisation.Organisation{{Name: "ana", Plan: "small"}},
		Plans:         []organisation.Plan{{Name: "small", Share: 1, AcceleratorLimit: limit}}}
}

// Guards against explanations that name a wrong cause, and against advice that
// does not start the job when it is followed.
func TestExplanationNamesTheCauseAndTheRemedy(t *testing.T) {
	wanted := newGang("ana", "1", 1, 4, organisation.WithinWorker)
	other := func(org string) request.Identity { return request.Identity{Organisation: org, ID: "x"} }
	later := epoch.Add(15 * time.Minute)
	tests := map[string]struct {
		guards      string
		prepare     func(p *placement.Planner)
		waitsFor    string
		blockedBy   string
		wouldStart  string
		follow      func(p *placement.Planner)
		notDecided  bool // notDecided calls Explain before the first decision.
		wantedShape organisation.Shape
	}{
		"borrowed job in the way": {
			guards: "an occupied place without the name of the job on it",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.Adopt(newGang("bento", "x", 1, 2, organisation.WithinWorker), []string{"a"}, epoch)
			},
			waitsFor:   "1x4 accelerators within one worker; the best, worker a, has 2 accelerators free and room for 0 of 1 members",
			blockedBy:  "job bento/x in worker a",
			wouldStart: `2 more accelerators become free in worker a \(job bento/x ends\)`,
			follow:     func(p *placement.Planner) { p.Ended(other("bento"), epoch, request.Done) },
		},
		"gang short of room in a rack": {
			guards: "advice that counts free accelerators of other racks, or names jobs whose end is not needed",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.AddWorker(newWorker("b", "1", 4))
				p.AddWorker(newWorker("c", "2", 4))
				p.Adopt(newGang("bento", "x", 1, 2, organisation.WithinWorker), []string{"a"}, epoch)
				p.Adopt(newGang("bento", "cores", 1, 0, organisation.WithinWorker), []string{"b"}, epoch)
			},
			wantedShape: organisation.Shape{Members: 2, Accelerators: 4, Adjacency: organisation.WithinRack},
			waitsFor:    "2x4 accelerators within one rack; the best, rack 1, has 6 accelerators free and room for 1 of 2 members",
			blockedBy:   "job bento/x in rack 1",
			wouldStart:  `2 more accelerators become free in rack 1 \(job bento/x ends\)`,
			follow:      func(p *placement.Planner) { p.Ended(other("bento"), epoch, request.Done) },
		},
		"guaranteed shape": {
			guards: "a guaranteed job shown as one that could be reclaimed",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.SetConfiguration(guaranteePlans(map[string]int{"bento": 4}))
				p.Adopt(newGang("bento", "x", 1, 4, organisation.WithinWorker), []string{"a"}, epoch)
			},
			waitsFor:   ".* has 0 accelerators free .*",
			blockedBy:  "the guaranteed shape 1x4 within worker of organisation bento, held by job bento/x",
			wouldStart: `organisation bento returns its guaranteed shape 1x4 within worker in worker a \(job bento/x ends\)`,
			follow:     func(p *placement.Planner) { p.Ended(other("bento"), epoch, request.Done) },
		},
		"accelerator limit": {
			guards: "a limit that is reported as lack of room",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 8))
				p.SetConfiguration(limitedPlan(6))
				p.Adopt(newGang("ana", "x", 1, 4, organisation.WithinWorker), []string{"a"}, epoch)
			},
			waitsFor:   ".* has 4 accelerators free .*",
			blockedBy:  "the accelerator limit 6 of plan small; organisation ana uses 4",
			wouldStart: "the accelerator limit of plan small is at least 8 or organisation ana uses at most 2",
			follow:     func(p *placement.Planner) { p.SetConfiguration(limitedPlan(8)) },
		},
		"stopped lending": {
			guards: "lending that has stopped without the plan that lacks a place",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.SetConfiguration(guaranteePlans(map[string]int{"bento": 8}))
			},
			waitsFor:   ".* has 4 accelerators free .*",
			blockedBy:  "lending has stopped: plan bento of organisation bento lacks a place for 1 of 1x8 .*",
			wouldStart: "the guaranteed shapes have places again: 1 of 1x8 within worker of organisation bento",
			follow:     func(p *placement.Planner) { p.AddWorker(newWorker("b", "1", 8)) },
		},
		"quarantined worker": {
			guards: "a worker that takes no tasks and is counted as free or as occupied",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.SetSchedulable("a", false)
			},
			waitsFor:   ".* has 0 accelerators free .*",
			blockedBy:  "quarantined or unreachable worker a",
			wouldStart: "worker a takes new tasks again",
			follow:     func(p *placement.Planner) { p.SetSchedulable("a", true) },
		},
		"reservation": {
			guards: "reserved accelerators that are shown as free",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.AddWorker(newWorker("b", "1", 4))
				p.Adopt(newGang("bento", "running", 1, 4, organisation.WithinWorker), []string{"a"}, epoch)
				p.Submit(newGang("clara", "x", 2, 4, organisation.WithinRack))
				p.Decide(later)
			},
			waitsFor:   ".* has 0 accelerators free .*",
			blockedBy:  "the reservation of job clara/x in worker b",
			wouldStart: "the reservation of job clara/x ends and worker b keeps its free accelerators",
			follow:     func(p *placement.Planner) { p.Cancel(other("clara")) },
		},
		"turn of another organisation": {
			guards: "a free place that is promised to the job although another organisation is before it",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.AddWorker(newWorker("b", "1", 4))
				p.Adopt(newGang("ana", "x", 1, 4, organisation.WithinWorker), []string{"b"}, epoch)
				p.Submit(newGang("bento", "x", 1, 4, organisation.WithinWorker))
			},
			notDecided: true,
			waitsFor:   ".* has 4 accelerators free .*",
			blockedBy:  "the turn of organisation bento",
			wouldStart: "the place is still free after the turn of organisation bento",
			follow:     func(p *placement.Planner) { p.Cancel(other("bento")) },
		},
		"turn of its own organisation": {
			guards: "an earlier job of the organisation that is not named",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.Submit(newGang("ana", "x", 1, 4, organisation.WithinWorker))
			},
			notDecided: true,
			waitsFor:   ".* has 4 accelerators free .*",
			blockedBy:  "the turn of job ana/x of its own organisation",
			wouldStart: "the place is still free after the turn of job ana/x",
			follow:     func(p *placement.Planner) { p.Cancel(other("ana")) },
		},
		"limit and no room": {
			guards: "advice that names one of two causes only",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.AddWorker(newWorker("b", "1", 4))
				p.SetConfiguration(limitedPlan(6))
				p.Adopt(newGang("ana", "x", 1, 4, organisation.WithinWorker), []string{"a"}, epoch)
				p.Adopt(newGang("bento", "x", 1, 3, organisation.WithinWorker), []string{"b"}, epoch)
			},
			waitsFor:   ".* has 1 accelerators free .*",
			blockedBy:  "the accelerator limit 6 of plan small; organisation ana uses 4; job bento/x in worker b",
			wouldStart: `the accelerator limit of plan small is at least 8 or organisation ana uses at most 2, and 3 more accelerators become free in worker b \(job bento/x ends\)`,
			follow: func(p *placement.Planner) {
				p.SetConfiguration(limitedPlan(8))
				p.Ended(other("bento"), epoch, request.Done)
			},
		},
		"cores in the way": {
			guards: "lack of cores that is reported as lack of accelerators",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				busy := newGang("bento", "x", 1, 0, organisation.WithinWorker)
				busy.Cores = 64
				p.Adopt(busy, []string{"a"}, epoch)
			},
			waitsFor:   ".* has 4 accelerators free and room for 0 of 1 members",
			blockedBy:  "job bento/x in worker a",
			wouldStart: `64 more cores and 1000 MB more memory become free in worker a \(job bento/x ends\)`,
			follow:     func(p *placement.Planner) { p.Ended(other("bento"), epoch, request.Done) },
		},
		"job without accelerators": {
			guards: "a place that is described by accelerators which the job does not need",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				busy := newGang("bento", "x", 1, 0, organisation.WithinWorker)
				busy.Cores = 64
				p.Adopt(busy, []string{"a"}, epoch)
			},
			wantedShape: organisation.Shape{Members: 1, Accelerators: 0, Adjacency: organisation.WithinWorker},
			waitsFor:    "1 members of 1 cores and 1000 MB within one worker; the best, worker a, has 4 accelerators free and room for 0 of 1 members",
			blockedBy:   "job bento/x in worker a",
			wouldStart:  `64 more cores and 1000 MB more memory become free in worker a \(job bento/x ends\)`,
			follow:      func(p *placement.Planner) { p.Ended(other("bento"), epoch, request.Done) },
		},
		"quarantined worker with a job": {
			guards: "advice that opens a worker on which there is no room",
			prepare: func(p *placement.Planner) {
				p.AddWorker(newWorker("a", "1", 4))
				p.Adopt(newGang("bento", "x", 1, 1, organisation.WithinWorker), []string{"a"}, epoch)
				p.SetSchedulable("a", false)
			},
			waitsFor:   ".* has 0 accelerators free .*",
			blockedBy:  "quarantined or unreachable worker a; job bento/x in worker a",
			wouldStart: `worker a takes new tasks again, and 1 more accelerators become free in worker a \(job bento/x ends\)`,
			follow: func(p *placement.Planner) {
				p.SetSchedulable("a", true)
				p.Ended(other("bento"), epoch, request.Done)
			},
		},
		"no worker is large enough": {
			guards:     "advice to wait for jobs to end when no end helps",
			prepare:    func(p *placement.Planner) { p.AddWorker(newWorker("a", "1", 2)) },
			waitsFor:   ".* has 2 accelerators free .*",
			blockedBy:  "the size of the data centre",
			wouldStart: "workers with room for 1 members within one worker are added",
			follow:     func(p *placement.Planner) { p.AddWorker(newWorker("b", "1", 4)) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placement.New(placement.FirstFit{}, placement.Default())
			tt.prepare(p)
			j := wanted
			if tt.wantedShape.Members > 0 {
				j.Shape = tt.wantedShape
			}
			p.Submit(j)
			if !tt.notDecided {
				c.Assert(p.Decide(later), qt.HasLen, 0, qt.Commentf("guards against %s", tt.guards))
			}
			x, ok := p.Explain(j.Identity, later)
			c.Assert(ok, qt.IsTrue)
			c.Check(x.WaitsFor, qt.Matches, tt.waitsFor, qt.Commentf("guards against %s", tt.guards))
			c.Check(x.BlockedBy, qt.Matches, tt.blockedBy, qt.Commentf("guards against %s", tt.guards))
			c.Check(x.WouldStartIf, qt.Matches, tt.wouldStart, qt.Commentf("guards against %s", tt.guards))
			tt.follow(p)
			decisions := p.Decide(later)
			c.Assert(decisions, qt.HasLen, 1, qt.Commentf("following the advice does not start the job"))
			c.Check(decisions[0].Kind, qt.Equals, placement.Start)
			c.Check(decisions[0].Job, qt.Equals, j.Identity)
			x, _ = p.Explain(j.Identity, later)
			c.Check(x.WaitsFor, qt.Matches, "nothing: the job is starting on worker .*")
			c.Check(x.BlockedBy+x.WouldStartIf, qt.Equals, "")
		})
	}
}

// Guards against the explanation of a job in state Holding as one without a
// placement.
func TestExplanationOfAHoldingJob(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.SetConfiguration(guaranteePlans(map[string]int{"ana": 4}))
	old := newGang("bento", "x", 1, 4, organisation.WithinWorker)
	p.Adopt(old, []string{"a"}, epoch)
	j := newGang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Submit(j)
	p.Decide(epoch)
	x, _ := p.Explain(j.Identity, epoch)
	c.Assert(x.WaitsFor, qt.Equals, "other jobs to leave its place on worker a")
	c.Assert(x.BlockedBy, qt.Equals, "job bento/x")
	c.Assert(x.WouldStartIf, qt.Equals, "job bento/x left worker a")
	p.Released(old.Identity)
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
}

// Guards against advice that is right only for the chosen examples: in a
// random data centre with one waiting job, following the advice starts the job.
func TestAdviceStartsTheJob(t *testing.T) {
	endsPattern := regexp.MustCompile(`\(job ([^)]*) ends\)`)
	enablesPattern := regexp.MustCompile(`worker ([^;]*) takes new tasks again`)
	truncatedPattern := regexp.MustCompile(` and [0-9]+ more (ends|takes)`)
	rapid.Check(t, func(t *rapid.T) {
		p := placement.New(rapid.SampledFrom(placement.Policies()).Draw(t, "policy"), placement.Default())
		workers := rapid.IntRange(1, 7).Draw(t, "workers")
		for i := range workers {
			name, size := fmt.Sprint("w", i), rapid.IntRange(1, 8).Draw(t, "size")
			p.AddWorker(newWorker(name, fmt.Sprint("r", i/3), size))
			for task := 0; size > 0 && rapid.Bool().Draw(t, "task"); task++ {
				n := rapid.IntRange(0, size).Draw(t, "accelerators")
				size -= n
				p.Adopt(newGang("bento", fmt.Sprintf("%d-%d", i, task), 1, n, organisation.WithinWorker), []string{name}, epoch)
			}
			p.SetSchedulable(name, rapid.IntRange(0, 4).Draw(t, "schedulable") > 0)
		}
		within := []organisation.Adjacency{organisation.WithinWorker, organisation.WithinRack, organisation.WithinDataCentre}
		j := newGang("ana", "1", rapid.IntRange(1, 4).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "each"),
			rapid.SampledFrom(within).Draw(t, "within"))
		p.Submit(j)
		if len(p.Decide(epoch)) > 0 {
			return
		}
		x, _ := p.Explain(j.Identity, epoch)
		if truncatedPattern.MatchString(x.WouldStartIf) {
			return // The text lists only some of the names.
		}
		if p.CanEverRun(j) != nil {
			if x.BlockedBy != "the size of the data centre" {
				t.Fatalf("the job can never run, and the explanation is %+v", x)
			}
			return
		}
		for _, match := range endsPattern.FindAllStringSubmatch(x.WouldStartIf, -1) {
			for _, name := range strings.Split(match[1], ", ") {
				p.Ended(request.Identity{Organisation: "bento", ID: strings.TrimPrefix(name, "bento/")}, epoch, request.Done)
			}
		}
		for _, match := range enablesPattern.FindAllStringSubmatch(x.WouldStartIf, -1) {
			for _, name := range strings.Split(match[1], ", ") {
				p.SetSchedulable(name, true)
			}
		}
		if len(p.Decide(epoch)) != 1 {
			t.Fatalf("following the advice does not start the job: %+v", x)
		}
	})
}

// Measures an explanation in a data centre of 442 workers with 14 jobs each, for a job
// that waits for the end of others in each kind of area.
func BenchmarkExplain(b *testing.B) {
	for _, within := range []organisation.Adjacency{organisation.WithinWorker, organisation.WithinRack, organisation.WithinDataCentre} {
		b.Run(within.String(), func(b *testing.B) {
			p := placement.New(placement.FirstFit{}, placement.Default())
			for i := range 442 {
				name := fmt.Sprint("w", i)
				p.AddWorker(newWorker(name, fmt.Sprint("r", i/3), 2))
				for task := range 14 {
					p.Adopt(newGang("bento", fmt.Sprintf("%d-%d", i, task), 1, task/12, organisation.WithinWorker), []string{name}, epoch)
				}
			}
			j := newGang("ana", "1", 2, 1, within)
			p.Submit(j)
			p.Decide(epoch)
			for b.Loop() {
				p.Explain(j.Identity, epoch)
			}
		})
	}
}
