// Package fanoutbench measures what it costs the members of a data centre to
// pass on the records of the log, over loopback with HTTP: through one reader,
// and through the tree of readers. It also measures how long a change takes in a
// region and in the whole fleet, over an in-memory network, when readers fail.
package fanoutbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/run/bench/journalbench"
	"wasabihoist/internal/run/bench/usage"
)

// plannedChanges of the configuration in a second: 14,000 a day.
const plannedChanges = 14_000.0 / 86_400

// Options are the settings of Run.
type Options struct {
	Sizes         []int         // Sizes of the data centre, in members.
	Organisations int           // Organisations in the configuration that is published.
	Idle          time.Duration // Idle is measured without any change.
	Changes       int           // Changes are published one after another.
	Interval      time.Duration // Interval lies between two changes.
	Progress      io.Writer
}

// Default measures three sizes up to the planned one.
func Default() Options {
	return Options{
		Sizes: []int{50, 150, 443}, Organisations: 240, Idle: 8 * time.Second, Changes: 8,
		Interval: time.Second, Progress: io.Discard,
	}
}

// Cost of one member, in bytes sent and received with HTTP headers, without TCP
// and IP.
type Cost struct {
	Members   int     // Members of this kind; the cost is their mean.
	Idle      float64 // Idle is bytes a second without changes.
	PerChange float64 // PerChange is bytes for one change of the configuration.
	Largest   float64 // Largest is the highest planned rate of one such member, bytes a second.
}

// Planned is bytes a second at the planned number of changes.
func (c Cost) Planned() float64 { return c.Idle + plannedChanges*c.PerChange }

// Point is the result for one size and one way.
type Point struct {
	Way     string // Way is "reader" or "tree".
	Members int
	Costs   map[string]Cost // Costs by kind of member.
	Median  time.Duration   // Median time from the append until the last member has the change.
	Longest time.Duration
	Cores   float64 // Cores of all members together while changes are published.
}

// Result has the points in the order in which they were measured.
type Result struct{ Points []Point }

// Run measures all sizes both ways.
func Run(ctx context.Context, o Options) (Result, error) {
	var r Result
	for _, size := range o.Sizes {
		for _, w := range []way{readerWay, treeWay} {
			p, err := measure(ctx, o, size, w)
			if err != nil {
				return r, fmt.Errorf("%s with %d members: %w", w, size, err)
			}
			_, _ = fmt.Fprintf(o.Progress, "%s with %d members measured\n", w, size)
			r.Points = append(r.Points, p)
		}
	}
	return r, nil
}

func measure(ctx context.Context, o Options, size int, w way) (Point, error) {
	s, err := start(ctx, size, w)
	if err != nil {
		return Point{}, err
	}
	defer s.stop()
	record := configuration(o.Organisations)
	// The first change opens the connections.
	if _, err := s.publish(ctx, record); err != nil {
		return Point{}, err
	}
	if err := group.Pause(ctx, o.Interval); err != nil {
		return Point{}, err
	}
	before := s.bytes()
	if err := group.Pause(ctx, o.Idle); err != nil {
		return Point{}, err
	}
	idle, begun, processor := s.bytes(), time.Now(), usage.ProcessorTime()
	var delays []time.Duration
	for range o.Changes {
		delay, err := s.publish(ctx, record)
		if err != nil {
			return Point{}, err
		}
		delays = append(delays, delay)
		if err := group.Pause(ctx, o.Interval-delay); err != nil {
			return Point{}, err
		}
	}
	took := time.Since(begun)
	p := Point{
		Way: string(w), Members: size, Costs: map[string]Cost{}, Median: median(delays), Longest: slices.Max(delays),
		Cores: (usage.ProcessorTime() - processor).Seconds() / took.Seconds(),
	}
	after := s.bytes()
	for i, m := range s.members {
		rate := float64(idle[i]-before[i]) / o.Idle.Seconds()
		change := (float64(after[i]-idle[i]) - rate*took.Seconds()) / float64(o.Changes)
		p.Costs[m.kind] = p.Costs[m.kind].with(rate, change)
	}
	return p, nil
}

// configuration has organisations with random names of the usual length, because
// numbered names would compress better than real ones.
func configuration(organisations int) journal.ConfigurationPublished {
	record := journalbench.Configuration(organisations)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range record.Organisations {
		name := []byte(record.Organisations[i].Name)
		for n := range name {
			name[n] = 'a' + byte(random.IntN('z'-'a'+1))
		}
		record.Organisations[i].Name = string(name)
	}
	return record
}

// with adds a member to the mean.
func (c Cost) with(idle, change float64) Cost {
	n := float64(c.Members)
	one := Cost{Idle: idle, PerChange: change}
	return Cost{
		Members:   c.Members + 1,
		Idle:      (c.Idle*n + idle) / (n + 1),
		PerChange: (c.PerChange*n + change) / (n + 1),
		Largest:   max(c.Largest, one.Planned()),
	}
}

func median(list []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

type costJSON struct {
	Members   int     `json:"members"`
	Idle      float64 `json:"idle-bytes-per-second"`
	PerChange float64 `json:"bytes-per-change"`
	Planned   float64 `json:"planned-bytes-per-second"`
	Largest   float64 `json:"planned-largest-bytes-per-second"`
}

type pointJSON struct {
	Way     string              `json:"way"`
	Members int                 `json:"members"`
	Costs   map[string]costJSON `json:"costs"`
	Median  float64             `json:"delay-median-ms"`
	Longest float64             `json:"delay-longest-ms"`
	Cores   float64             `json:"cores"`
}

// JSON encodes the result on one line.
func (r Result) JSON() ([]byte, error) {
	var list []pointJSON
	for _, p := range r.Points {
		costs := map[string]costJSON{}
		for kind, c := range p.Costs {
			costs[kind] = costJSON{c.Members, c.Idle, c.PerChange, c.Planned(), c.Largest}
		}
		list = append(list, pointJSON{p.Way, p.Members, costs, millis(p.Median), millis(p.Longest), p.Cores})
	}
	return json.Marshal(map[string]any{"points": list})
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
