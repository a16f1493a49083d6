// Package placementbench replays recorded workloads through the placement
// policies over a plain model of the fleet, and measures the planner at the
// planned size. It replays decisions; it does not simulate a cluster.
package placementbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/run/bench/usage"
)

// Options are the settings of Run and RunScale.
type Options struct {
	Seed    uint64
	Output  io.Writer         // Output gets the result as JSON on one line; nil for none.
	Planner placement.Options // Planner are the settings of the planners.
}

// Default returns the options used by the command line.
func Default() Options { return Options{Seed: 1, Planner: placement.Default()} }

// Result is the outcome of all workloads for each policy.
type Result struct {
	Policies map[string]Figures `json:"policies"`
}

// Figures are what one policy has measured over all workloads.
type Figures struct {
	CompletionP50       float64            `json:"completion-p50-s"`
	CompletionP99       float64            `json:"completion-p99-s"`
	CompletionP99Least  float64            `json:"completion-p99-least-s"` // CompletionP99Least is a lower bound for any policy on the same capacity.
	RunTimeP99          float64            `json:"run-time-p99-s"`
	DeadlineP99         float64            `json:"deadline-p99-s"`
	LateShare           float64            `json:"late-share"`
	Fragmentation       float64            `json:"fragmentation"`
	FragmentationLeast  float64            `json:"fragmentation-least"` // FragmentationLeast is what racks of their size leave at best.
	GuaranteeViolations int                `json:"guarantee-violations"`
	GangsSplit          int                `json:"gangs-split"`
	DecisionMicros      float64            `json:"decision-us"`
	DecisionP99Micros   float64            `json:"decision-p99-us"`
	UrgentMaxSeconds    float64            `json:"urgent-start-max-s"`
	LostHours           float64            `json:"lost-accelerator-hours"`
	Reclaims            int                `json:"reclaims"`
	Moves               int                `json:"moves"`
	Oversubscribed      int                `json:"oversubscribed"`
	Unfinished          int                `json:"unfinished"`
	Jobs                int                `json:"jobs"`
	HeapBytes           int64              `json:"heap-bytes"`
	Workloads           map[string]Figures `json:"workloads,omitempty"`
}

// Run replays all workloads of the seed through all policies.
func Run(ctx context.Context, o Options) (Result, error) {
	result := Result{Policies: map[string]Figures{}}
	for _, policy := range placement.Policies() {
		figures, err := runPolicy(ctx, policy, o)
		if err != nil {
			return Result{}, err
		}
		result.Policies[policy.String()] = figures
	}
	return result, write(o.Output, result)
}

// write writes the value as JSON on one line.
func write(w io.Writer, value any) error {
	if w == nil {
		return nil
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// runPolicy replays all workloads in all deployments.
func runPolicy(ctx context.Context, policy placement.Policy, o Options) (Figures, error) {
	total := newMeasures()
	byWorkload := map[string]Figures{}
	heap := int64(0)
	var all []demand
	for _, p := range profiles {
		one := newMeasures()
		var demands []demand
		for i, d := range deployments {
			if err := ctx.Err(); err != nil {
				return Figures{}, err
			}
			before := usage.Heap()
			w := newWorkload(p, o.Seed*31+uint64(i), d.memory)
			demands = append(demands, demand{w.arrivals, d.accelerators()})
			r := newReplay(d, w, policy, o.Planner)
			r.run()
			heap = max(heap, usage.Heap()-before)
			one.add(r.measured)
		}
		f := one.figures()
		f.CompletionP99Least = leastP99(demands)
		byWorkload[p.name] = f
		all = append(all, demands...)
		total.add(one)
	}
	f := total.figures()
	f.CompletionP99Least = leastP99(all)
	f.Workloads, f.HeapBytes = byWorkload, heap
	return f, nil
}

// add merges the measures of another replay.
func (m *measures) add(o measures) {
	m.completion.Merge(o.completion)
	m.inTime.Merge(o.inTime)
	m.runTime.Merge(o.runTime)
	m.decision.Merge(o.decision)
	m.urgentWait.Merge(o.urgentWait)
	m.deadlines += o.deadlines
	m.late += o.late
	m.violations += o.violations
	m.split += o.split
	m.oversubs += o.oversubs
	m.reclaims += o.reclaims
	m.moves += o.moves
	m.lostHours += o.lostHours
	m.free += o.free
	m.largest += o.largest
	m.possible += o.possible
	m.unfinished += o.unfinished
}

func (m *measures) figures() Figures {
	const nanosPerMicro, millisPerSecond = 1e3, 1e3
	f := Figures{
		CompletionP50: float64(m.completion.ValueAtQuantile(50)), CompletionP99: float64(m.completion.ValueAtQuantile(99)),
		RunTimeP99:          float64(m.runTime.ValueAtQuantile(99)),
		DeadlineP99:         float64(m.inTime.ValueAtQuantile(99)),
		GuaranteeViolations: m.violations, GangsSplit: m.split, Oversubscribed: m.oversubs,
		DecisionMicros:    m.decision.Mean() / nanosPerMicro,
		DecisionP99Micros: float64(m.decision.ValueAtQuantile(99)) / nanosPerMicro,
		UrgentMaxSeconds:  float64(m.urgentWait.Max()) / millisPerSecond,
		LostHours:         m.lostHours, Reclaims: m.reclaims, Moves: m.moves,
		Unfinished: m.unfinished, Jobs: int(m.completion.TotalCount()),
	}
	if m.deadlines > 0 {
		f.LateShare = float64(m.late) / float64(m.deadlines)
	}
	if m.free > 0 {
		f.Fragmentation = 1 - m.largest/m.free
		f.FragmentationLeast = 1 - m.possible/m.free
	}
	return f
}
