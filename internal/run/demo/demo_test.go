package demo_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/demo"
	"wasabihoist/internal/run/deployment"
)

// Guards against a promise that breaks when all roles work together, and
// against a report that leaves out a kind of work. The work is shorter than on
// the command line, and the limits are wide, because other tests run beside it.
func TestPromisesHold(t *testing.T) {
	tests := map[string]struct {
		deployment deployment.Deployment
		kinds      []string
	}{
		"magnolia":   {deployment.Magnolia(), []string{"costume-match", "shade-check", "render-hold", "catalog-render"}},
		"folha-viva": {deployment.FolhaViva(), []string{"photo-check", "moth-check", "pay-tally", "leaf-sort"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			o := demo.Default(tt.deployment)
			o.Length = 6 * time.Second
			o.Limit = 2 * time.Minute
			o.Ready = 40 * time.Second
			var out bytes.Buffer
			err := demo.Run(context.Background(), o, &out)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", out.String()))
			for _, kind := range tt.kinds {
				c.Check(out.String(), qt.Contains, kind)
			}
		})
	}
}
