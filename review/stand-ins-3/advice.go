package main

import (
	"context"
	"encoding/json"
	"fmt"
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
	adviceDecide    = 600 * time.Millisecond // adviceDecide is the decideMs of the queue.
	advicePerWorker = 50 * time.Millisecond  // advicePerWorker is the perWorkerMs of the queue.
	adviceValidity  = 3 * time.Second        // adviceValidity is the validityMs of the wire's example.
	burstJobs       = 8
	burstInterval   = 500 * time.Millisecond
	adviceWatch     = 25 * time.Second
	finishTime      = 14 * time.Second // finishTime is finish_s.
	idleTime        = 3 * time.Second  // idleTime is how long a job may have nothing running after that.
)

// adviser is a stand-in of the placement adviser. Every worker may run every step. It
// serves one call at a time.
type adviser struct {
	d    *deployment
	turn sync.Mutex
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var query struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(adviceDecide + time.Duration(len(query.Workers))*advicePerWorker)
	task, err := workload.ParseTaskID(query.Step + ".0")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	step := workload.StepID{Job: task.Job, Occurrence: task.Occurrence, Step: task.Step}
	good := [][]string{}
	for _, id := range query.Workers {
		good = append(good, []string{id, fleethost.Ticket(id, step)})
	}
	a.d.note("adviser: %s for %d workers: all may run it", query.Step, len(query.Workers))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validityMs": adviceValidity.Milliseconds()})
}

// advice hands in a burst of jobs that need the rack of a full minion, and then a job
// that the idle minions can run. All are of a queue with an adviser.
func advice(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.serve(d.address(2, storePort), &http.Server{Handler: &adviser{d: d}}); err != nil {
		return false, err
	}
	advised := route("costume-match", "/lohu930/", 1)
	advised.UsesAdviser = true
	c := &catalogue.Catalogue{Version: 3, Queues: []catalogue.Queue{advised, route("catalog-render", "/nony24/", 1)}, Organisations: tenants("key-a", "key-b")}
	if err := d.configure(ctx, c); err != nil {
		return false, err
	}
	need := workload.Resources{MilliCores: 26_000, MemoryMB: 110_000, Accelerators: 1}
	whole := workload.Resources{MilliCores: 64_000, MemoryMB: 200_000, Accelerators: 8}
	filler, ordinary := jobID(1), jobID(100)
	d.fleet.SetWork(workload.ID(filler), 0, fleethost.Work{Duration: 500 * time.Millisecond, Need: whole, Lasting: true, Label: "r1-3"})
	d.fleet.SetWork(workload.ID(ordinary), 0, fleethost.Work{Duration: 20 * time.Second, Need: need, Ticketed: true})
	for i := range burstJobs {
		d.fleet.SetWork(workload.ID(jobID(10+i)), 0, fleethost.Work{Duration: 20 * time.Second, Need: need, Ticketed: true, Label: "r1-3"})
	}
	if err := d.start(ctx, 3, []host.Minion{standardMinion("r1-1"), standardMinion("r1-2"), standardMinion("r1-3")}); err != nil {
		return false, err
	}
	d.watchRuns(func(*minion, workload.TaskID) {})
	if err := d.submit(ctx, d.client("/nony24/", "key-b"), filler, `{"spec":"serve","steps":[{"count":1,"cpu":64000,"memMb":200000,"gpu":8,"longRunning":true,"requires":"r1-3","estimateMs":1000}]}`); err != nil {
		return false, err
	}
	if err := group.Pause(ctx, 3*time.Second); err != nil {
		return false, err
	}
	const step = `{"count":1,"cpu":26000,"memMb":110000,"gpu":1,"estimateMs":20000%s}`
	a := d.client("/lohu930/", "key-a")
	if trouble {
		for i := range burstJobs {
			if err := d.submit(ctx, a, jobID(10+i), fmt.Sprintf(`{"spec":"match","steps":[`+step+`]}`, `,"requires":"r1-3"`)); err != nil {
				return false, err
			}
			if err := group.Pause(ctx, burstInterval); err != nil {
				return false, err
			}
		}
	}
	if err := d.submit(ctx, d.client("/lohu930/", "key-b"), ordinary, fmt.Sprintf(`{"spec":"match","steps":[`+step+`]}`, "")); err != nil {
		return false, err
	}
	accepted := time.Now()
	task := workload.TaskID{Job: workload.ID(ordinary)}
	for time.Since(accepted) < adviceWatch && d.fleet.Starts(task) == 0 {
		if err := group.Pause(ctx, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	waited := time.Since(accepted)
	_, answer := d.client("/lohu930/", "key-b").state(ctx, d.entry(0), ordinary)
	d.note("client key-b: GET %s: %s", ordinary, answer)
	for _, m := range d.minions {
		d.note("minion %s (rack %s): %d tasks run", m.id, m.Report().Rack, len(m.Look().Running))
	}
	d.note("%s: %d starts %.1f s after its acceptance", task, d.fleet.Starts(task), waited.Seconds())
	return d.fleet.Starts(task) == 0 && waited > finishTime+idleTime, nil
}
