package placementbench_test

import (
	"context"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/bench/placementbench"
)

// Guards against a policy that breaks a guarantee, splits a gang, puts more on a
// worker than it has, or leaves a job waiting for ever, and against a lower bound
// on completion times that is missing or that a policy falls below.
// PLACEMENT_SEED replays another seed and prints the result.
func TestReplayKeepsThePromises(t *testing.T) {
	c := qt.New(t)
	o := placementbench.Default()
	if seed, err := strconv.ParseUint(os.Getenv("PLACEMENT_SEED"), 10, 64); err == nil {
		o.Seed, o.Output = seed, os.Stdout
	}
	result, err := placementbench.Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	for name, f := range result.Policies {
		c.Check(f.GuaranteeViolations, qt.Equals, 0, qt.Commentf("%s", name))
		c.Check(f.GangsSplit, qt.Equals, 0, qt.Commentf("%s", name))
		c.Check(f.Oversubscribed, qt.Equals, 0, qt.Commentf("%s", name))
		c.Check(f.Unfinished, qt.Equals, 0, qt.Commentf("%s", name))
		for workload, w := range f.Workloads {
			c.Check(w.CompletionP99Least > 0, qt.IsTrue, qt.Commentf("%s", workload))
			c.Check(w.CompletionP99Least <= w.CompletionP99, qt.IsTrue, qt.Commentf("%s, %s", name, workload))
		}
	}
}

// Guards against decisions whose cost grows with the fleet instead of with what
// changed. The bound is ten times the target of 1 ms, because test machines are
// shared. PLACEMENT_SEED prints the result.
func TestDecisionsAtThePlannedSize(t *testing.T) {
	c := qt.New(t)
	o := placementbench.Default()
	if seed, err := strconv.ParseUint(os.Getenv("PLACEMENT_SEED"), 10, 64); err == nil {
		o.Seed, o.Output = seed, os.Stdout
	}
	result, err := placementbench.RunScale(context.Background(), o)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Sizes, qt.HasLen, 3)
	c.Assert(result.Sizes[2].DecisionP99 < 10_000, qt.IsTrue, qt.Commentf("%+v", result.Sizes[2]))
}
