package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 500 * time.Millisecond
	// failAfter is how long a task of the failing job runs.
	failAfter = 300 * time.Millisecond
	// failingAt is when the failing job is handed in, after the working one.
	failingAt = 4 * time.Second
	// othersAt is when the jobs of the other tenant are handed in, after the failing one.
	othersAt = 33 * time.Second
	// othersTime is for how long they are watched.
	othersTime = 30 * time.Second
	// lastingLimit is how long a task that lasts may wait in calm while there is room: 3 s,
	// from 6 s after its last run.
	lastingLimit = 9 * time.Second
)

// crashLoop lets each task of a job that lasts fail shortly after its start, beside a
// job that lasts and works, and looks when the jobs of another tenant are started.
func crashLoop(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	c := &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{route("costume-match", "/lohu930/", 1)}, Organisations: tenants("key-a", "key-b", "key-c")}
	if err := d.configure(ctx, c); err != nil {
		return false, err
	}
	small := workload.Resources{MilliCores: 1000, MemoryMB: 1000}
	working, failing, lasting, ordinary := jobID(1), jobID(2), jobID(3), jobID(4)
	for _, id := range []string{working, failing, lasting} {
		d.fleet.SetWork(workload.ID(id), 0, fleethost.Work{Duration: startupTime, Need: small, Lasting: true})
	}
	d.fleet.SetWork(workload.ID(ordinary), 0, fleethost.Work{Duration: time.Second, Need: small})
	if err := d.start(ctx, 3, []host.Minion{standardMinion("r1-1"), standardMinion("r1-2"), standardMinion("r1-3")}); err != nil {
		return false, err
	}
	d.watchRuns(func(m *minion, task workload.TaskID) {
		if string(task.Job) == failing && trouble && time.Since(d.fleet.LastStart(task)) > failAfter {
			d.note("minion %s: %s ends as failed", m.id, task)
			m.End(task)
		}
	})
	const three = `{"spec":"serve","steps":[{"count":3,"cpu":1000,"memMb":1000,"longRunning":true,"antiAffinity":1,"estimateMs":1000}]}`
	const one = `{"spec":"serve","steps":[{"count":1,"cpu":1000,"memMb":1000,"longRunning":true,"estimateMs":1000}]}`
	const short = `{"spec":"match","steps":[{"count":1,"cpu":1000,"memMb":1000,"estimateMs":1000}]}`
	if err := d.submit(ctx, d.client("/lohu930/", "key-a"), working, three); err != nil {
		return false, err
	}
	if err := group.Pause(ctx, failingAt); err != nil {
		return false, err
	}
	if err := d.submit(ctx, d.client("/lohu930/", "key-b"), failing, three); err != nil {
		return false, err
	}
	if err := group.Pause(ctx, othersAt); err != nil {
		return false, err
	}
	others := d.client("/lohu930/", "key-c")
	for id, body := range map[string]string{lasting: one, ordinary: short} {
		if err := d.submit(ctx, others, id, body); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	first, second := workload.TaskID{Job: workload.ID(lasting)}, workload.TaskID{Job: workload.ID(ordinary)}
	for time.Since(accepted) < othersTime && d.fleet.Starts(first)+d.fleet.Starts(second) == 0 {
		if err := group.Pause(ctx, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	waited := time.Since(accepted)
	for _, id := range []string{lasting, ordinary} {
		_, a := others.state(ctx, d.entry(0), id)
		d.note("client %s: GET %s: %s", others.key, id, a)
	}
	for _, m := range d.minions {
		d.note("minion %s: %d tasks of 1000 run there, its capacity is %d", m.id, len(m.Look().Running), m.Report().Capacity.MilliCores)
	}
	d.note("%.1f s after their acceptance: %d starts of %s and %d of %s", waited.Seconds(), d.fleet.Starts(first), first, d.fleet.Starts(second), second)
	lastingLost := d.fleet.Starts(first) == 0 && waited > lastingLimit
	ordinaryLost := d.fleet.Starts(second) == 0 && waited > finishTime+idleTime
	d.note("over the bound: the task that lasts %t, the other %t", lastingLost, ordinaryLost)
	return lastingLost && ordinaryLost, nil
}

// watchRuns notes the runs that the minions begin, and calls a function for each task
// that runs, again and again.
func (d *deployment) watchRuns(each func(m *minion, task workload.TaskID)) {
	var mu sync.Mutex
	shown := make(map[workload.TaskID]int)
	d.group.Every("runs", 20*time.Millisecond, func(context.Context) error {
		mu.Lock()
		defer mu.Unlock()
		for _, m := range d.minions {
			for _, r := range m.Look().Running {
				if r.Number > shown[r.Task] {
					shown[r.Task] = r.Number
					d.note("minion %s: runs %s, run %d", m.id, r.Task, r.Number)
				}
				each(m, r.Task)
			}
		}
		return nil
	})
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(ctx context.Context, c client, id, body string) error {
	for attempt := range 20 {
		a := c.call(ctx, d.entry(attempt%len(d.entries)), http.MethodPost, id, []byte(body))
		d.note("client %s: POST %s %s: %s", c.key, id, body, a)
		if a.status == http.StatusOK {
			return nil
		}
		if err := group.Pause(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return errNotAccepted
}
