package main

import (
	"fmt"
	"net/http"
	"time"
)

const noticeTime = 4500 * time.Millisecond // noticeTime is noticeMs.

// playBudget loses a minion with one of two lasting tasks for good, of which one may
// be missed, and then submits an urgent job that needs the room of the other.
func playBudget(d *deployment, trouble bool) error {
	const (
		serving, urgent = "00000000000000a1", "00000000000000b2"
		minions         = 6
	)
	d.fleet.work["serves"] = work{lasts: true}
	d.fleet.work["urgent"] = work{duration: 3 * time.Second}
	if err := d.run(2, minions); err != nil {
		return err
	}
	lasting := step{Count: 2, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 60000, LongRunning: true, AntiAffinity: 1, MayMiss: 1}
	if status := d.submit(d.fronts[0], "/plain/"+serving, "serves", lasting); status != http.StatusOK {
		return fmt.Errorf("the first job is answered %d", status)
	}
	time.Sleep(4 * time.Second)
	starts := d.fleet.startsOf(serving)
	if len(starts) != 2 {
		return fmt.Errorf("%d tasks of the first job run", len(starts))
	}
	if trouble {
		for _, m := range d.minions {
			if m.id == starts[0].minion {
				m.vanish()
			}
		}
	}
	time.Sleep(noticeTime + 1500*time.Millisecond)
	count := minions - 1
	if status := d.submit(d.fronts[1], "/urgent/"+urgent, "urgent", step{Count: count, CPU: 26000, Memory: 110000, GPU: capacityGPU, EstimateMs: 3000}); status != http.StatusOK {
		return fmt.Errorf("the urgent job is answered %d", status)
	}
	time.Sleep(3 * time.Second)
	stopped := 0
	for _, m := range d.minions {
		if m.wasStopped(serving) {
			stopped++
			d.log.write("check", "the task that lasts on %s was told to stop", m.id)
		}
	}
	switch {
	case trouble && stopped > 0:
		return fmt.Errorf("AVAIL: %w: a stop has ended a task while the other one of its step had been away for more than %s", errBroken, noticeTime)
	case stopped > 1:
		return fmt.Errorf("AVAIL: %w: %d tasks were stopped", errBroken, stopped)
	}
	return nil
}
