package fanoutbench_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/bench/fanoutbench"
)

// Guards against a tree whose root or inner members send more than to eight
// readers, and against a measurement that misses bytes. The rate of one reader
// is 29 times that of its readers with 30 members.
func TestTreeBoundsTheBytesOfTheRoot(t *testing.T) {
	c := qt.New(t)
	o := fanoutbench.Default()
	o.Sizes, o.Idle, o.Changes, o.Interval = []int{30}, 100*time.Millisecond, 3, 400*time.Millisecond
	r, err := fanoutbench.Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	reader, tree := r.Points[0].Costs, r.Points[1].Costs
	const ownAndReaders = 10.5 // The member's own read, eight readers, and the exchanges of the second tree.
	c.Assert(reader["root"].PerChange > 25*reader["leaf"].PerChange, qt.IsTrue)
	c.Assert(tree["root"].PerChange < ownAndReaders*reader["leaf"].PerChange, qt.IsTrue)
	c.Assert(tree["inner"].PerChange < ownAndReaders*reader["leaf"].PerChange, qt.IsTrue)
}
