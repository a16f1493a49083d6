package main

import (
	"fmt"
	"net/http"
	"time"
)

// The bounds of the rule LOST.
const (
	lastingGrace = 6 * time.Second // lastingGrace is the time after the last run of a task that lasts.
	idleTime     = 3 * time.Second // idleTime is how long nothing may run although there is room.
	finishTime   = 14 * time.Second
)

// playProbation lets the first runs of a task that lasts fail soon after their start,
// one on each minion. A task of another job lasts on each of them.
func playProbation(d *deployment, trouble bool) error {
	const (
		serving, restarted, batch, urgent = "00000000000000a1", "00000000000000b2", "00000000000000c3", "00000000000000d4"
		minions                           = 3
	)
	failures := 0
	if trouble {
		failures = minions
	}
	d.fleet.work["serves"] = work{lasts: true}
	d.fleet.work["fails at first"] = work{lasts: true, fails: failures, duration: 500 * time.Millisecond}
	d.fleet.work["batch"] = work{duration: 2 * time.Second}
	if err := d.run(2, minions); err != nil {
		return err
	}
	lasting := step{Count: minions, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 60000, LongRunning: true, AntiAffinity: 1}
	if status := d.submit(d.fronts[0], "/plain/"+serving, "serves", lasting); status != http.StatusOK {
		return fmt.Errorf("the first job is answered %d", status)
	}
	time.Sleep(4 * time.Second)
	if n := len(d.fleet.startsOf(serving)); n != minions {
		return fmt.Errorf("%d tasks of the first job run", n)
	}
	one := lasting
	one.Count, one.AntiAffinity = 1, 0
	if status := d.submit(d.fronts[1], "/plain/"+restarted, "fails at first", one); status != http.StatusOK {
		return fmt.Errorf("the second job is answered %d", status)
	}
	time.Sleep(8 * time.Second)
	for path, front := range map[string]string{"/plain/" + batch: d.fronts[0], "/urgent/" + urgent: d.fronts[1]} {
		if status := d.submit(front, path, "batch", step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 2000}); status != http.StatusOK {
			return fmt.Errorf("%s is answered %d", path, status)
		}
	}
	submitted := time.Now()
	time.Sleep(finishTime + idleTime + 10*time.Second)
	used := 0
	for _, m := range d.minions {
		cpu, gpu := m.usage()
		d.log.write("check", "%s uses %d of %d thousandths of a core and %d of %d accelerators", m.id, cpu, capacityCPU, gpu, capacityGPU)
		used += gpu
	}
	if 2*used >= minions*capacityGPU {
		return fmt.Errorf("%d accelerators are in use", used)
	}
	runs := d.fleet.startsOf(restarted)
	if len(runs) < 1 {
		return fmt.Errorf("the second job has not started")
	}
	last := runs[len(runs)-1]
	runsNow := false
	for _, m := range d.minions {
		runsNow = runsNow || m.isRunning(last.task)
	}
	d.log.write("check", "%s has had %d runs, the last began %.1f s ago; it runs now: %t", last.task, len(runs), time.Since(last.at).Seconds(), runsNow)
	waiting := 0
	for _, job := range []string{batch, urgent} {
		started := d.fleet.startsOf(job)
		d.log.write("check", "%s was accepted %.1f s ago and has had %d runs", job, time.Since(submitted).Seconds(), len(started))
		if len(started) == 0 {
			waiting++
		}
	}
	if !runsNow && time.Since(last.at) > lastingGrace+idleTime+time.Second || waiting > 0 {
		return fmt.Errorf("LOST: %w: work waits while most of the room is free", errBroken)
	}
	return nil
}
