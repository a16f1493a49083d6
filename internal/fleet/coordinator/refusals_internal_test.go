package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRefusalDelay(t *testing.T) {
	for name, tt := range map[string]struct {
		refusals int
		urgent   bool
		want     time.Duration
	}{
		"first":            {1, false, 50 * time.Millisecond},
		"first, urgent":    {1, true, 50 * time.Millisecond},
		"third":            {3, false, 200 * time.Millisecond},
		"fourth, urgent":   {4, true, 300 * time.Millisecond},
		"seventh":          {7, false, 2 * time.Second},
		"many":             {1 << 40, false, 2 * time.Second},
		"many, urgent":     {1 << 40, true, 300 * time.Millisecond},
		"none, for safety": {0, false, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, refusalDelay(tt.refusals, tt.urgent), qt.Equals, tt.want)
		})
	}
}
