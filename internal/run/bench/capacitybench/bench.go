// Package capacitybench measures the slopes from which docs/CAPACITY.md works
// out what each role needs at the planned size: the scheduler duty by workers
// and tasks, and requests through all roles by rate. Membership, journal and
// placement have benches of their own.
package capacitybench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Options of a run.
type Options struct {
	Workers        []int         // Workers are the sizes of the data centre.
	TasksPerWorker int           // TasksPerWorker run during the second measurement of each size.
	Rates          []int         // Rates are requests per second.
	Settle         time.Duration // Settle lies before each measurement.
	Window         time.Duration // Window is the length of a measurement.
	Progress       io.Writer
}

// Default returns the options of the command line.
func Default() Options {
	return Options{
		Workers:        []int{20, 60, 180},
		TasksPerWorker: 4,
		Rates:          []int{25, 50, 100},
		Settle:         3 * time.Second,
		Window:         10 * time.Second,
		Progress:       io.Discard,
	}
}

// Result holds the measured points.
type Result struct {
	Scheduler []SchedulerPoint
	Requests  []RequestPoint
	IdleCores float64 // IdleCores is what an idle embedded deployment of 3 entries and 11 agents uses.
}

type schedulerJSON struct {
	Workers        int     `json:"workers"`
	Tasks          int     `json:"tasks"`
	BytesPerSecond float64 `json:"bytes-per-second"`
	Cores          float64 `json:"cores"`
	HeapBytes      int64   `json:"heap-bytes"`
}

type requestJSON struct {
	Idempotent  bool    `json:"idempotent"`
	PerSecond   float64 `json:"per-second"`
	Cores       float64 `json:"cores"`
	Done        int     `json:"done"`
	NotDone     int     `json:"not-done"`
	MeanSeconds float64 `json:"mean-s"`
}

type resultJSON struct {
	Scheduler []schedulerJSON `json:"scheduler"`
	Requests  []requestJSON   `json:"requests"`
	IdleCores float64         `json:"idle-cores"`
}

// JSON encodes the result on one line.
func (r Result) JSON() ([]byte, error) {
	m := resultJSON{IdleCores: r.IdleCores}
	for _, p := range r.Scheduler {
		m.Scheduler = append(m.Scheduler, schedulerJSON(p))
	}
	for _, p := range r.Requests {
		m.Requests = append(m.Requests, requestJSON(p))
	}
	return json.Marshal(m)
}

// Run measures all points.
func Run(ctx context.Context, o Options) (Result, error) {
	var r Result
	for _, workers := range o.Workers {
		points, err := measureScheduler(ctx, o, workers)
		if err != nil {
			return r, err
		}
		r.Scheduler = append(r.Scheduler, points...)
		_, _ = fmt.Fprintf(o.Progress, "scheduler with %d workers measured\n", workers)
	}
	points, idle, err := measureRequests(ctx, o)
	if err != nil {
		return r, err
	}
	r.Requests = points
	r.IdleCores = idle
	return r, nil
}
