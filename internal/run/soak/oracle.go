package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Minions is what the oracle needs of the minions.
type Minions interface {
	// Starts returns how often a task was started.
	Starts(t workload.TaskID) int
	// LastStart returns when a task was last started by an order that was carried
	// out when it arrived; zero if never.
	LastStart(t workload.TaskID) time.Time
	// Finished reports whether a task has ended as completed.
	Finished(t workload.TaskID) bool
}

// submission is what a client knows of its job.
type submission struct {
	job       workload.Job
	accepted  bool
	open      bool      // open submissions had a try without a definite answer.
	state     string    // state is the last one shown.
	doneAt    time.Time // doneAt is when the job was first shown as done.
	cancelled bool      // cancelled jobs had a cancellation that was acknowledged or may have been.
	startsAt  int       // startsAt is the number of starts some time after the cancellation.
	settled   bool      // settled is set once startsAt was taken.
}

// States that are final, as they are shown.
const (
	shownDone      = "done"
	shownFailed    = "failed"
	shownCancelled = "cancelled"
)

func final(state string) bool {
	return state == shownDone || state == shownFailed || state == shownCancelled
}

// oracle checks the promises against what clients and minions see. It is safe
// for concurrent use.
type oracle struct {
	minions Minions

	mu       sync.Mutex
	jobs     map[workload.ID]*submission
	findings []string
	checks   int
}

func newOracle(m Minions) *oracle {
	return &oracle{minions: m, jobs: make(map[workload.ID]*submission)}
}

// find notes a broken promise.
func (o *oracle) find(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note(format, args...)
}

func (o *oracle) note(format string, args ...any) {
	o.findings = append(o.findings, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// submitted notes the answer to one try of handing a job in: accepted, refused,
// or open when there was no definite answer.
func (o *oracle) submitted(j workload.Job, accepted, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.jobs[j.ID]
	if s == nil {
		s = &submission{job: j}
		o.jobs[j.ID] = s
	}
	s.accepted = s.accepted || accepted
	s.open = s.open || !accepted && !refused
}

// shown notes a state that an entry has shown.
func (o *oracle) shown(id workload.ID, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks++
	s := o.jobs[id]
	if final(s.state) && state != s.state {
		o.note("job %s was %s and is %s", id, s.state, state)
	}
	s.state = state
	switch {
	case state == shownFailed:
		o.note("job %s has failed without a failed run", id)
	case state == shownCancelled && !s.cancelled:
		o.note("job %s is cancelled, and nobody has cancelled it", id)
	case state == shownDone:
		if s.doneAt.IsZero() {
			s.doneAt = time.Now()
		}
		for _, t := range tasks(s.job) {
			if !o.minions.Finished(t) {
				o.note("job %s is done, and task %s has not finished", id, t)
			}
		}
	}
}

// unknown notes that an entry does not know a job.
func (o *oracle) unknown(id workload.ID, since time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks++
	if o.jobs[id].accepted && since > visibleTime {
		o.note("job %s is not known %s after it was accepted", id, since.Round(time.Millisecond))
	}
}

// visibleTime is when an accepted job is known everywhere at the latest, and
// obeyTime when nothing of a cancelled job starts any more: the longest time
// without word from the store that a coordinator works on, a start that is
// carried out late, and a second.
const (
	visibleTime = 3 * time.Second
	obeyTime    = 10 * time.Second
)

// startedLate is how long after a job was shown as done a start may still
// arrive.
const startedLate = time.Second

func (o *oracle) checkStartsAfterDone(s *submission) {
	for _, t := range tasks(s.job) {
		if after := o.minions.LastStart(t).Sub(s.doneAt); after > startedLate {
			o.note("job %s was shown as done, and task %s has started %s later", s.job.ID, t, after.Round(time.Millisecond))
		}
	}
}

func (o *oracle) cancel(id workload.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[id].cancelled = true
}

// cancelSettled notes the starts of a job at the time after which there are
// none any more.
func (o *oracle) cancelSettled(id workload.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.jobs[id]
	s.startsAt, s.settled = o.starts(s.job), true
}

func (o *oracle) starts(j workload.Job) int {
	sum := 0
	for _, t := range tasks(j) {
		sum += o.minions.Starts(t)
	}
	return sum
}

func tasks(j workload.Job) []workload.TaskID {
	var list []workload.TaskID
	for s, step := range j.Steps {
		for i := range step.Count {
			list = append(list, workload.TaskID{Job: j.ID, Step: s, Index: i})
		}
	}
	return list
}

// waiting returns the accepted jobs that no entry has shown as ended.
func (o *oracle) waiting() []workload.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []workload.ID
	for id, s := range o.jobs {
		if s.accepted && !final(s.state) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// finish makes the checks at the end of a run and returns all findings.
func (o *oracle) finish() []string {
	waiting := o.waiting()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range waiting {
		o.note("job %s was accepted and has not ended; it is shown as %q", id, o.jobs[id].state)
	}
	for id, s := range o.jobs {
		o.checks++
		if !s.doneAt.IsZero() {
			o.checkStartsAfterDone(s)
		}
		starts := o.starts(s.job)
		switch {
		case !s.accepted && !s.open && starts > 0:
			o.note("job %s was refused, and %d tasks have started", id, starts)
		case s.cancelled && s.settled && starts > s.startsAt:
			o.note("job %s started %d tasks long after it was cancelled", id, starts-s.startsAt)
		}
	}
	return slices.Clone(o.findings)
}
