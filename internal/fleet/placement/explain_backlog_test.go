package placement_test

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

var backlogOrganisations = []string{"ana", "bento", "clara"}

// introduceOrganisations makes a decision after which only new jobs of these
// organisations are tried. Without it the first job of an organisation makes
// the next decision try all jobs.
func introduceOrganisations(p *placement.Planner) {
	for _, org := range backlogOrganisations {
		j := newGang(org, "first", 1, 1, organisation.WithinWorker)
		p.Submit(j)
		p.Cancel(j.Identity)
	}
	p.Decide(epoch)
}

// Guards against explanations that report lack of room for a job that is held
// up by a long backlog, or that omit the jobs before it and the time of its turn.
func TestExplanationOfALongBacklog(t *testing.T) {
	limit, bounded := placement.Default(), placement.Default()
	limit.SearchLimit = 2
	bounded.BacklogLimit, bounded.DeferredShare = time.Hour, 1
	tests := map[string]struct {
		options    placement.Options
		running    bool // running adds a job that uses all accelerators.
		newOnly    bool // newOnly restricts the decision to new jobs.
		small      int  // small is the number of small jobs of bento, which rank before the job.
		blockedBy  string
		wouldStart string
	}{
		"limit of a decision": {
			options: limit, small: 10,
			blockedBy: "8 jobs before it in its order, 8 of them of organisation bento; " +
				"the last decision reached its limit of 2 searches before its turn",
			wouldStart: "it is examined in about 5 decisions, at 2026-01-01T00:00:02Z",
		},
		"limit of a decision on new jobs": {
			options: limit, newOnly: true, small: 5,
			blockedBy: "3 jobs before it in its order, 3 of them of organisation bento; " +
				"the last decision reached its limit of 2 searches before its turn",
			wouldStart: "it is examined in about 2 decisions, at 2026-01-01T00:00:01Z",
		},
		"deferred job": {
			options: bounded, running: true, newOnly: true, small: 30,
			blockedBy: "30 jobs before it in its order, 30 of them of organisation bento; " +
				"put off as one of the largest jobs when the waiting work took the fleet longer than 1h0m0s; job clara/running in worker a",
			wouldStart: "the jobs before it leave room, at about 2026-01-01T00:56:15Z, or it gets a reservation after 2026-01-01T04:00:00Z, " +
				`and 16 more accelerators become free in worker a \(job clara/running ends\)`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.New(placement.CompletionFirst{}, tt.options)
			p.SetDecisionInterval(500 * time.Millisecond)
			p.AddWorker(newWorker("a", "1", 16))
			if tt.running {
				p.Adopt(newGang("clara", "running", 1, 16, organisation.WithinWorker), []string{"a"}, epoch)
			}
			if tt.newOnly {
				introduceOrganisations(p)
			}
			j := newGang("ana", "wanted", 1, 8, organisation.WithinWorker)
			j.RunTime = 2 * time.Hour
			p.Submit(j)
			for i := range tt.small {
				o := newGang("bento", strconv.Itoa(i), 1, 1, organisation.WithinWorker)
				o.RunTime = 30 * time.Minute
				p.Submit(o)
			}
			p.Decide(epoch)
			x, _ := p.Explain(j.Identity, epoch)
			qt.Check(t, x.BlockedBy, qt.Equals, tt.blockedBy)
			qt.Check(t, x.WouldStartIf, qt.Matches, tt.wouldStart)
		})
	}
}

// Guards against a stated number of decisions after which the job is still
// unexamined.
func TestUnexaminedJobIsExaminedInTheStatedDecisions(t *testing.T) {
	statedPattern := regexp.MustCompile(`examined in about (\d+) decisions`)
	unexamined := 0
	rapid.Check(t, func(t *rapid.T) {
		o := placement.Default()
		o.SearchLimit = rapid.IntRange(1, 5).Draw(t, "limit")
		p := placement.New(rapid.SampledFrom(placement.Policies()).Draw(t, "policy"), o)
		for i := range 3 {
			p.AddWorker(newWorker(fmt.Sprint("w", i), "r", 32))
		}
		if rapid.Bool().Draw(t, "new only") {
			introduceOrganisations(p)
		}
		due := map[request.Identity]int{}
		for n := range rapid.IntRange(1, 24).Draw(t, "jobs") {
			org := rapid.SampledFrom(backlogOrganisations).Draw(t, "organisation")
			j := newGang(org, strconv.Itoa(n), 1, rapid.IntRange(1, 2).Draw(t, "accelerators"), organisation.WithinWorker)
			j.RunTime = time.Duration(rapid.IntRange(1, 5).Draw(t, "minutes")) * time.Minute
			p.Submit(j)
			due[j.Identity] = 0
		}
		for decision := 1; len(p.Decide(epoch)) > 0; decision++ {
			for id, at := range due {
				x, _ := p.Explain(id, epoch)
				match := statedPattern.FindStringSubmatch(x.BlockedBy + x.WouldStartIf)
				if match == nil {
					continue
				}
				unexamined++
				if at > 0 && decision >= at {
					t.Fatalf("decision %d: %s was to be examined in decision %d: %s", decision, id, at, x.BlockedBy)
				}
				if n, _ := strconv.Atoi(match[1]); at == 0 {
					due[id] = decision + n
				}
			}
		}
	})
	if unexamined == 0 {
		t.Fatal("no decision left a job unexamined")
	}
}
