package source_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/standin/readerfleet"
)

// extraWait is what a failure of readers may add to the time without a tree.
const extraWait = time.Second

// nearCentre and farCentre are a data centre of the planned size in a region with
// the log service and in one without.
var (
	nearCentre = readerfleet.Layout{DataCentres: []int{1}, Members: 443}
	farCentre  = readerfleet.Layout{DataCentres: []int{0, 1}, Members: 443}
)

// fleetTest runs a fleet on the clock of a synctest bubble.
func fleetTest(t *testing.T, l readerfleet.Layout, run func(c *qt.C, f *readerfleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := readerfleet.Start(context.Background(), l)
		defer f.Stop()
		time.Sleep(3 * time.Second)
		c.Assert(measure(c, f) < extraWait/10, qt.IsTrue)
		run(c, f)
		c.Assert(f.Reverted(), qt.IsFalse)
	})
}

// measure returns the time until all live members have a new configuration.
func measure(c *qt.C, f *readerfleet.Fleet) time.Duration {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), inForce)
	defer cancel()
	took, err := f.Measure(ctx)
	c.Assert(err, qt.IsNil)
	c.Logf("in force after %s", took)
	return took
}

// Guards against a configuration that comes late because members that pass
// records on die, freeze or fall behind, at any level of the tree or at all of
// them at once. Later configurations must not be late either.
func TestTreeOfReadersUnderFailures(t *testing.T) {
	faults := map[string]func(*readerfleet.Process){
		"dies":    (*readerfleet.Process).Die,
		"freezes": (*readerfleet.Process).Freeze,
		"lags":    (*readerfleet.Process).Lag,
	}
	pauses := []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 11 * time.Second, 0}
	levels := map[string][]int{"root": {0}, "level 1": {1}, "level 2": {2}, "all levels": {0, 1, 2}}
	for fault, fail := range faults {
		for level, list := range levels {
			t.Run(level+" "+fault, func(t *testing.T) {
				fleetTest(t, nearCentre, func(c *qt.C, f *readerfleet.Fleet) {
					path := f.Path()
					for _, l := range list {
						fail(path[l])
					}
					for _, pause := range pauses {
						took := measure(c, f)
						c.Assert(took < extraWait, qt.IsTrue, qt.Commentf("%s", took))
						time.Sleep(pause)
					}
				})
			})
		}
	}
}

// Guards against a tree that holds up a configuration for longer than the
// promised time when both roots freeze at once, and against a region that waits
// for the member that reads the log for it. Reads of the first root reach their
// deadline after 3 s; readers that then wait for a second parent without news
// must turn to the new root as soon as it is known.
func TestRootsFreeze(t *testing.T) {
	const early, late = 2 * time.Second, 3100 * time.Millisecond
	tests := map[string]struct {
		layout    readerfleet.Layout
		frozen    int
		suspected time.Duration
	}{
		"both roots":                 {nearCentre, 2, early},
		"both roots, suspected late": {nearCentre, 2, late},
		"reader of a far region":     {farCentre, 1, early},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleetTest(t, tt.layout, func(c *qt.C, f *readerfleet.Fleet) {
				frozen := f.Roots()[:tt.frozen]
				for _, p := range frozen {
					p.Freeze()
				}
				f.Suspect(tt.suspected, frozen...)
				// Reads of a frozen parent must end when it is suspect.
				c.Assert(measure(c, f) < tt.suspected+extraWait/2, qt.IsTrue)
				time.Sleep(tt.suspected)
				for range 3 {
					c.Assert(measure(c, f) < extraWait, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a configuration that comes late in a region of several data
// centres because one member of each level fails, and against a reader of the
// region that answers without reading the log and passes for the end of the log.
func TestRegionUnderFailuresOfMembers(t *testing.T) {
	testRegion(t, readerfleet.MemberFaults())
}

// Guards against a region that waits for readers of the log or of a data centre,
// and against a lost data centre that costs a deadline for each reader in it.
func TestRegionUnderFailuresOfReaders(t *testing.T) {
	testRegion(t, readerfleet.ReaderFaults())
}

func testRegion(t *testing.T, faults []readerfleet.Fault) {
	for _, fault := range faults {
		t.Run(fault.Name, func(t *testing.T) {
			fleetTest(t, readerfleet.PlannedRegion(), func(c *qt.C, f *readerfleet.Fleet) {
				fault.Apply(f)
				for _, pause := range []time.Duration{0, 10 * time.Millisecond, 3 * time.Second} {
					time.Sleep(pause)
					c.Assert(measure(c, f) < inForce, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against a region that stays behind, or goes back, after it was parted
// from the log. The second reader of the region tries the log every 2 s while it
// is silent, so the lengths of the cut are at different times of its turn.
func TestRegionRejoins(t *testing.T) {
	fleetTest(t, readerfleet.Layout{DataCentres: []int{1, 2}, Members: 443}, func(c *qt.C, f *readerfleet.Fleet) {
		for _, parted := range []time.Duration{time.Minute, 5 * time.Second, 5500 * time.Millisecond, 6100 * time.Millisecond, 6700 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(context.Background(), parted+inForce)
			took, err := f.MeasureRejoin(ctx, parted)
			cancel()
			c.Assert(err, qt.IsNil)
			c.Logf("in force %s after the end of a cut of %s", took, parted)
			c.Assert(took < inForce, qt.IsTrue)
		}
	})
}

// Guards against a fleet of the planned size in which the levels of the trees and
// the latencies between regions add up to more than the promised time.
func TestFleetOfThePlannedSize(t *testing.T) {
	fleetTest(t, readerfleet.Planned(), func(c *qt.C, f *readerfleet.Fleet) {
		c.Assert(measure(c, f) < inForce, qt.IsTrue)
	})
}
