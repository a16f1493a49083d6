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
			c.Check(h.onProbation(), qt.Equals, tt.onProbation)
			c.Check(h.quarantinedUntil, qt.Equals, tt.until)
			c.Check(h.quarantined(tt.until), qt.IsFalse)
		})
	}
}
