package faultbench

import (
	"strings"

	"wasabihoist/internal/run/embedded"
)

// account compares what the callers were told with what the stand-ins did.
func account(c *embedded.Cluster, items []item) Result {
	executions := map[string]int{}
	for _, m := range c.Minions {
		for id, n := range m.Host.ExecutionCounts() {
			executions[id] += n
		}
	}
	var r Result
	for _, i := range items {
		r.count(i, executions[i.id.String()])
	}
	r.GangsSplit = splitGangs(c)
	return r
}

func (r *Result) count(i item, ran int) {
	if i.accepted {
		r.Accepted++
	}
	switch {
	case i.answered && i.accepted:
		r.Answered++
	case i.accepted:
		r.Lost++
	}
	if i.outcome == "unknown" {
		r.Unknown++
	}
	if i.outcome == "not-run" {
		r.NotRun++
	}
	if i.class == singleRequest && ran > 1 {
		r.RunTwice++
	}
	if i.outcome == "not-run" && ran > 0 {
		r.RefusedFalsely++
	}
	if !i.whole {
		r.Wrong++
	}
}

// splitGangs counts attempts of which a member was released without all
// members having been started. Every job of the load has two members.
func splitGangs(c *embedded.Cluster) int {
	const members = 2
	started := map[string]int{}
	released := map[string]bool{}
	for _, w := range c.Workers {
		for _, i := range w.Host.History() {
			attempt := i.Task[:strings.LastIndex(i.Task, "/")]
			started[attempt]++
			if !i.Released.IsZero() {
				released[attempt] = true
			}
		}
	}
	split := 0
	for attempt := range released {
		if started[attempt] < members {
			split++
		}
	}
	return split
}
