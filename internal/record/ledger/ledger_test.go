package ledger_test

import (
	"bytes"
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

const topic ledger.Topic = "fleet"

func sampleJob(id workload.ID) workload.Job {
	return workload.Job{
		ID: id, Queue: "q", Organisation: "o", Service: "app", Spec: "text", Submitted: time.UnixMilli(1000), Priority: 1,
		Attempts: 2, Stretch: 1.5, Objective: 300 * time.Millisecond, Adviser: workload.AdviserUsed,
		Steps: []workload.Step{
			{Count: 2, Need: workload.Resources{MilliCores: 1, MemoryMB: 2, Accelerators: 3}, Estimate: time.Second, Checkpoints: true, Gang: true, RackLocal: true},
			{Count: 1, DependsOn: []int{0}, Label: "a", DataRack: "r1", SpreadLimit: 2, BestEffort: true, LongRunning: true, MaxUnavailable: 1, LatencyTarget: 20 * time.Millisecond, Image: "i"},
		},
	}
}

func mustEncode(c *qt.C, r ledger.Record, err error) ledger.Record {
	c.Assert(err, qt.IsNil)
	return r
}

func storedRecord(offset int64, r ledger.Record) ledger.StoredRecord {
	return ledger.StoredRecord{Record: r, Offset: offset}
}

// foldEach returns the state after some records, each read in a page of its own.
func foldEach(c *qt.C, records []ledger.Record) *ledger.State {
	s := ledger.NewState()
	for i, r := range records {
		c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(int64(i), r)}, Next: int64(i + 1)}), qt.IsNil)
	}
	return s
}

func TestJobAndProgressRecordsRoundTrip(t *testing.T) {
	c := qt.New(t)
	j := sampleJob("j")
	j.Schedule = workload.Schedule{Repetitions: 2, First: time.UnixMilli(5000), Interval: time.Minute}
	p := workload.NewProgress(j)
	p.Place(workload.TaskID{Job: "j", Index: 1}, 3, "host", "minion@1")
	p.Finish(j, workload.TaskID{Job: "j", Occurrence: 1, Step: 1})
	s := ledger.NewState()
	jobRecord, err := ledger.EncodeJob(j)
	c.Assert(err, qt.IsNil)
	progressRecord, err := ledger.EncodeProgress(p)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(0, jobRecord), storedRecord(1, progressRecord)}, Next: 2}), qt.IsNil)
	e, ok := s.Job("j")
	c.Assert(ok, qt.IsTrue)
	c.Check(e.Job, qt.DeepEquals, j)
	c.Check(e.Progress, qt.DeepEquals, p)
	c.Check(e.State(), qt.Equals, workload.Running)
}

// Guards against a record that can't be told from that of an older version.
func TestAdviserUseIsRecorded(t *testing.T) {
	for _, use := range []workload.AdviserUse{workload.AdviserNotRecorded, workload.AdviserNotUsed, workload.AdviserUsed} {
		c := qt.New(t)
		j := sampleJob("j")
		j.Adviser = use
		record, err := ledger.EncodeJob(j)
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Contains(record.Value, []byte("adviser")), qt.Equals, use != workload.AdviserNotRecorded)
		e, _ := foldEach(c, []ledger.Record{record}).Job("j")
		c.Check(e.Job, qt.DeepEquals, j)
	}
}

// Guards against a progress record that omits the runs of an ended job that are still
// stopping. A new coordinator would treat their resources as free.
func TestEndedJobKeepsTheRunsThatAreStopping(t *testing.T) {
	for name, tt := range map[string]struct {
		placed bool
		steps  int
	}{
		"a task is placed":  {true, 2},
		"no task is placed": {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := sampleJob("j")
			p := workload.NewProgress(j)
			if tt.placed {
				p.Place(workload.TaskID{Job: "j"}, 1, "host", "minion@1")
			}
			p.State = workload.Cancelled
			s := ledger.NewState()
			r, err := ledger.EncodeProgress(p)
			c.Assert(err, qt.IsNil)
			jobRecord, err := ledger.EncodeJob(j)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(0, jobRecord), storedRecord(1, r)}, Next: 2}), qt.IsNil)
			e, _ := s.Job("j")
			c.Check(e.Progress.Steps, qt.HasLen, tt.steps)
		})
	}
}

// Guards against a removed job that is counted as pending for as long as the process
// runs, because it never saw the job's end.
func TestRemovedJobIsNotPending(t *testing.T) {
	jobRecord, err := ledger.EncodeJob(sampleJob("j"))
	qt.New(t).Assert(err, qt.IsNil)
	for name, remove := range map[string]func(s *ledger.State) error{
		"removed by a record": func(s *ledger.State) error {
			return s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(1, ledger.Tombstone(ledger.JobKind, "j"))}, Next: 2})
		},
		"missing in the newest records": func(s *ledger.State) error {
			_, err := s.Replace(ledger.Page{Next: 2})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := ledger.NewState()
			c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(0, jobRecord)}, Next: 1}), qt.IsNil)
			c.Assert(s.PendingCount("q"), qt.Equals, 1)
			c.Assert(remove(s), qt.IsNil)
			_, known := s.Job("j")
			c.Check(known, qt.IsFalse)
			c.Check(s.PendingCount("q"), qt.Equals, 0)
		})
	}
}

func TestJobStateFollowsRecordOrder(t *testing.T) {
	c := qt.New(t)
	j := sampleJob("j")
	jobRecord, err := ledger.EncodeJob(j)
	c.Assert(err, qt.IsNil)
	cancelRecord, err := ledger.EncodeCancellation("j", "o", time.Now())
	c.Assert(err, qt.IsNil)
	done := workload.NewProgress(j)
	done.State = workload.Done
	doneRecord, err := ledger.EncodeProgress(done)
	c.Assert(err, qt.IsNil)
	placed := workload.NewProgress(j)
	placed.Place(workload.TaskID{Job: "j"}, 1, "host", "minion@1")
	placedRecord, err := ledger.EncodeProgress(placed)
	c.Assert(err, qt.IsNil)
	placed.MarkStarted()
	startedRecord, err := ledger.EncodeProgress(placed)
	c.Assert(err, qt.IsNil)
	for name, tt := range map[string]struct {
		records []ledger.Record
		want    workload.State
	}{
		"submitted":                          {[]ledger.Record{jobRecord}, workload.Pending},
		"submitted twice":                    {[]ledger.Record{jobRecord, jobRecord}, workload.Pending},
		"placed":                             {[]ledger.Record{jobRecord, placedRecord}, workload.Pending},
		"started":                            {[]ledger.Record{jobRecord, placedRecord, startedRecord}, workload.Running},
		"cancelled":                          {[]ledger.Record{jobRecord, cancelRecord}, workload.Cancelled},
		"cancelled, then done":               {[]ledger.Record{jobRecord, cancelRecord, doneRecord}, workload.Cancelled},
		"done, then cancelled":               {[]ledger.Record{jobRecord, doneRecord, cancelRecord}, workload.Done},
		"cancelled before it is submitted":   {[]ledger.Record{cancelRecord, jobRecord}, workload.Cancelled},
		"submitted again after cancellation": {[]ledger.Record{jobRecord, cancelRecord, jobRecord}, workload.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := foldEach(c, tt.records)
			e, ok := s.Job("j")
			c.Assert(ok, qt.IsTrue)
			c.Check(e.State(), qt.Equals, tt.want)
			pending := 0
			if tt.want == workload.Pending {
				pending = 1
			}
			c.Check(s.PendingCount("q"), qt.Equals, pending)
		})
	}
}

// Guards against a return to an older state when the store returns an older page, and
// against deleted keys that stay in the state.
func TestReplaceRejectsOlderPages(t *testing.T) {
	c := qt.New(t)
	s := ledger.NewState()
	first := encodedJob(c, "first")
	c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(4, first)}, Next: 5}), qt.IsNil)
	current, err := s.Replace(ledger.Page{Next: 3})
	c.Assert(err, qt.IsNil)
	c.Check(current, qt.IsFalse)
	_, ok := s.Job("first")
	c.Check(ok, qt.IsTrue)
	current, err = s.Replace(ledger.Page{Records: []ledger.StoredRecord{storedRecord(7, encodedJob(c, "second"))}, Next: 8})
	c.Assert(err, qt.IsNil)
	c.Check(current, qt.IsTrue)
	_, ok = s.Job("first")
	c.Check(ok, qt.IsFalse)
	_, ok = s.Job("second")
	c.Check(ok, qt.IsTrue)
	c.Check(s.Next(), qt.Equals, int64(8))
}

// Guards against records that are left out because a later one of the page follows,
// although the state of the job depends on their order.
func TestPageIsFoldedLikeItsRecords(t *testing.T) {
	c := qt.New(t)
	encode := func(r ledger.Record, err error) ledger.Record { return mustEncode(c, r, err) }
	progress := func(state workload.State, run int) ledger.Record {
		p := workload.NewProgress(sampleJob("j"))
		p.Place(workload.TaskID{Job: "j"}, run, "host", "minion@1")
		p.State = state
		return encode(ledger.EncodeProgress(p))
	}
	choices := []ledger.Record{
		progress(workload.Running, 1), progress(workload.Running, 2), progress(workload.Done, 3),
		{Key: "progress/j", Value: []byte("{")}, {Key: "progress/j", Value: []byte(progressText(`[{"waiting":5}]`))},
		ledger.Tombstone(ledger.ProgressKind, "j"), ledger.Tombstone(ledger.JobKind, "j"), memberRecord(c, "m"),
	}
	for _, organisation := range []string{"o", "p"} {
		job, claim := sampleJob("j"), ledger.NewClaim("j", organisation)
		job.Organisation = organisation
		choices = append(choices, encode(ledger.EncodeJob(job)), encode(ledger.EncodeClaim(claim)), ledger.Tombstone(ledger.ClaimKind, claim.Name),
			encode(ledger.EncodeCancellation("j", organisation, time.UnixMilli(1000))))
		cancellation := ledger.NewEarlyCancellation("j", organisation, time.UnixMilli(1000))
		choices = append(choices, encode(ledger.EncodeEarlyCancellation(cancellation)), ledger.Tombstone(ledger.EarlyCancellationKind, cancellation.Name))
	}
	rapid.Check(t, func(t *rapid.T) {
		whole, single := ledger.NewState(), ledger.NewState()
		offset := int64(0)
		for range rapid.IntRange(1, 3).Draw(t, "pages") {
			page := ledger.Page{Next: offset}
			for _, r := range rapid.SliceOfN(rapid.SampledFrom(choices), 1, 6).Draw(t, "records") {
				page.Records = append(page.Records, storedRecord(page.Next, r))
				page.Next++
			}
			_ = whole.Apply(page)
			for _, r := range page.Records {
				_ = single.Apply(ledger.Page{Records: []ledger.StoredRecord{r}, Next: r.Offset + 1})
			}
			offset = page.Next
			if got, want := whole.All(), single.All(); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
			if got, want := whole.PendingCount("q"), single.PendingCount("q"); got != want {
				t.Fatalf("%d jobs are pending, want %d", got, want)
			}
		}
	})
}

func encodedJob(c *qt.C, id workload.ID) ledger.Record {
	r, err := ledger.EncodeJob(sampleJob(id))
	return mustEncode(c, r, err)
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	c := qt.New(t)
	s := ledger.NewState()
	err := s.Apply(ledger.Page{Records: []ledger.StoredRecord{
		storedRecord(0, ledger.Record{Key: "job/x", Value: []byte("{")}),
		storedRecord(1, ledger.Record{Key: "strange", Value: []byte("x")}),
		storedRecord(2, ledger.Record{Key: "member/m", Value: []byte("[]")}),
		storedRecord(3, encodedJob(c, "good")),
	}, Next: 4})
	c.Check(err, qt.ErrorMatches, `(?s).*decode job x.*decode member m.*`)
	_, ok := s.Job("good")
	c.Check(ok, qt.IsTrue)
	_, ok = s.Job("x")
	c.Check(ok, qt.IsFalse)
}

// Guards against a reader that stops when the store drops unread records, and
// against a refresh that misses records stored before it.
func TestReaderFollowsTheStore(t *testing.T) {
	c := qt.New(t)
	store := fleetstore.New()
	s := ledger.NewState()
	reader := ledger.NewReader(store, topic, s, 20*time.Millisecond, log.NewNopLogger())
	g := group.New(context.Background())
	g.Go("reader", reader.Run)
	ctx := context.Background()
	put := func(id workload.ID) {
		c.Assert(store.Append(ctx, topic, []ledger.Record{encodedJob(c, id)}), qt.IsNil)
	}
	known := func(id workload.ID) bool { _, ok := s.Job(id); return ok }
	put("a")
	c.Assert(reader.Refresh(ctx), qt.IsNil)
	c.Check(known("a"), qt.IsTrue)
	store.SetFaults(fleetstore.Faults{Down: true})
	c.Check(reader.Refresh(ctx), qt.Not(qt.IsNil))
	asOf := reader.AsOf()
	store.SetFaults(fleetstore.Faults{})
	put("b")
	store.Forget(topic)
	put("c")
	c.Assert(reader.Refresh(ctx), qt.IsNil)
	c.Check(known("b") && known("c"), qt.IsTrue)
	c.Check(reader.AsOf().After(asOf), qt.IsTrue)
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
	c.Check(errors.Is(reader.Refresh(ctx), context.Canceled), qt.IsFalse)
}
