package main

import (
	"fmt"
	"net/http"
	"time"
)

// The bounds of the rule LOST.
const (
	idleTime   = 3 * time.Second // idleTime is how long nothing may run although there is room.
	finishTime = 14 * time.Second
)

// playReservation submits a large gang that needs whole minions, while a task of
// another job lasts on each of them, and then small jobs.
func playReservation(d *deployment, trouble bool) error {
	const (
		serving, large = "00000000000000a1", "00000000000000b2"
		minions        = 3
		small          = 3 // small is how many small jobs come.
	)
	d.fleet.work["serves"] = work{lasts: true}
	d.fleet.work["large"] = work{duration: 8 * time.Second}
	d.fleet.work["small"] = work{duration: 7600 * time.Millisecond}
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
	if trouble {
		gang := step{Count: minions, CPU: 26000, Memory: 110000, GPU: capacityGPU, EstimateMs: 8500, Gang: true}
		if status := d.submit(d.fronts[1], "/plain/"+large, "large", gang); status != http.StatusOK {
			return fmt.Errorf("the large job is answered %d", status)
		}
	}
	time.Sleep(time.Second)
	var jobs []string
	for i := range small {
		job := fmt.Sprintf("00000000000000c%d", i)
		jobs = append(jobs, job)
		if status := d.submit(d.fronts[i%2], "/low/"+job, "small", step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 7600}); status != http.StatusOK {
			return fmt.Errorf("a small job is answered %d", status)
		}
	}
	submitted := time.Now()
	time.Sleep(finishTime + idleTime + 10*time.Second)
	used, waiting := 0, 0
	for _, m := range d.minions {
		cpu, gpu := m.usage()
		d.log.write("check", "%s uses %d of %d thousandths of a core and %d of %d accelerators", m.id, cpu, capacityCPU, gpu, capacityGPU)
		used += gpu
	}
	if 2*used >= minions*capacityGPU {
		return fmt.Errorf("%d accelerators are in use", used)
	}
	for _, job := range jobs {
		starts := d.fleet.startsOf(job)
		d.log.write("check", "%s was accepted %.1f s ago and has had %d runs", job, time.Since(submitted).Seconds(), len(starts))
		if len(starts) == 0 {
			waiting++
		}
	}
	if waiting > 0 {
		return fmt.Errorf("LOST: %w: %d of %d small jobs wait while most of the room is free", errBroken, waiting, small)
	}
	return nil
}
