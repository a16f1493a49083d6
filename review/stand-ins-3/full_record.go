package main

import (
	"context"
	"fmt"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	repeatedTimes = 1000
	repeatedTasks = 50
	// failingShare is the share of the running tasks that fail once by their own fault, as
	// on the site.
	failingShare = 0.05
	// growTime is how long the job may take to start tasks of more and more occurrences.
	growTime   = 45 * time.Second
	failedTime = 20 * time.Second
)

// fullRecord hands in a job whose steps repeat, lets tasks of many occurrences run, and
// then lets a few of them fail once.
func fullRecord(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	q := route("catalog-render", "/lohu930/", 2)
	q.Attempts = 3
	if err := d.configure(ctx, &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{q}, Organisations: tenants("key-a")}); err != nil {
		return false, err
	}
	id := jobID(1)
	d.fleet.SetWork(workload.ID(id), 0, fleethost.Work{Duration: 100 * time.Second, Need: workload.Resources{MilliCores: 20, MemoryMB: 50}, Spread: 2})
	if err := d.start(ctx, 3, []host.Minion{standardMinion("r1-1"), standardMinion("r1-2"), standardMinion("r1-3")}); err != nil {
		return false, err
	}
	c := d.client("/lohu930/", "key-a")
	body := fmt.Sprintf(`{"spec":"render","steps":[{"count":%d,"cpu":20,"memMb":50,"antiAffinity":2,"estimateMs":100000}],"repetitions":%d,"initialDelayMs":%d,"intervalMs":1}`,
		repeatedTasks, repeatedTimes, time.Now().UnixMilli())
	if err := d.submit(ctx, c, id, body); err != nil {
		return false, err
	}
	running := func() (tasks int) {
		for _, m := range d.minions {
			tasks += len(m.Look().Running)
		}
		return tasks
	}
	for begin, last, since := time.Now(), 0, time.Now(); time.Since(begin) < growTime && time.Since(since) < 5*time.Second; {
		if err := group.Pause(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
		if n := running(); n != last {
			last, since = n, time.Now()
			d.note("%d tasks run", n)
		}
	}
	state, a := c.state(ctx, d.entry(0), id)
	d.note("client %s: GET %s: %s", c.key, id, a)
	if state != "running" {
		return false, fmt.Errorf("the job is %q before any task has failed", state)
	}
	if trouble {
		d.failOnce(int(failingShare * float64(running())))
	}
	for begin := time.Now(); time.Since(begin) < failedTime && state == "running"; {
		if err := group.Pause(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
		state, a = c.state(ctx, d.entry(1), id)
	}
	d.note("client %s: GET %s: %s", c.key, id, a)
	d.note("%d tasks run; no task has failed more than once, of %d attempts", running(), q.Attempts)
	return state == "failed", nil
}

// failOnce lets some running tasks fail, none of them twice, and one at most of those of an
// occurrence on a minion.
func (d *deployment) failOnce(count int) {
	failed := 0
	for _, m := range d.minions {
		hit := make(map[int]bool)
		for _, r := range m.Look().Running {
			if failed == count || len(hit) > count/len(d.minions) {
				break
			}
			if hit[r.Task.Occurrence] {
				continue
			}
			hit[r.Task.Occurrence] = true
			failed++
			m.End(r.Task)
			d.note("minion %s: %s run %d ends as failed", m.id, r.Task, r.Number)
		}
	}
	d.note("%d tasks have failed once", failed)
}
