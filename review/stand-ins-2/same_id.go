package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSameID lets a second tenant choose the ID of a job of the first one. Then an
// entry is killed and started again.
func playSameID(d *deployment, trouble bool) error {
	const job = "00000000000000a1"
	d.fleet.work["of the first"] = work{duration: 20 * time.Second}
	d.fleet.work["of the second"] = work{duration: 2 * time.Second}
	if err := d.run(2, 3); err != nil {
		return err
	}
	one := step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 20000}
	if status := d.submit(d.fronts[0], "/plain/"+job, "of the first", one); status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", status)
	}
	time.Sleep(2 * time.Second)
	d.callAs(otherKey, http.MethodPost, d.fronts[1], "/plain/"+job, map[string]any{"spec": "of the second", "steps": []step{one}}, deadline)
	time.Sleep(time.Second)
	if trouble {
		if err := d.kill("front-2", "hosted-entry"); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second) // The entry is in touch 3 s after its start.
	for i, front := range d.fronts {
		status, _ := d.call(http.MethodGet, front, "/plain/"+job, nil, deadline)
		d.callAs(otherKey, http.MethodGet, front, "/plain/"+job, nil, deadline)
		if status == http.StatusGone {
			return fmt.Errorf("LOST: %w: entry %d answers 410 for an accepted job that nobody has cancelled", errBroken, i+1)
		}
	}
	return nil
}
