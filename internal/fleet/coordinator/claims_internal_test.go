package coordinator

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Replays a burst in which a job within a guarantee arrives while work is being stopped
// for an urgent job, as on trouble-1 of kowhai-ledger-grown: the urgent job with half a
// second of slack lost its hosts to one with six seconds, and started 1.6 s later.
func TestReleasedRoomStaysWithItsClaim(t *testing.T) {
	const at = 10 * time.Second
	keys := make(map[string]stepKey)
	for _, name := range []string{"guaranteed", "first", "second", "urgent"} {
		keys[name] = stepKey{&jobState{job: workload.Job{ID: workload.ID(name)}}, 0}
	}
	for name, tt := range map[string]struct {
		firstAge, waited time.Duration // firstAge is the age of the first claim, waited that of the guaranteed step.
		want             []string
	}{
		"claims first":                {300 * time.Millisecond, 100 * time.Millisecond, []string{"first", "second", "guaranteed", "urgent"}},
		"a guarantee that has waited": {300 * time.Millisecond, 700 * time.Millisecond, []string{"guaranteed", "first", "second", "urgent"}},
		"a claim that has timed out":  {1600 * time.Millisecond, 100 * time.Millisecond, []string{"second", "guaranteed", "first", "urgent"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := make(claims)
			c.add(keys["first"], at-tt.firstAge)
			c.add(keys["first"], at) // A further preemption doesn't renew the claim.
			c.add(keys["second"], at-200*time.Millisecond)
			got := []string{"guaranteed", "first", "second", "urgent"} // By rank and latest start.
			slices.SortStableFunc(got, func(a, b string) int {
				of := func(name string) precedence {
					if name == "guaranteed" {
						return c.precedenceOf(keys[name], allocation.Guaranteed, tt.waited, at)
					}
					return c.precedenceOf(keys[name], allocation.Urgent, tt.waited, at)
				}
				return of(a).compare(of(b))
			})
			qt.New(t).Check(got, qt.DeepEquals, tt.want)
			c.keep([]waitingStep{{job: keys["second"].job}})
			qt.New(t).Check(c, qt.HasLen, 1)
		})
	}
}
