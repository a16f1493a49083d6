package host_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
)

// Guards against a minion whose leases are never renewed, because its id
// contains the separator of incarnations.
func TestIncarnationOfIDWithSeparator(t *testing.T) {
	start := time.UnixMilli(1_764_920_000_000)
	for name, id := range map[string]string{"plain": "i-7f3a", "with a separator": "i@7f3a", "ends in a separator": "i-7f3a@", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			incarnation := host.Minion{ID: id, StartedAt: start}.Incarnation()
			c.Check(host.IncarnationStartedAt(incarnation, start), qt.IsTrue)
			c.Check(host.IncarnationStartedAt(incarnation, start.Add(time.Second)), qt.IsFalse)
			c.Check(host.IncarnationID(incarnation), qt.Equals, id)
		})
	}
}
