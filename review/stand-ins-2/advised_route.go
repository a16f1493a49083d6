package main

import (
	"fmt"
	"net/http"
	"time"
)

// playAdvisedRoute removes the route of a queue with a placement adviser while a job of
// it works on its first step.
func playAdvisedRoute(d *deployment, trouble bool) error {
	const job = "00000000000000a1"
	d.fleet.work["advised"] = work{duration: 4 * time.Second, advised: true}
	if err := d.run(2, 3); err != nil {
		return err
	}
	first := step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 4000}
	second := first
	second.DependsOn = []int{0}
	if status := d.submit(d.fronts[0], "/advised/"+job, "advised", first, second); status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", status)
	}
	time.Sleep(2 * time.Second)
	if n := len(d.fleet.startsOf(job)); n != 1 {
		return fmt.Errorf("%d tasks of the job run", n)
	}
	if trouble {
		d.publish(8, "")
	}
	time.Sleep(3 * time.Second) // The first step has ended by then.
	before := d.store.writeCount()
	const wait = finishTime + idleTime
	time.Sleep(wait)
	starts := d.fleet.startsOf(job)
	d.fleet.mu.Lock()
	rejected := d.fleet.rejected
	d.fleet.mu.Unlock()
	d.log.write("check", "%d tasks of the job have started, %d starts were rejected, the store got %.0f writing calls a second", len(starts), rejected, float64(d.store.writeCount()-before)/wait.Seconds())
	for _, m := range d.minions {
		cpu, gpu := m.usage()
		d.log.write("check", "%s uses %d of %d thousandths of a core and %d of %d accelerators", m.id, cpu, capacityCPU, gpu, capacityGPU)
	}
	if len(starts) < 2 {
		return fmt.Errorf("LOST: %w: the second step has not started in %s, beside an idle fleet", errBroken, wait)
	}
	return nil
}
