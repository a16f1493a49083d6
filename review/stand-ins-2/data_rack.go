package main

import (
	"fmt"
	"net/http"
	"time"
)

// playDataRack fills the rack with the data of a lasting job before that comes.
func playDataRack(d *deployment, trouble bool) error {
	const (
		filling, serving = "00000000000000a1", "00000000000000b2"
		minions          = 3
	)
	d.fleet.work["fills"] = work{lasts: true}
	d.fleet.work["serves"] = work{lasts: true}
	if err := d.run(2, minions); err != nil {
		return err
	}
	rack := d.minions[0].rack
	lasting := step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 60000, LongRunning: true, Affinity: rack}
	if trouble {
		large := lasting
		large.Count = capacityGPU / taskGPU
		if status := d.submit(d.fronts[0], "/plain/"+filling, "fills", large); status != http.StatusOK {
			return fmt.Errorf("the large job is answered %d", status)
		}
	}
	time.Sleep(3 * time.Second)
	if status := d.submit(d.fronts[1], "/plain/"+serving, "serves", lasting); status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", status)
	}
	submitted := time.Now()
	time.Sleep(finishTime + idleTime + 30*time.Second)
	used := 0
	for _, m := range d.minions {
		cpu, gpu := m.usage()
		d.log.write("check", "%s in rack %s uses %d of %d thousandths of a core and %d of %d accelerators", m.id, m.rack, cpu, capacityCPU, gpu, capacityGPU)
		used += gpu
	}
	if 2*used >= minions*capacityGPU {
		return fmt.Errorf("%d accelerators are in use", used)
	}
	starts := d.fleet.startsOf(serving)
	d.log.write("check", "%s was accepted %.1f s ago and has had %d runs", serving, time.Since(submitted).Seconds(), len(starts))
	if len(starts) == 0 {
		return fmt.Errorf("LOST: %w: a lasting job waits while two of three racks are free", errBroken)
	}
	return nil
}
