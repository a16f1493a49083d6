package demo

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// checkPromises compares what the callers were told with what the stand-ins
// did.
type checkPromises struct{}

func (checkPromises) String() string { return "check the promises" }

func (checkPromises) Run(_ context.Context, s *scene) error {
	outcomes := s.record.all()
	s.checkAnswers(outcomes)
	s.checkExecutions(outcomes)
	s.checkGangs()
	return nil
}

func (s *scene) checkAnswers(outcomes []outcome) {
	s.checked("every caller gets the whole answer to their own request",
		len(s.record.broken) == 0, fmt.Sprintf("%d answers, %d wrong", len(outcomes), len(s.record.broken)))
	// The answer to a request whose deadline has passed is unknown by contract
	// when its minion, which is in this process, was stalled with the rest.
	unknown, excused := 0, 0
	for _, o := range outcomes {
		switch {
		case o.result == "done", o.result == "failed", o.result == "not-run":
		case s.stalls.overlaps(o.useful):
			excused++
		default:
			unknown++
		}
	}
	detail := fmt.Sprintf("%d without an outcome", unknown)
	if count, longest := s.stalls.longest(); count > 0 {
		detail += fmt.Sprintf(", %d during %d stalls of this process of up to %s", excused, count, longest.Round(time.Millisecond))
	}
	s.checked("every accepted piece of work is answered", unknown == 0, detail)
}

// executions counts how often each request was executed, on all minions.
func (s *scene) executions() map[string]int {
	counts := map[string]int{}
	for _, m := range s.cluster.Minions {
		for id, n := range m.Host.ExecutionCounts() {
			counts[id] += n
		}
	}
	return counts
}

func (s *scene) checkExecutions(outcomes []outcome) {
	counts := s.executions()
	var twice, falsely []string
	for _, o := range outcomes {
		id := o.organisation + "/" + o.id
		if !o.idempotent && counts[id] > 1 {
			twice = append(twice, id)
		}
		if o.result == "not-run" && counts[id] > 0 {
			falsely = append(falsely, id)
		}
	}
	s.checked("a non-idempotent request runs at most once", len(twice) == 0, counted("ran twice", twice))
	s.checked("what is answered as not run did not run", len(falsely) == 0, counted("ran", falsely))
}

// attempt is what the workers saw of one attempt of a gang.
type attempt struct {
	started  int
	released int
}

// checkGangs groups the tasks by attempt. When one member was released, all
// members must have been started.
func (s *scene) checkGangs() {
	attempts := map[string]*attempt{}
	members := s.memberCounts()
	for _, w := range s.cluster.Workers {
		for _, i := range w.Host.History() {
			name := i.Task[:strings.LastIndex(i.Task, "/")]
			a := attempts[name]
			if a == nil {
				a = &attempt{}
				attempts[name] = a
			}
			a.started++
			if !i.Released.IsZero() {
				a.released++
			}
		}
	}
	var split []string
	for name, a := range attempts {
		if a.released > 0 && a.started < members[kindOf(name)] {
			split = append(split, name)
		}
	}
	s.checked("no part of a gang runs unless the whole gang runs", len(split) == 0,
		fmt.Sprintf("%d attempts, %s", len(attempts), counted("split", split)))
}

func (s *scene) memberCounts() map[string]int {
	counts := map[string]int{}
	for _, k := range s.workload.jobs {
		counts[k.kind] = k.job.Members
	}
	return counts
}

// kindOf returns the kind of a job from the name organisation/kind-N-M/attempt.
func kindOf(name string) string {
	parts := strings.Split(name, "/")
	const identity = 1
	if len(parts) <= identity {
		return ""
	}
	id := parts[identity]
	for range 2 {
		if i := strings.LastIndex(id, "-"); i >= 0 {
			id = id[:i]
		}
	}
	return id
}

// counted says how many there are and names them.
func counted(what string, names []string) string {
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", len(names), what, strings.Join(names, " ")))
}
