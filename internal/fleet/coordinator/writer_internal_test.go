package coordinator

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// Guards against batches that the store refuses for their size, after which no
// decision would be durable any more.
func TestBatchesAreBounded(t *testing.T) {
	c := qt.New(t)
	tm := &term{logger: log.NewNopLogger(), jobs: make(map[workload.ID]*jobState), dirty: collection.NewSet[workload.ID]()}
	add := func(id workload.ID, checkpointBytes int) {
		job := workload.Job{ID: id, Steps: []workload.Step{{Count: workload.MaxTasks}}}
		p := workload.NewProgress(job)
		for i := range workload.MaxTasks {
			p.Place(job.TaskID(0, i), 1, "side-pensacola-attic-11@10.12.0.120", "i-0b50be4a28@mk3x9zq1")
			p.Steps[0].Tasks[i].Checkpoint = strings.Repeat("x", checkpointBytes)
		}
		tm.jobs[id] = &jobState{job: job, progress: p}
		tm.dirty.Add(id)
	}
	const jobs = 20
	for i := range jobs {
		add(workload.ID(fmt.Sprintf("job-%02d", i)), 16)
	}
	add("beyond-the-bound", 200)
	count := 0
	for len(tm.dirty) > 0 {
		records, written := tm.encodeDirty()
		size := 0
		for _, r := range records {
			c.Assert(len(r.Value) <= ledger.MaxValueBytes, qt.IsTrue)
			size += len(r.Value)
		}
		c.Assert(size <= maxBatchBytes, qt.IsTrue)
		c.Assert(len(written) > 0, qt.IsTrue)
		count += len(written)
	}
	c.Check(count, qt.Equals, jobs) // The last job's record exceeds MaxValueBytes and is dropped.
}
