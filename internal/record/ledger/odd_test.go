package ledger_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

const (
	oddStep   = `{"count":1}`
	nestDepth = 10_001 // More than the decoder of JSON accepts.
)

// nested returns JSON text with deeply nested arrays.
func nested() string { return strings.Repeat("[", nestDepth) + strings.Repeat("]", nestDepth) }

// jobText returns the value of a job record with some further fields.
func jobText(fields string) string {
	return `{"queue":"q","service":"app","attempts":1,"stretch":1,` + fields + `}`
}

// progressText returns the value of a progress record whose steps are given as
// JSON.
func progressText(steps string) string { return `{"state":"running","steps":` + steps + `,"cycle":2}` }

// oddRecords are records of other writers, none of which may be used.
func oddRecords() map[string]ledger.Record {
	texts := map[string]string{
		"job/odd nested":                 nested(),
		"job/odd null":                   `null`,
		"job/odd without steps":          jobText(`"steps":null`),
		"job/odd null step":              jobText(`"steps":[null]`),
		"job/odd count":                  jobText(`"steps":[{"count":1e308}]`),
		"job/odd many tasks":             jobText(`"steps":[{"count":1500}],"repetitions":1000`),
		"job/odd many steps":             jobText(`"repetitions":1000,"steps":[` + strings.Repeat(oddStep+",", 999) + oddStep + `]`),
		"job/odd need":                   jobText(`"steps":[{"count":1,"milli-cores":9223372036854775807}]`),
		"job/odd interval":               jobText(`"steps":[{"count":1}],"repetitions":1000,"interval-ms":9223372036854`),
		"job/odd interval wraps":         jobText(`"steps":[{"count":1}],"repetitions":10,"interval-ms":9223372036854775807`),
		"job/odd first":                  jobText(`"steps":[{"count":1}],"repetitions":1,"first-ms":9223372036854775807`),
		"job/odd adviser":                jobText(`"adviser":"yes","steps":[{"count":1}]`),
		"job/odd target":                 jobText(`"steps":[{"count":1,"target-ms":9223372036854775807}]`),
		"job/":                           jobText(`"steps":[{"count":1}]`),
		"progress/good nested":           nested(),
		"progress/good null":             `null`,
		"progress/good negative":         progressText(`[{"waiting":-1}]`),
		"progress/good sum":              progressText(`[{"waiting":-5,"finished":3}]`),
		"progress/good waiting":          progressText(`[{"waiting":1125899906842624}]`),
		"progress/good finished":         progressText(`[{"finished":9223372036854775807}]`),
		"progress/good wraps":            progressText(`[{"waiting":9223372036854775807,"finished":9223372036854775807}]`),
		"progress/good other steps":      progressText(`[{"waiting":2}]`),
		"progress/good other count":      progressText(`[{"waiting":3},{"waiting":1}]`),
		"progress/good no steps":         progressText(`[]`),
		"progress/good cycle":            `{"state":"running","steps":[{"waiting":2},{"waiting":1}],"cycle":-1}`,
		"progress/good phase":            progressText(`[{"tasks":[{"phase":7},{}]},{"waiting":1}]`),
		"progress/good negative phase":   progressText(`[{"tasks":[{"phase":-1},{}]},{"waiting":1}]`),
		"progress/good run":              progressText(`[{"tasks":[{"phase":1,"run":9223372036854775807,"host":"h","minion":"m@1"},{}]},{"waiting":1}]`),
		"progress/good negative run":     progressText(`[{"tasks":[{"phase":1,"run":-1,"host":"h","minion":"m@1"},{}]},{"waiting":1}]`),
		"progress/good without host":     progressText(`[{"tasks":[{"phase":1,"run":1},{}]},{"waiting":1}]`),
		"progress/good failures":         progressText(`[{"failures":-9223372036854775808,"tasks":[{"run":1},{}]},{"waiting":1}]`),
		"progress/good failed run":       progressText(`[{"failed-run":9223372036854775807,"tasks":[{"run":1},{}]},{"waiting":1}]`),
		"progress/good state":            `{"state":"strange"}`,
		"progress/good table phase":      progressText(`[{"table":{"phases":"07"}},{"waiting":1}]`),
		"progress/good table count":      progressText(`[{"table":{"phases":"000"}},{"waiting":1}]`),
		"progress/good table tasks":      progressText(`[{"table":{"phases":"` + strings.Repeat("0", workload.MaxTasks+1) + `"}},{"waiting":1}]`),
		"progress/good table runs":       progressText(`[{"table":{"phases":"00","runs":[1]}},{"waiting":1}]`),
		"progress/good table run":        progressText(`[{"table":{"phases":"00","run":-1}},{"waiting":1}]`),
		"progress/good table no host":    progressText(`[{"table":{"phases":"10","run":1}},{"waiting":1}]`),
		"progress/good table host":       progressText(`[{"table":{"phases":"10","run":1,"hosts":[{"host":"h"}],"host-of":[1]}},{"waiting":1}]`),
		"progress/good table low host":   progressText(`[{"table":{"phases":"10","run":1,"hosts":[{"host":"h"}],"host-of":[-1]}},{"waiting":1}]`),
		"progress/good table hosts":      progressText(`[{"table":{"phases":"10","run":1,"hosts":[{"host":"h"}],"host-of":[0,0]}},{"waiting":1}]`),
		"progress/good table name":       progressText(`[{"table":{"phases":"10","run":1,"hosts":[{}],"host-of":[0]}},{"waiting":1}]`),
		"progress/good table failures":   progressText(`[{"table":{"phases":"00","failures":{"0":-1}}},{"waiting":1}]`),
		"progress/good checkpoint":       progressText(`[{"table":{"phases":"00","checkpoints":["x"],"checkpoint-of":{"1":1}}},{"waiting":1}]`),
		"cancellation/good nested":       nested(),
		"cancellation/good null":         `null`,
		"cancellation/good bytes":        "\xff\x00",
		"cancellation/good empty":        `{}`,
		"cancellation/good number":       `{"at-ms":1e308}`,
		"cancellation/good text":         `{"at-ms":"now"}`,
		"early-cancellation/good nested": nested(),
		"early-cancellation/good null":   `null`,
		"early-cancellation/good bytes":  "\xff\x00",
		"early-cancellation/good empty":  `{"organisation":"o"}`,
		"early-cancellation/good number": `{"organisation":"o","at-ms":1e308}`,
		"early-cancellation/good name":   `{"organisation":7,"at-ms":1000}`,
		"early-cancellation/":            `{"organisation":"o","at-ms":1000}`,
		"early-cancellation//1":          `{"organisation":"o","at-ms":1000}`,
		"claim/good nested":              nested(),
		"claim/good null":                `null`,
		"claim/good bytes":               "\xff\x00",
		"claim/good name":                `{"organisation":7}`,
		"claim/":                         `{"organisation":"o"}`,
		"claim//1":                       `{"organisation":"o"}`,
		"member/odd nested":              nested(),
		"member/odd port":                `{"role":"agent","address":"10.0.0.1:70000"}`,
		"member/odd port 0":              `{"role":"agent","address":"10.0.0.1:0"}`,
		"member/odd no address":          `{"role":"agent"}`,
		"member/odd null address":        `{"role":"agent","address":null}`,
		"member/odd unspecified":         `{"role":"agent","address":"0.0.0.0:7000"}`,
		"member/odd host name":           `{"role":"agent","address":"localhost:7000"}`,
		"member/odd role":                `{"role":"melting","address":"10.0.0.1:7000"}`,
		"member/odd no role":             `{"address":"10.0.0.1:7000"}`,
		"member/odd start":               `{"role":"agent","address":"10.0.0.1:7000","started-ms":1e308}`,
		"member/":                        `{"role":"agent","address":"10.0.0.1:7000"}`,
		"member/odd null":                `null`,
		"member/odd bytes":               "\xff\x00\xfe",
	}
	records := make(map[string]ledger.Record)
	for key, text := range texts {
		name := key
		if kind, _, found := strings.Cut(key, "good "); found { // A record of the job "good".
			key = kind + "good"
		}
		records[name] = ledger.Record{Key: key, Value: []byte(text)}
	}
	return records
}

// goodRecords returns a job of two steps, its progress and a member.
func goodRecords(c *qt.C) (job workload.Job, progress *workload.Progress, records []ledger.Record) {
	job = sampleJob("good")
	progress = workload.NewProgress(job)
	progress.Place(workload.TaskID{Job: "good", Index: 1}, 3, "host", "minion@1")
	jobRecord, err := ledger.EncodeJob(job)
	c.Assert(err, qt.IsNil)
	progressRecord, err := ledger.EncodeProgress(progress)
	c.Assert(err, qt.IsNil)
	return job, progress, []ledger.Record{jobRecord, progressRecord, memberRecord(c, "agent-1")}
}

func memberRecord(c *qt.C, name string) ledger.Record {
	r, err := ledger.EncodeMember(ledger.Member{Name: name, Role: ledger.AgentRole, Address: netip.MustParseAddrPort("10.0.0.1:7000"), Started: time.UnixMilli(1000)})
	c.Assert(err, qt.IsNil)
	return r
}

// withoutPanic returns the error of a call, which may be a panic.
func withoutPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return call()
}

// Guards against an odd record of another writer that ends the process, or that
// replaces what is known of a good job.
func TestOddRecordIsSkippedAndGoodOnesHold(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			job, progress, good := goodRecords(c)
			s := ledger.NewState()
			apply := func(offset int64, r ledger.Record) error {
				return withoutPanic(func() error {
					return s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(offset, r)}, Next: offset + 1})
				})
			}
			c.Assert(apply(0, good[0]), qt.IsNil)
			c.Assert(apply(1, good[1]), qt.IsNil)
			c.Check(apply(2, odd), qt.ErrorMatches, `(?s)decode (job|progress of|cancellation of|early cancellation|claim|member).*`)
			c.Check(s.Next(), qt.Equals, int64(3))
			c.Assert(apply(3, good[2]), qt.IsNil)
			e, ok := s.Job("good")
			c.Assert(ok, qt.IsTrue)
			c.Check(e.Job, qt.DeepEquals, job)
			c.Check(e.Progress, qt.DeepEquals, progress)
			c.Check(e.Cancelled, qt.IsFalse)
			c.Check(s.All(), qt.HasLen, 1)
			c.Check(s.Members(ledger.AgentRole), qt.HasLen, 1)
			progress.Place(workload.TaskID{Job: "good", Step: 1}, 1, "host", "minion@1")
			later, err := ledger.EncodeProgress(progress)
			c.Assert(err, qt.IsNil)
			c.Assert(apply(4, later), qt.IsNil)
			e, _ = s.Job("good")
			c.Check(e.Progress, qt.DeepEquals, progress)
		})
	}
}

// Guards against a reader that stops or repeats a page for ever because of an odd
// record.
func TestReaderPassesOddRecords(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := fleetstore.New()
	s := ledger.NewState()
	reader := ledger.NewReader(store, topic, s, 0, log.NewNopLogger())
	_, _, good := goodRecords(c)
	put := func(records ...ledger.Record) { c.Assert(store.Append(ctx, topic, records), qt.IsNil) }
	refresh := func() { c.Assert(withoutPanic(func() error { return reader.Refresh(ctx) }), qt.IsNil) }
	odd := oddRecords()
	put(good[0], good[1])
	for name, r := range odd {
		if strings.HasPrefix(name, "member/") {
			put(r)
		}
	}
	refresh() // By the newest record of each key.
	for _, r := range odd {
		put(r)
	}
	put(good[2])
	refresh() // By the following records.
	_, ok := s.Job("good")
	c.Check(ok, qt.IsTrue)
	c.Check(s.Members(ledger.AgentRole), qt.HasLen, 1)
	store.Forget(topic)
	put(memberRecord(c, "agent-2"))
	refresh() // By the newest records again.
	c.Check(s.Members(ledger.AgentRole), qt.HasLen, 2)
	c.Check(s.All(), qt.HasLen, 1)
}

// Guards against odd records that fill the log, one by one or by their size.
func TestOddRecordsDoNotFloodTheLog(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := fleetstore.New()
	var lines bytes.Buffer
	reader := ledger.NewReader(store, topic, ledger.NewState(), 0, log.NewLogfmtLogger(&lines))
	large := ledger.Record{Key: "member/odd", Value: []byte(`{"role":"agent","address":"` + strings.Repeat("x", 1000) + `"}`)}
	for range 20 {
		c.Assert(store.Append(ctx, topic, slices.Repeat([]ledger.Record{large}, 30)), qt.IsNil)
		c.Assert(reader.Refresh(ctx), qt.IsNil)
	}
	c.Check(strings.Count(lines.String(), "unreadable records skipped"), qt.Equals, 1)
	c.Check(lines.Len() < 2000, qt.IsTrue, qt.Commentf("%d bytes", lines.Len()))
}

// Guards against records of other writers that end the process or make it
// allocate without limit.
func FuzzRecords(f *testing.F) {
	for _, r := range oddRecords() {
		f.Add(r.Key, r.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		c := qt.New(t)
		_, _, good := goodRecords(c)
		if key == good[0].Key || key == good[1].Key || key == good[2].Key {
			return
		}
		s := ledger.NewState()
		for i, r := range []ledger.Record{good[0], {Key: key, Value: value}, {Key: good[1].Key, Value: value}, good[1], good[2]} {
			_ = s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(int64(i), r)}, Next: int64(i) + 1})
		}
		if _, ok := s.Job("good"); !ok {
			t.Fatal("the good job is lost")
		}
		for _, e := range s.All() {
			if err := e.Job.Validate(); err != nil {
				t.Fatalf("job accepted: %v", err)
			}
			p := workload.NewProgress(e.Job)
			if _, err := ledger.EncodeProgress(p); err != nil {
				t.Fatalf("progress of an accepted job: %v", err)
			}
			if e.Progress != nil && !e.Progress.State.Ended() && !e.Progress.Matches(e.Job) {
				t.Fatal("progress of other steps")
			}
		}
	})
}

// Guards against a job that looks as if it had not started, because its progress
// can't be used.
func TestUnusableProgressIsUnknown(t *testing.T) {
	c := qt.New(t)
	_, progress, good := goodRecords(c)
	odd := func(text string) ledger.Record { return ledger.Record{Key: good[1].Key, Value: []byte(text)} }
	otherSteps := odd(progressText(`[{"waiting":2}]`))
	uncertainProgress := progress.Clone()
	uncertainProgress.Uncertain = true
	uncertain, err := ledger.EncodeProgress(uncertainProgress)
	c.Assert(err, qt.IsNil)
	for name, tt := range map[string]struct {
		records  []ledger.Record
		unknown  bool
		progress *workload.Progress
	}{
		"no progress":               {records: good[:1]},
		"good":                      {records: good[:2], progress: progress},
		"unreadable":                {records: []ledger.Record{good[0], odd("{")}, unknown: true},
		"unreadable after good":     {records: []ledger.Record{good[0], good[1], odd("{")}, unknown: true, progress: progress},
		"uncertain":                 {records: []ledger.Record{good[0], uncertain}, unknown: true, progress: uncertainProgress},
		"uncertain before the job":  {records: []ledger.Record{uncertain, good[0]}, unknown: true, progress: uncertainProgress},
		"good after uncertain":      {records: []ledger.Record{good[0], uncertain, good[1]}, progress: progress},
		"good after unreadable":     {records: []ledger.Record{good[0], odd("{"), good[1]}, progress: progress},
		"unreadable before the job": {records: []ledger.Record{odd("{"), good[0]}, unknown: true},
		"other steps":               {records: []ledger.Record{good[0], otherSteps}, unknown: true},
		"other steps before job":    {records: []ledger.Record{otherSteps, good[0]}, unknown: true},
		"good before the job":       {records: []ledger.Record{good[1], good[0]}, progress: progress},
		"ended without steps":       {records: []ledger.Record{odd(`{"state":"done"}`), good[0]}, progress: &workload.Progress{Job: "good", State: workload.Done}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := ledger.NewState()
			for i, r := range tt.records {
				_ = s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(int64(i), r)}, Next: int64(i + 1)})
			}
			e, ok := s.Job("good")
			c.Assert(ok, qt.IsTrue)
			c.Check(e.ProgressUnknown, qt.Equals, tt.unknown)
			c.Check(e.Progress, qt.DeepEquals, tt.progress)
		})
	}
}
