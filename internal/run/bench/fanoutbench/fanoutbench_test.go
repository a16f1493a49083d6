package fanoutbench_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/bench/fanoutbench"
	"wasabihoist/internal/standin/readerfleet"
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

// Guards against a measurement of a fleet that leaves failures out, or does not
// wait until the change has crossed the region link.
func TestFleetIsMeasured(t *testing.T) {
	c := qt.New(t)
	o := fanoutbench.DefaultFleet()
	o.Fleets = []fanoutbench.NamedLayout{{Name: "small", Layout: readerfleet.Layout{DataCentres: []int{1, 2}, Members: 20}}}
	o.Faults = readerfleet.MemberFaults()[:2]
	o.Settle, o.Pauses, o.Parted = 200*time.Millisecond, []time.Duration{0}, []time.Duration{100 * time.Millisecond}
	r, err := fanoutbench.RunFleet(context.Background(), o)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Points, qt.HasLen, len(o.Faults)+1)
	const regionLatency = 8 * time.Millisecond
	for _, p := range r.Points {
		c.Assert(p.First > regionLatency && p.Members == 60, qt.IsTrue, qt.Commentf("%+v", p))
	}
}
