package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// clientLeaves is after how long the client of a shade check leaves: half of its aim.
	clientLeaves = 200 * time.Millisecond
	// lateWrite is how late the store does a write that it does not answer, 1 to 6 s.
	lateWrite  = 5500 * time.Millisecond
	cancelTime = 3 * time.Second // cancelTime is cancel_ms.
)

// playLateAccept loses the answer to the write of one job, which is done late. The
// client leaves before its deadline and cancels the job.
func playLateAccept(d *deployment, trouble bool) error {
	const job, former = "00000000000000d4", "00000000000000e5"
	d.fleet.work["check"] = work{duration: 4 * time.Second}
	if err := d.run(2, 3); err != nil {
		return err
	}
	one := step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 4000}
	if status := d.submit(d.fronts[0], "/urgent/"+former, "check", one); status != http.StatusOK {
		return fmt.Errorf("the first job is answered %d", status)
	}
	time.Sleep(5 * time.Second)
	if n := len(d.fleet.startsOf(former)); n != 1 {
		return fmt.Errorf("the first job has had %d runs", n)
	}
	within := deadline
	if trouble {
		within = clientLeaves
		d.store.mu.Lock()
		d.store.lose = func(_ string, keys []string) (bool, time.Duration) {
			return slices.Contains(keys, "job/"+job), lateWrite
		}
		d.store.mu.Unlock()
	}
	status, _ := d.call(http.MethodPost, d.fronts[0], "/urgent/"+job, map[string]any{"spec": "check", "steps": []step{one}}, within)
	if !trouble && status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", status)
	}
	d.store.mu.Lock()
	d.store.lose = nil
	d.store.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	status, _ = d.call(http.MethodDelete, d.fronts[1], "/urgent/"+job, nil, deadline)
	if status != http.StatusOK && status != http.StatusGone {
		return fmt.Errorf("the cancellation is answered %d", status)
	}
	acknowledged := time.Now()
	time.Sleep(lateWrite + 6*time.Second)
	d.call(http.MethodGet, d.fronts[0], "/urgent/"+job, nil, deadline)
	for _, s := range d.fleet.startsOf(job) {
		after := s.at.Sub(acknowledged)
		d.log.write("check", "run %d of %s has started on %s %.1f s after the acknowledgement of the cancelling", s.number, s.task, s.minion, after.Seconds())
		if after > cancelTime {
			return fmt.Errorf("UNASKED: %w: a task started %.1f s after the job's cancelling was acknowledged", errBroken, after.Seconds())
		}
	}
	return nil
}
