package coordinator

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
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
	c.Check(count, qt.Equals, jobs+1) // The record of the last job exceeds MaxValueBytes with its checkpoints.
}

// oversizeTerm returns a term with a job and a host for each of its tasks. The names
// of the hosts, 180 bytes each, don't fit into a record all at once.
func oversizeTerm(t *testing.T, gang bool) (*term, *jobState, []*hostState) {
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: workload.MaxTasks, Gang: gang}}}
	c := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), store: fleetstore.New(), state: ledger.NewState(), catalogue: &catalogue.Current{}}
	c.Apply(Options{})
	tm := newTerm(c, 1, now(), group.New(context.Background()))
	tm.adoptJob(ledger.JobEntry{Job: job, Accepted: true})
	hosts := make([]*hostState, workload.MaxTasks)
	for i := range hosts {
		hosts[i] = tm.host(fmt.Sprintf("%0180d", i))
		hosts[i].client = silentClient{}
		hosts[i].minion = host.Minion{ID: "m"}
	}
	return tm, tm.jobs["job"], hosts
}

// runsOn returns the runs on all hosts.
func runsOn(hosts []*hostState) []*run {
	var all []*run
	for _, h := range hosts {
		all = append(all, runsOf(h)...)
	}
	return all
}

// silentClient answers no call.
type silentClient struct{ host.Client }

// Start implements host.Client.
func (silentClient) Start(ctx context.Context, _ host.StartRequest) error {
	<-ctx.Done()
	return ctx.Err()
}

// Stop implements host.Client.
func (silentClient) Stop(ctx context.Context, _ host.StopRequest) error {
	<-ctx.Done()
	return ctx.Err()
}

// propose places the tasks of the only step with the given indices, each on the host
// with its index.
func propose(tm *term, j *jobState, hosts []*hostState, indices ...int) {
	names := make([]string, len(indices))
	for i, index := range indices {
		names[i] = hosts[index].name
	}
	tm.proposePlacement(waitingStep{job: j, indices: indices}, names)
}

// flushAll writes all dirty jobs, and returns the progress of a job that is durable
// then.
func flushAll(c *qt.C, tm *term, id workload.ID) *workload.Progress {
	for len(tm.dirty) > 0 || len(tm.effects) > 0 || tm.writer.busy {
		tm.flush()
		for tm.writer.busy {
			(<-tm.events)()
		}
	}
	page, err := tm.store.Newest(context.Background(), tm.topic, "")
	c.Assert(err, qt.IsNil)
	state := ledger.NewState()
	jobRecord, err := ledger.EncodeJob(tm.jobs[id].job)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: jobRecord}}, Next: 1}), qt.IsNil)
	c.Assert(state.Apply(ledger.Page{Records: page.Records, Next: page.End}), qt.IsNil)
	e, _ := state.Job(id)
	c.Assert(e.Progress, qt.IsNotNil)
	return e.Progress
}

// Guards against starts that are sent, and ends that are acknowledged, although the
// progress that names them is too large for the ledger.
func TestEffectsOfOversizeProgressAreDurable(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "single tasks": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm, j, hosts := oversizeTerm(t, gang)
			defer func() { tm.group.Stop(); _ = tm.group.Wait() }()
			indices := make([]int, workload.MaxTasks)
			for i := range indices {
				indices[i] = i
			}
			propose(tm, j, hosts, indices...)
			durable := flushAll(c, tm, "job")
			started := len(runsOn(hosts))
			c.Check(started > 0, qt.Equals, !gang)
			c.Check(j.retryAt > now(), qt.IsTrue)
			for _, task := range durable.Steps[0].Tasks[started:] {
				c.Assert(task, qt.Equals, workload.Task{}) // as before its placement was proposed
			}
			for _, r := range runsOn(hosts) {
				c.Assert(r.phase, qt.Equals, starting)
				c.Assert(durable.Steps[0].Tasks[r.task.Index].Phase, qt.Equals, workload.Placed)
			}
			if gang {
				return
			}
			propose(tm, j, hosts, indices[started:]...)
			acknowledged := false
			tm.handleEndedRun(hosts[0], host.EndedRun{Task: j.job.TaskID(0, 0), Number: 1, Outcome: host.Completed})
			tm.effects = append(tm.effects, func() { acknowledged = true })
			durable = flushAll(c, tm, "job")
			c.Check(acknowledged, qt.IsTrue)
			c.Check(durable.Steps[0].Tasks[0].Phase, qt.Equals, workload.Finished)
			for _, r := range runsOn(hosts) {
				c.Assert(durable.Steps[0].Tasks[r.task.Index].Phase, qt.Equals, workload.Placed)
			}
		})
	}
}

// Guards against a job that holds up the starts and acknowledgements of all jobs
// because its progress never fits into the ledger.
func TestJobWhoseProgressNeverFitsFails(t *testing.T) {
	c := qt.New(t)
	tm, j, hosts := oversizeTerm(t, false)
	defer func() { tm.group.Stop(); _ = tm.group.Wait() }()
	for i, h := range hosts {
		h.client = nil
		j.progress.Place(j.job.TaskID(0, i), 1, h.name, "m")
	}
	tm.adoptRuns(j)
	tm.recordChange(j)
	served := false
	tm.effects = append(tm.effects, func() { served = true })
	c.Check(flushAll(c, tm, "job").State, qt.Equals, workload.Failed)
	c.Check(served, qt.IsTrue)
	c.Check(runsOn(hosts), qt.HasLen, workload.MaxTasks) // They hold their resources until they have ended.
	for _, a := range tm.attempts {
		c.Assert(a.stopping, qt.IsTrue)
	}
}
