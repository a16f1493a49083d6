package fanoutbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/readerfleet"
)

// rejoin names the measurement after two regions were parted.
const rejoin = "two regions part and join again"

// FleetOptions are the settings of RunFleet.
type FleetOptions struct {
	Fleets      []NamedLayout
	Faults      []readerfleet.Fault
	Settle      time.Duration   // Settle precedes the first change.
	Pauses      []time.Duration // Pauses precede the changes after a failure.
	Parted      []time.Duration // Parted is how long two regions are parted, one time after another.
	ChangeLimit time.Duration   // ChangeLimit ends the measurement of a change that does not arrive.
	Progress    io.Writer
}

// NamedLayout is a fleet that is measured.
type NamedLayout struct {
	Name   string
	Layout readerfleet.Layout
}

// DefaultFleet measures a region of the planned size and the whole fleet.
func DefaultFleet() FleetOptions {
	return FleetOptions{
		Fleets:      []NamedLayout{{"region", readerfleet.PlannedRegion()}, {"fleet", readerfleet.Planned()}},
		Faults:      slices.Concat(readerfleet.MemberFaults(), readerfleet.ReaderFaults()),
		Settle:      3 * time.Second,
		Pauses:      []time.Duration{0, 10 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second},
		Parted:      []time.Duration{time.Minute, 5 * time.Second, 5500 * time.Millisecond, 6100 * time.Millisecond, 6700 * time.Millisecond},
		ChangeLimit: 20 * time.Second,
		Progress:    io.Discard,
	}
}

// FleetPoint is the result for one fleet and one failure. Times are from the
// append, or from the end of the cut, until the last live member has the change.
type FleetPoint struct {
	Fleet   string
	Members int
	Fault   string
	First   time.Duration // First is the time of the first change after the failure.
	Longest time.Duration
	Cores   float64 // Cores of all members together.
}

// FleetResult has the points in the order in which they were measured.
type FleetResult struct{ Points []FleetPoint }

// RunFleet measures the failures of readers in each fleet, on the real clock.
func RunFleet(ctx context.Context, o FleetOptions) (FleetResult, error) {
	var r FleetResult
	for _, l := range o.Fleets {
		for _, fault := range o.Faults {
			run := func(ctx context.Context, f *readerfleet.Fleet) ([]time.Duration, error) {
				fault.Apply(f)
				return o.changes(ctx, f)
			}
			if err := r.add(ctx, o, l, fault.Name, run); err != nil {
				return r, err
			}
		}
		if err := r.add(ctx, o, l, rejoin, o.rejoins); err != nil {
			return r, err
		}
	}
	return r, nil
}

// add measures one failure in a fleet of its own.
func (r *FleetResult) add(ctx context.Context, o FleetOptions, l NamedLayout, fault string, run func(context.Context, *readerfleet.Fleet) ([]time.Duration, error)) error {
	f := readerfleet.Start(ctx, l.Layout)
	defer f.Stop()
	if err := group.Pause(ctx, o.Settle); err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	if _, err := o.change(ctx, f); err != nil {
		return fmt.Errorf("%s before a failure: %w", l.Name, err)
	}
	begun, processor := time.Now(), usage.ProcessorTime()
	delays, err := run(ctx, f)
	if err != nil {
		return fmt.Errorf("%s, %s: %w", l.Name, fault, err)
	}
	cores := (usage.ProcessorTime() - processor).Seconds() / time.Since(begun).Seconds()
	r.Points = append(r.Points, FleetPoint{l.Name, f.Members(), fault, delays[0], slices.Max(delays), cores})
	_, _ = fmt.Fprintf(o.Progress, "%s, %s: %v\n", l.Name, fault, delays)
	return nil
}

func (o FleetOptions) change(ctx context.Context, f *readerfleet.Fleet) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, o.ChangeLimit)
	defer cancel()
	return f.Measure(ctx)
}

// changes publishes one change after each pause.
func (o FleetOptions) changes(ctx context.Context, f *readerfleet.Fleet) ([]time.Duration, error) {
	var delays []time.Duration
	for _, pause := range o.Pauses {
		if err := group.Pause(ctx, pause); err != nil {
			return nil, fmt.Errorf("pause: %w", err)
		}
		delay, err := o.change(ctx, f)
		if err != nil {
			return nil, err
		}
		delays = append(delays, delay)
	}
	return delays, nil
}

func (o FleetOptions) rejoins(ctx context.Context, f *readerfleet.Fleet) ([]time.Duration, error) {
	var delays []time.Duration
	for _, parted := range o.Parted {
		ctx, cancel := context.WithTimeout(ctx, parted+o.ChangeLimit)
		delay, err := f.MeasureRejoin(ctx, parted)
		cancel()
		if err != nil {
			return nil, err
		}
		delays = append(delays, delay)
	}
	return delays, nil
}

type fleetPointJSON struct {
	Fleet   string  `json:"fleet"`
	Members int     `json:"members"`
	Fault   string  `json:"fault"`
	First   float64 `json:"delay-first-ms"`
	Longest float64 `json:"delay-longest-ms"`
	Cores   float64 `json:"cores"`
}

// JSON encodes the result on one line.
func (r FleetResult) JSON() ([]byte, error) {
	var list []fleetPointJSON
	for _, p := range r.Points {
		list = append(list, fleetPointJSON{p.Fleet, p.Members, p.Fault, millis(p.First), millis(p.Longest), p.Cores})
	}
	return json.Marshal(map[string]any{"points": list})
}
