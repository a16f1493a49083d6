package placementbench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
)

// equal returns jobs with one member that arrive at one time.
func equal(count, accelerators int, at, runTime time.Duration) []arrival {
	var list []arrival
	for range count {
		shape := organisation.Shape{Members: 1, Accelerators: accelerators}
		list = append(list, arrival{job: job.Job{Shape: shape, Submitted: epoch.Add(at)}, runTime: runTime})
	}
	return list
}

// Guards against a bound that is above what a policy can reach, or that says
// less than the run times and the capacity do. The start takes a second, and
// completion times are cut to whole seconds.
func TestLeastP99(t *testing.T) {
	cancelled := equal(50, 1, 0, 100*time.Second)
	for i := range cancelled {
		cancelled[i].cancelAt = epoch
	}
	tests := map[string]struct {
		demands []demand
		want    float64
	}{
		"no jobs":                        {want: 0},
		"room for all":                   {[]demand{{equal(100, 1, 0, 100*time.Second), 100}}, 100},
		"one in a hundred may be late":   {[]demand{{append(equal(99, 1, 0, 10*time.Second), equal(1, 1, 0, time.Hour)...), 100}}, 10},
		"two in a hundred may not":       {[]demand{{append(equal(98, 1, 0, 10*time.Second), equal(2, 1, 0, time.Hour)...), 100}}, 3600},
		"backlog without one job":        {[]demand{{equal(100, 1, 0, 100*time.Second), 10}}, 989},
		"the largest makes room":         {[]demand{{append(equal(99, 1, 0, 100*time.Second), equal(1, 10, 0, 100*time.Second)...), 10}}, 989},
		"two bursts after each other":    {[]demand{{append(equal(100, 1, 0, 100*time.Second), equal(100, 1, 2*time.Hour, 100*time.Second)...), 10}}, 989},
		"two bursts at almost one time":  {[]demand{{append(equal(100, 1, 0, 100*time.Second), equal(100, 1, time.Second, 100*time.Second)...), 10}}, 1978},
		"two fleets share the late jobs": {[]demand{{equal(50, 1, 0, 100*time.Second), 5}, {equal(50, 1, 0, 100*time.Second), 5}}, 999},
		"cancelled jobs cost nothing":    {[]demand{{append(cancelled, equal(50, 1, 0, 10*time.Second)...), 50}}, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, leastP99(tt.demands), qt.Equals, tt.want) })
	}
}
