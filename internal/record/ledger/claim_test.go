package ledger_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// submission returns the records of a job "j" of an organisation, and the tombstone of
// its claim.
func submission(c *qt.C, organisation string) (records []ledger.Record, tombstone ledger.Record) {
	job, claim := sampleJob("j"), ledger.NewClaim("j", organisation)
	job.Organisation = organisation
	claimRecord, err := ledger.EncodeClaim(claim)
	c.Assert(err, qt.IsNil)
	jobRecord, err := ledger.EncodeJob(job)
	c.Assert(err, qt.IsNil)
	return []ledger.Record{claimRecord, jobRecord}, ledger.Tombstone(ledger.ClaimKind, claim.Name)
}

// Guards against a job that becomes one of another organisation with the same ID, and
// against a cancellation that reaches it: for a process that has read each record, and
// for one that reads only the newest of each key.
func TestIDBelongsToItsFirstClaim(t *testing.T) {
	c := qt.New(t)
	first, firstTombstone := submission(c, "o")
	again, _ := submission(c, "o")
	second, _ := submission(c, "p")
	cancellation := func(organisation string) ledger.Record {
		r, err := ledger.EncodeCancellation("j", organisation, time.UnixMilli(1000))
		return mustEncode(c, r, err)
	}
	removal := []ledger.Record{ledger.Tombstone(ledger.JobKind, "j"), firstTombstone}
	type jobs map[string]workload.State // jobs holds the state that each organisation sees; pending is 0.
	for name, tt := range map[string]struct {
		parts        [][]ledger.Record
		live, newest jobs
	}{
		"one":                               {[][]ledger.Record{first}, jobs{"o": 0}, jobs{"o": 0}},
		"of an entry of a former version":   {[][]ledger.Record{first[1:], second[1:]}, jobs{"o": 0}, jobs{"p": 0}},
		"another one comes later":           {[][]ledger.Record{first, second}, jobs{"o": 0}, jobs{}},
		"the first is written again":        {[][]ledger.Record{first, second, again}, jobs{"o": 0}, jobs{"o": 0}},
		"the job is restored":               {[][]ledger.Record{first, second, first[1:]}, jobs{"o": 0}, jobs{"o": 0}},
		"the other organisation cancels":    {[][]ledger.Record{first, {cancellation("p")}}, jobs{"o": 0}, jobs{"o": 0}},
		"a late cancellation of the former": {[][]ledger.Record{first, removal, second, {cancellation("o")}}, jobs{"p": 0}, jobs{"p": 0}},
		"its organisation cancels":          {[][]ledger.Record{first, {cancellation("o")}}, jobs{"o": workload.Cancelled}, jobs{"o": workload.Cancelled}},
		"a cancellation without a name":     {[][]ledger.Record{first, {{Key: "cancellation/j", Value: []byte(`{"at-ms":1}`)}}}, jobs{"o": workload.Cancelled}, jobs{"o": workload.Cancelled}},
		"the other one after its removal":   {[][]ledger.Record{first, removal, second}, jobs{"p": 0}, jobs{"p": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			check := func(s *ledger.State, want jobs) {
				got := make(jobs)
				if e, ok := s.Job("j"); ok {
					got[e.Job.Organisation] = e.State()
				}
				c.Check(got, qt.DeepEquals, want)
				c.Check(s.PendingCount("q") > 0, qt.Equals, len(want) == 1 && want["o"] == 0 && want["p"] == 0)
			}
			var records []ledger.Record
			newest := make(map[string]ledger.StoredRecord)
			behind := ledger.NewState() // behind has read only the first part.
			for i, part := range tt.parts {
				for _, r := range part {
					newest[r.Key] = storedRecord(int64(len(records)), r)
					if len(r.Value) == 0 {
						delete(newest, r.Key)
					}
					records = append(records, r)
				}
				if i == 0 {
					behind = foldEach(c, part)
				}
			}
			page := ledger.Page{Next: int64(len(records))}
			for _, kind := range []ledger.Kind{ledger.CancellationKind, ledger.ClaimKind, ledger.JobKind} { // in the order of keys
				for key, r := range newest {
					if strings.HasPrefix(key, string(kind)+"/") {
						page.Records = append(page.Records, r)
					}
				}
			}
			fresh := ledger.NewState()
			for _, s := range []*ledger.State{fresh, behind} {
				_, err := s.Replace(page)
				c.Assert(err, qt.IsNil)
			}
			check(foldEach(c, records), tt.live)
			check(fresh, tt.newest)
			if e, ok := behind.Job("j"); ok && len(tt.newest) > 0 && tt.newest[e.Job.Organisation] != e.State() {
				c.Errorf("a process that was behind shows %s of %s", e.State(), e.Job.Organisation)
			}
		})
	}
}
