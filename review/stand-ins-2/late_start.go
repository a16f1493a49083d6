package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLateStart leaves the first start of a task without an answer. It is carried out
// 8 s later, when the task is done and its minion has crashed and started again.
func playLateStart(d *deployment, trouble bool) error {
	const job = "00000000000000a1"
	d.fleet.work["once"] = work{duration: 2500 * time.Millisecond}
	if err := d.run(2, 6); err != nil {
		return err
	}
	time.Sleep(12 * time.Second) // The clock of the first life is ahead of that of the second one.
	if trouble {
		d.fleet.mu.Lock()
		d.fleet.late = 8 * time.Second
		d.fleet.mu.Unlock()
	}
	one := step{Count: 1, CPU: taskCPU, Memory: 16000, GPU: taskGPU, EstimateMs: 2500}
	if status := d.submit(d.fronts[0], "/urgent/"+job, "once", one); status != http.StatusOK {
		return fmt.Errorf("the job is answered %d", status)
	}
	sent := time.Now()
	time.Sleep(5 * time.Second)
	if _, body := d.call(http.MethodGet, d.fronts[0], "/urgent/"+job, nil, deadline); body != `{"state":"done"}` {
		return fmt.Errorf("the job is %s", body)
	}
	if trouble {
		time.Sleep(time.Until(sent.Add(5500 * time.Millisecond)))
		for _, m := range d.minions {
			if m.id != d.fleet.startsOf(job)[0].minion {
				continue
			}
			if err := m.restart(2 * time.Second); err != nil {
				return err
			}
		}
	}
	time.Sleep(7 * time.Second)
	if n := len(d.fleet.startsOf(job)); n != 1 {
		return fmt.Errorf("TWICE: %w: the task was started %d times, once after it had ended done", errBroken, n)
	}
	return nil
}
