package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Guards against long runs that count as stalled between two percentages.
func TestStallTimeoutGrowsWithTheEstimate(t *testing.T) {
	for name, tt := range map[string]struct{ estimate, want time.Duration }{
		"no estimate": {0, minStallTimeout},
		"short":       {10 * time.Second, minStallTimeout},
		"an hour":     {time.Hour, 12 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(stallTimeout(tt.estimate), qt.Equals, tt.want)
		})
	}
}

// Guards against an order of service in which late occurrences delay those that
// can still be in time, or worthless ones delay any other.
func TestLatestStart(t *testing.T) {
	submitted := time.Unix(1000, 0)
	job := workload.Job{
		Submitted: submitted, Stretch: 2, Objective: time.Second,
		Steps: []workload.Step{{Count: 1, Estimate: 2 * time.Second}},
	} // due after 5 s, worthless after 15 s
	for name, tt := range map[string]struct {
		at, need time.Duration
		want     time.Duration
	}{
		"in time":             {0, 2 * time.Second, 3 * time.Second},
		"just in time":        {3 * time.Second, 2 * time.Second, 3 * time.Second},
		"late":                {4 * time.Second, 2 * time.Second, 13 * time.Second},
		"little is left":      {4 * time.Second, time.Second, 4 * time.Second},
		"worthless":           {14 * time.Second, 2 * time.Second, 15*time.Second + worthlessDelay},
		"too long to be late": {0, 20 * time.Second, 15*time.Second + worthlessDelay},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := latestStart(job, 0, tt.need, submitted.Add(tt.at))
			c.Check(got.Sub(submitted), qt.Equals, tt.want)
		})
	}
}

// Guards against preempting urgent work for other urgent work when ordinary
// work could make room in time.
func TestLatenessCost(t *testing.T) {
	submitted := time.Unix(1000, 0)
	job := workload.Job{
		Submitted: submitted, Stretch: 2, Objective: time.Second,
		Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCores: 3000}, Estimate: 2 * time.Second}},
	} // due after 5 s, of 6 core seconds
	for name, tt := range map[string]struct {
		rank                   allocation.Rank
		at, remaining, restart time.Duration
		want                   float64
	}{
		"in time all the same": {allocation.Urgent, time.Second, time.Second, 2 * time.Second, 0},
		"late all the same":    {allocation.Urgent, 4 * time.Second, 2 * time.Second, 3 * time.Second, 0},
		"urgent":               {allocation.Urgent, 4 * time.Second, time.Second, 2 * time.Second, 18},
		"ordinary":             {allocation.Ordinary, 4 * time.Second, time.Second, 2 * time.Second, 6},
		"low":                  {allocation.Ordinary + 1, 4 * time.Second, time.Second, 2 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(latenessCost(job, 0, tt.rank, submitted.Add(tt.at), tt.remaining, tt.restart), qt.Equals, tt.want)
		})
	}
}
