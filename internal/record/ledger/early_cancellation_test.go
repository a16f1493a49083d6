package ledger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// Guards against a job that runs although its cancelling was acknowledged before the
// job was recorded, and against one that another organisation cancels.
func TestEarlyCancellationBindsTheJobOfItsOrganisation(t *testing.T) {
	c := qt.New(t)
	job := sampleJob("j")
	jobRecord := encodedJob(c, "j")
	early := func(organisation string, at int64) (ledger.EarlyCancellation, ledger.Record) {
		cancellation := ledger.NewEarlyCancellation("j", organisation, time.UnixMilli(at))
		r, err := ledger.EncodeEarlyCancellation(cancellation)
		return cancellation, mustEncode(c, r, err)
	}
	own, ownRecord := early(job.Organisation, 1000)
	_, repeated := early(job.Organisation, 2000)
	_, foreign := early("p", 3000)
	done := workload.NewProgress(job)
	done.State = workload.Done
	r, err := ledger.EncodeProgress(done)
	doneRecord := mustEncode(c, r, err)
	removed := ledger.Tombstone(ledger.EarlyCancellationKind, own.Name)
	for name, tt := range map[string]struct {
		records []ledger.Record
		want    workload.State
	}{
		"before the job":                        {[]ledger.Record{ownRecord, jobRecord}, workload.Cancelled},
		"after the job":                         {[]ledger.Record{jobRecord, ownRecord}, workload.Cancelled},
		"after the end of the job":              {[]ledger.Record{jobRecord, doneRecord, ownRecord}, workload.Done},
		"of another organisation, before":       {[]ledger.Record{foreign, jobRecord}, workload.Pending},
		"of another organisation, after":        {[]ledger.Record{jobRecord, foreign}, workload.Pending},
		"of both":                               {[]ledger.Record{ownRecord, foreign, jobRecord}, workload.Cancelled},
		"removed before the job":                {[]ledger.Record{ownRecord, removed, jobRecord}, workload.Pending},
		"removed after the job":                 {[]ledger.Record{ownRecord, jobRecord, removed}, workload.Cancelled},
		"repeated, and the first one removed":   {[]ledger.Record{ownRecord, repeated, removed, jobRecord}, workload.Cancelled},
		"the job is removed and comes again":    {[]ledger.Record{ownRecord, jobRecord, ledger.Tombstone(ledger.JobKind, "j"), jobRecord}, workload.Cancelled},
		"of the first of two jobs with one key": {[]ledger.Record{jobRecord, ownRecord, jobRecord}, workload.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := foldEach(c, tt.records)
			e, ok := s.Job("j")
			c.Assert(ok, qt.IsTrue)
			c.Check(e.State(), qt.Equals, tt.want)
		})
	}
}

// Guards against an early cancellation that is lost when the store forgets its history,
// and against one that stays in memory after its removal.
func TestEarlyCancellationsFollowTheNewestRecords(t *testing.T) {
	c := qt.New(t)
	s := ledger.NewState()
	cancellation := ledger.NewEarlyCancellation("j", "o", time.UnixMilli(1000))
	r, err := ledger.EncodeEarlyCancellation(cancellation)
	record := storedRecord(3, mustEncode(c, r, err))
	_, err = s.Replace(ledger.Page{Records: []ledger.StoredRecord{record}, Next: 4})
	c.Assert(err, qt.IsNil)
	c.Check(s.EarlyCancellations(), qt.DeepEquals, []ledger.EarlyCancellation{cancellation})
	found, ok := s.EarlyCancellation("j", "o")
	c.Check(ok, qt.IsTrue)
	c.Check(found, qt.Equals, cancellation)
	_, ok = s.EarlyCancellation("j", "p")
	c.Check(ok, qt.IsFalse)
	_, ok = s.Job("j")
	c.Check(ok, qt.IsFalse)
	_, err = s.Replace(ledger.Page{Next: 9})
	c.Assert(err, qt.IsNil)
	c.Check(s.EarlyCancellations(), qt.HasLen, 0)
}
