package scheduler

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// twoDataCentres returns a fixture with four workers in acari and two in caico.
// Without acari only one of the two guarantees has a placement.
func twoDataCentres(t *testing.T) (*fixture, journal.ConfigurationPublished) {
	f := newFixture(t, 6, nil)
	for i := range f.workers {
		f.workers[i].DataCentre = "acari"
		if i >= 4 {
			f.workers[i].DataCentre = "caico"
		}
	}
	plan := func(name string, count int, s organisation.Shape) organisation.Plan {
		guarantees := []organisation.Guarantee{{Shape: s, Count: count}}
		return organisation.Plan{Name: name, Kinds: []string{"match"}, Share: 1, AcceleratorLimit: 12, Guarantees: guarantees[:min(count, 1)]}
	}
	return f, journal.ConfigurationPublished{
		Operator:      "test",
		Organisations: []organisation.Organisation{{Name: "ana", Plan: "gold"}, {Name: "rui", Plan: "silver"}, {Name: "eva", Plan: "bronze"}},
		Plans: []organisation.Plan{
			plan("gold", 1, organisation.Shape{Members: 2, Accelerators: 2, Adjacency: organisation.WithinRack}),
			plan("silver", 2, organisation.Shape{Members: 1, Accelerators: 2, Adjacency: organisation.WithinWorker}),
			plan("bronze", 0, organisation.Shape{}),
		},
	}
}

// Guards against guarantees that are not honoured after the loss of a data
// centre. They must be reclaimed in another data centre as far as they fit, and
// the rest must be reported. Nothing may run twice when the lost data centre
// comes back.
func TestLostDataCentre(t *testing.T) {
	tests := map[string]struct {
		lose func(f *fixture, p *process)
		back func(f *fixture, p *process)
	}{
		"crashed": {
			lose: func(f *fixture, p *process) {
				p.kill()
				f.forEachWorker("acari", (*workerhost.Host).Crash)
				f.processInDataCentre(t, "a@2", "acari", testTiming()).runUntilStopped() // the duty moves to an agent elsewhere
			},
			back: func(f *fixture, _ *process) { f.forEachWorker("acari", (*workerhost.Host).Restart) },
		},
		"silent, and its scheduler is paused": {
			lose: func(f *fixture, _ *process) {
				f.forEachWorker("acari", func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{Freeze: true}) })
				f.gate.pause("a@1")
				f.processInDataCentre(t, "a@2", "acari", testTiming()).runUntilStopped()
			},
			back: func(f *fixture, _ *process) {
				f.gate.resume()
				f.forEachWorker("acari", func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{}) })
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f, configuration := twoDataCentres(t)
			a := f.processInDataCentre(t, "a@1", "acari", testTiming()).run()
			b := f.processInDataCentre(t, "b@1", "caico", testTiming()).run()
			b.append(configuration)
			guaranteed, atMostOnce, borrowed := gangOf("ana", "1", 2, longRunTime), nonIdempotent(gangOf("rui", "1", 1, longRunTime)), gangOf("eva", "1", 2, longRunTime)
			guaranteed.DataCentre, atMostOnce.DataCentre, borrowed.DataCentre = "acari", "acari", "caico"
			atMostOnce.Shape.Adjacency = organisation.WithinWorker
			for _, j := range []job.Job{guaranteed, atMostOnce, borrowed} {
				b.submit(j)
				f.c.Assert(b.awaitState(j.Identity, job.Running).DataCentre, qt.Equals, j.DataCentre)
			}

			tt.lose(f, a)
			f.await("the guaranteed shape is reclaimed in the other data centre", func() bool {
				js, _ := b.journal.Job(guaranteed.Identity)
				return js.State == job.Running && js.DataCentre == "caico"
			})
			f.c.Assert(f.live(borrowed), qt.Equals, 0)
			f.await("the guarantee without a place is reported", func() bool {
				return b.lastAudit("guarantees") == "plan silver of organisation rui lacks a place for 2 of 1x2 within worker (4 accelerators)"
			})
			f.c.Assert(b.awaitState(atMostOnce.Identity, job.Ended).Outcome, qt.Equals, request.Unknown)

			tt.back(f, a)
			f.await("the borrowed work goes on", func() bool {
				js, _ := b.journal.Job(borrowed.Identity)
				return js.State == job.Running
			})
			f.await("all guarantees have a place", func() bool {
				return strings.HasPrefix(b.lastAudit("guarantees"), "every guaranteed shape has a place")
			})
			f.c.Assert(f.runs(atMostOnce), qt.Equals, 1)
			f.assertOneAtATime(guaranteed)
			f.assertOneAtATime(borrowed)
		})
	}
}

// forEachWorker calls change for each worker of a data centre.
func (f *fixture) forEachWorker(dataCentre string, change func(h *workerhost.Host)) {
	for _, w := range f.workers {
		if w.DataCentre == dataCentre {
			change(f.hosts[w.Name])
		}
	}
}

// lastAudit returns the After text of the last audit entry with the action, or "".
func (p *process) lastAudit(action string) string {
	after := ""
	for _, e := range p.journal.AuditTrail() {
		if e.Audit.Action == action {
			after = e.Audit.After
		}
	}
	return after
}

// assertOneAtATime checks that no member of an attempt was released before all
// members of the previous attempt had ended.
func (f *fixture) assertOneAtATime(j job.Job) {
	f.c.Helper()
	attempts := f.attempts(j)
	for n, members := range attempts {
		for _, i := range members {
			for _, before := range attempts[n-1] {
				f.c.Check(before.Ended.IsZero() || before.Ended.After(i.Released) && !i.Released.IsZero(), qt.IsFalse, qt.Commentf("attempts %d and %d overlap", n-1, n))
			}
		}
	}
}
