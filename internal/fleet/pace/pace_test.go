package pace_test

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
)

// batch is a step whose tasks run side by side, one on each host in turn.
type batch struct {
	begin       time.Duration
	incarnation string // incarnation of the hosts; empty for the first one.
	hosts       int
	tasks       int
	speed       map[int]float64 // speed holds the hosts that do not work at full speed.
	rates       map[int]float64 // rates replaces the rate that a host reports.
	gang        bool            // gang is set if the tasks are a gang; they are equally long.
}

// unevenness returns by how much the task of a round is longer than the typical one.
func unevenness(round, host int) float64 { return 1 + 0.1*(float64((round+host)%4)-1.5) }

func (b batch) observe(t *pace.Tracker, id int) {
	for i := range b.tasks {
		host := i % b.hosts
		speed, changed := b.speed[host]
		if !changed {
			speed = 1
		}
		rate, replaced := b.rates[host]
		if !replaced {
			rate = speed / 8
			if !b.gang {
				rate /= unevenness(i/b.hosts, host)
			}
		}
		run := pace.Run{Task: workload.TaskID{Job: workload.ID(fmt.Sprint("job-", id)), Index: i}, Number: 1, Gang: b.gang}
		t.Observe(fmt.Sprint("host-", host), cmp.Or(b.incarnation, "first"), run, rate, b.begin)
	}
}

// Replays batches on a fleet whose hosts declare the same capacity and differ in speed.
func TestPaceOfHost(t *testing.T) {
	half := map[int]float64{0: 0.5}
	for name, tt := range map[string]struct {
		batches []batch
		at      time.Duration
		want    pace.Class // want is the class of the first host; all others are typical.
	}{
		"slow host":                       {[]batch{{hosts: 10, tasks: 40, speed: half}}, 0, pace.Slow},
		"fast host":                       {[]batch{{hosts: 10, tasks: 40, speed: map[int]float64{0: 2}}}, 0, pace.Fast},
		"uneven tasks":                    {[]batch{{hosts: 10, tasks: 40}}, 0, pace.Typical},
		"few tasks":                       {[]batch{{hosts: 3, tasks: 3, speed: half}}, 0, pace.Typical},
		"single host":                     {[]batch{{hosts: 1, tasks: 8, speed: half}}, 0, pace.Typical},
		"slower by a quarter, one gang":   {[]batch{{hosts: 10, tasks: 10, speed: map[int]float64{0: 0.8}, gang: true}}, 0, pace.Slow},
		"faster by a quarter, one gang":   {[]batch{{hosts: 10, tasks: 10, speed: map[int]float64{0: 1.25}, gang: true}}, 0, pace.Fast},
		"one odd task among sound ones":   {[]batch{{hosts: 10, tasks: 30}, {hosts: 4, tasks: 4, speed: half}}, 0, pace.Typical},
		"slow for a while":                {[]batch{{hosts: 10, tasks: 30, speed: half}, {begin: 15 * time.Second, hosts: 10, tasks: 40}, {begin: 20 * time.Second, hosts: 10, tasks: 40}}, 20 * time.Second, pace.Typical},
		"remembered between two batches":  {[]batch{{hosts: 10, tasks: 40, speed: half}}, 15 * time.Second, pace.Slow},
		"forgotten without observations":  {[]batch{{hosts: 10, tasks: 40, speed: half}}, time.Minute, pace.Typical},
		"no rate":                         {[]batch{{hosts: 10, tasks: 40, rates: map[int]float64{0: 0}}}, 0, pace.Typical},
		"rate that is no number":          {[]batch{{hosts: 10, tasks: 40, rates: map[int]float64{0: math.NaN()}}}, 0, pace.Typical},
		"endless rate":                    {[]batch{{hosts: 10, tasks: 40, rates: map[int]float64{0: math.Inf(1)}}}, 0, pace.Typical},
		"others beside a slow host again": {[]batch{{hosts: 10, tasks: 40, speed: half}, {hosts: 2, tasks: 8, speed: half}}, 0, pace.Slow},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := pace.NewTracker()
			for i, b := range tt.batches {
				b.observe(tracker, i)
				tracker.Update(b.begin)
			}
			tracker.Update(tt.at)
			for i := range 10 {
				want := pace.Typical
				if i == 0 {
					want = tt.want
				}
				_, class := tracker.Of(fmt.Sprint("host-", i), "first")
				c.Check(class, qt.Equals, want, qt.Commentf("host %d", i))
			}
		})
	}
}

// Guards against a new machine at the address of a former one that counts as slow.
func TestNewIncarnationIsUnknown(t *testing.T) {
	c := qt.New(t)
	tracker := pace.NewTracker()
	batch{hosts: 10, tasks: 40, speed: map[int]float64{0: 0.5}}.observe(tracker, 0)
	changes := tracker.Update(0)
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Host, qt.Equals, "host-0")
	relative, class := tracker.Of("host-0", "second")
	c.Check(relative, qt.Equals, 1.0)
	c.Check(class, qt.Equals, pace.Typical)

	batch{hosts: 10, tasks: 40, incarnation: "second", speed: map[int]float64{0: 2}}.observe(tracker, 1)
	tracker.Update(0)
	_, class = tracker.Of("host-0", "second")
	c.Check(class, qt.Equals, pace.Fast)
}
