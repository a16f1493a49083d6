package ledger_test

import (
	"fmt"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

// recordedProgress returns the progress that a process reads from its record.
func recordedProgress(c *qt.C, job workload.Job, record ledger.Record) *workload.Progress {
	jobRecord, err := ledger.EncodeJob(job)
	c.Assert(err, qt.IsNil)
	s := ledger.NewState()
	c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{storedRecord(0, jobRecord), storedRecord(1, record)}, Next: 2}), qt.IsNil)
	e, _ := s.Job(job.ID)
	return e.Progress
}

// Guards against a field of a task that is lost or given to another task by the
// compact form of its record.
func TestTasksRoundTrip(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		job := sampleJob("j")
		job.Steps[0].Count = rapid.IntRange(1, 40).Draw(t, "tasks")
		p := workload.NewProgress(job)
		p.State = workload.Running
		for i := range p.Steps[0].Tasks {
			task := &p.Steps[0].Tasks[i]
			task.Phase = workload.Phase(rapid.IntRange(0, 2).Draw(t, "phase"))
			task.Run = rapid.IntRange(1, 3).Draw(t, "run")
			task.Failures = rapid.IntRange(0, 2).Draw(t, "failures")
			task.Checkpoint = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint")
			if task.Phase == workload.Placed {
				task.Host = rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host")
				task.Minion = rapid.SampledFrom([]string{"m@1", "m@2"}).Draw(t, "minion")
			}
		}
		p.Steps[0].Tasks[0].Phase = workload.Waiting // A step whose tasks have all finished keeps their number only.
		p.Steps[0].Tasks[0].Host, p.Steps[0].Tasks[0].Minion = "", ""
		record, err := ledger.EncodeProgress(p)
		if err != nil {
			t.Fatal(err)
		}
		if got := recordedProgress(c, job, record); !reflect.DeepEqual(got, p) {
			t.Fatalf("got %+v, want %+v", got, p)
		}
	})
}

// Guards against a log that grows with the tasks of a job times their starts and
// ends: the progress of a job with 470 tasks took 60 KB in each record, and 27
// entries behind a link of 150 Mbit/s could not read it as fast as it was written.
func TestWideJobHasASmallRecord(t *testing.T) {
	c := qt.New(t)
	size := func(tasks int) int {
		p := workload.NewProgress(workload.Job{ID: "j", Steps: []workload.Step{{Count: tasks}}})
		const hosts = 60
		for i := range tasks {
			p.Place(workload.TaskID{Job: "j", Index: i}, 1, fmt.Sprintf("side-pensacola-attic-%02d@10.12.0.120", i%hosts), "i-0b50be4a28@mk3x9zq1")
		}
		record, err := ledger.EncodeProgress(p)
		c.Assert(err, qt.IsNil)
		return len(record.Value)
	}
	// A task on a host that is named already takes its phase, a run number and an index.
	const taskBytes = 12
	c.Check(size(470)-size(60) <= 410*taskBytes, qt.IsTrue, qt.Commentf("60 tasks %d bytes, 470 tasks %d bytes", size(60), size(470)))
}

// Guards against records of the former version that a newer process can't use.
func TestFormerProgressRecordIsRead(t *testing.T) {
	c := qt.New(t)
	job := sampleJob("j")
	want := workload.NewProgress(job)
	want.State = workload.Running
	want.Steps[0].Tasks[1] = workload.Task{Phase: workload.Placed, Run: 3, Host: "h", Minion: "m@1", Failures: 1, Checkpoint: "x"}
	text := `{"state":"running","steps":[{"tasks":[{},{"phase":1,"run":3,"host":"h","minion":"m@1","failures":1,"checkpoint":"x"}]},{"waiting":1}],"cycle":2}`
	c.Check(recordedProgress(c, job, ledger.Record{Key: "progress/j", Value: []byte(text)}), qt.DeepEquals, want)
}
