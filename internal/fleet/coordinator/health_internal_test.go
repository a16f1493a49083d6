package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// Guards against hosts that get work while they fail every task, and against a
// quarantine of healthy hosts for failures that the jobs cause.
func TestHealth(t *testing.T) {
	type failure struct {
		job     workload.ID
		suspect bool
		after   time.Duration
	}
	const early, late = 300 * time.Millisecond, 5 * time.Second
	for name, tt := range map[string]struct {
		failures    []failure
		succeeded   bool
		onProbation bool
		until       time.Duration
	}{
		"nothing has failed":                 {},
		"a job that fails late":              {failures: []failure{{"a", false, late}}},
		"a job that fails early":             {failures: []failure{{"a", false, early}}, onProbation: true, until: failureCooldown},
		"a job that has failed elsewhere":    {failures: []failure{{"a", true, early}, {"b", true, early}}},
		"one job that fails again and again": {failures: []failure{{"a", false, early}, {"a", false, early}}, onProbation: true, until: failureCooldown},
		"two jobs that fail early":           {failures: []failure{{"a", false, early}, {"b", false, early}}, onProbation: true, until: minQuarantine},
		"three jobs that fail early":         {failures: []failure{{"a", false, early}, {"b", false, early}, {"c", false, early}}, onProbation: true, until: 2 * minQuarantine},
		"two jobs that fail late":            {failures: []failure{{"a", false, late}, {"b", false, late}}, onProbation: true},
		"a job has succeeded since":          {failures: []failure{{"a", false, early}, {"b", false, early}}, succeeded: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var h health
			for _, f := range tt.failures {
				h.recordFailure(f.job, f.suspect, f.after, 0)
			}
			if tt.succeeded {
				h.recordSuccess()
			}
			c.Check(h.onProbation(minProbation-1), qt.Equals, tt.onProbation)
			c.Check(h.onProbation(minProbation), qt.IsFalse)
			c.Check(h.quarantinedUntil, qt.Equals, tt.until)
			c.Check(h.quarantined(tt.until), qt.IsFalse)
		})
	}
}

// Guards against a host that never leaves its probation, because no task can end there,
// and against one that fails everything and leaves it again and again.
func TestProbationEnds(t *testing.T) {
	const early = 300 * time.Millisecond
	for name, tt := range map[string]struct {
		failures []time.Duration
		at       time.Duration
		want     bool
	}{
		"once":                             {[]time.Duration{0}, minProbation, false},
		"again during the probation":       {[]time.Duration{0, minProbation - 1}, 2*minProbation - 2, true},
		"again, over":                      {[]time.Duration{0, minProbation - 1}, 2*minProbation - 1, false},
		"again after it":                   {[]time.Duration{0, minProbation}, 3*minProbation - 1, true},
		"again after it, over":             {[]time.Duration{0, minProbation}, 3 * minProbation, false},
		"each time it has ended":           {[]time.Duration{0, 10 * time.Second, 30 * time.Second, 70 * time.Second, 130*time.Second - 1}, 130 * time.Second, true},
		"bounded":                          {[]time.Duration{0, 10 * time.Second, 30 * time.Second, 70*time.Second + 1}, 70*time.Second + 1 + maxProbation, false},
		"long after the former one":        {[]time.Duration{0, maxProbation}, maxProbation + minProbation, false},
		"long after the former one, first": {[]time.Duration{0, maxProbation}, maxProbation + minProbation - 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			var h health
			for _, at := range tt.failures {
				h.recordFailure("job", false, early, at)
			}
			qt.New(t).Check(h.onProbation(tt.at), qt.Equals, tt.want)
		})
	}
}
