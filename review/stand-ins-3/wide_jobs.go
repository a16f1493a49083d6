package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/tenancy/catalogue"

	"wasabihoist/internal/fleet/host"
)

const (
	wideJobCount = 72                      // wideJobCount is how many jobs one tenant hands in.
	wideInterval = 1100 * time.Millisecond // wideInterval is the time between two of them: 0.91 a second, as on the site.
	// wideRepetitions and fewRepetitions are how often the steps of each run, with and
	// without the trouble.
	wideRepetitions = 1000
	fewRepetitions  = 4
	memoryStepMB    = 50
	// endsOfMachine and machinesWithEnds are how often the processes of how many machines
	// have to end by themselves for a fault.
	endsOfMachine    = 3
	machinesWithEnds = 2
)

// wideJobs hands in jobs that repeat and are due the next day, and then a job of another
// tenant.
func wideJobs(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	c := &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{route("catalog-render", "/lohu930/", 2), route("shade-check", "/nony24/", 0)}, Organisations: tenants("key-a", "key-b")}
	if err := d.configure(ctx, c); err != nil {
		return false, err
	}
	ordinary := jobID(1000)
	d.fleet.SetWork(workload.ID(ordinary), 0, fleethost.Work{Duration: time.Second, Need: workload.Resources{MilliCores: 7500, MemoryMB: 22000, Accelerators: 1}})
	if err := d.start(ctx, 3, []host.Minion{standardMinion("r1-1"), standardMinion("r1-2"), standardMinion("r1-3")}); err != nil {
		return false, err
	}
	d.watchRuns(func(*minion, workload.TaskID) {})
	ends := make([]int, len(d.entries))
	d.group.Go("memory limit", func(ctx context.Context) error { return d.limitMemory(ctx, ends) })
	repetitions := fewRepetitions
	if trouble {
		repetitions = wideRepetitions
	}
	a := d.client("/lohu930/", "key-a")
	for i := range wideJobCount {
		body := fmt.Sprintf(`{"spec":"overnight","steps":[{"count":100,"cpu":5600,"memMb":16000,"gpu":1,"estimateMs":7600}],"repetitions":%d,"initialDelayMs":%d,"intervalMs":60000}`,
			repetitions, time.Now().Add(24*time.Hour).UnixMilli())
		entry := i % len(d.entries)
		reply := a.call(ctx, d.entry(entry), http.MethodPost, jobID(i), []byte(body))
		d.note("client %s: POST %s (%d bytes) %s to entry %d: %s", a.key, jobID(i), len(body), body, entry+1, reply)
		if err := group.Pause(ctx, wideInterval); err != nil {
			return false, err
		}
	}
	b := d.client("/nony24/", "key-b")
	if err := d.submit(ctx, b, ordinary, `{"spec":"shade","steps":[{"count":1,"cpu":7500,"memMb":22000,"gpu":1,"estimateMs":1000}]}`); err != nil {
		return false, err
	}
	accepted := time.Now()
	task := workload.TaskID{Job: workload.ID(ordinary)}
	for i := 0; time.Since(accepted) < finishTime+idleTime+time.Second && d.fleet.Starts(task) == 0; i++ {
		if err := group.Pause(ctx, 20*time.Millisecond); err != nil {
			return false, err
		}
		if i%100 == 0 {
			d.note("client %s: GET %s: %s", b.key, ordinary, b.call(ctx, d.entry(i/100%len(d.entries)), http.MethodGet, ordinary, nil))
		}
	}
	machines := 0
	for i, n := range ends {
		d.note("%s ended %d times over its memory limit", d.entries[i].node, n)
		if n >= endsOfMachine {
			machines++
		}
	}
	waited := time.Since(accepted)
	lost := d.fleet.Starts(task) == 0 && waited > finishTime+idleTime
	d.note("%s: %d starts %.1f s after its acceptance, on idle minions; lost: %t", task, d.fleet.Starts(task), waited.Seconds(), lost)
	return machines >= machinesWithEnds, nil
}

// limitMemory ends the entries that are over their memory limit and starts them again,
// as the platform does. It counts these ends, and those of processes that end otherwise.
func (d *deployment) limitMemory(ctx context.Context, ends []int) error {
	shown := make([]int, len(d.entries))
	for ctx.Err() == nil {
		for i, p := range d.entries {
			mb := p.residentMB()
			if mb >= shown[i]+memoryStepMB {
				shown[i] = mb
				d.note("%s: %d MB of memory", p.node, mb)
			}
			if mb <= p.memoryMB && !p.hasExited() {
				continue
			}
			ends[i]++
			shown[i] = 0
			d.note("platform: %s has %d MB, over its limit of %d MB: killed, for the %d. time", p.node, mb, p.memoryMB, ends[i])
			p.signal(syscall.SIGKILL)
			p.kill()
			if group.Pause(ctx, restartDelay) != nil {
				return nil
			}
			if err := p.start(); err != nil {
				return err
			}
		}
		if group.Pause(ctx, 50*time.Millisecond) != nil {
			return nil
		}
	}
	return nil
}
