package journal

import (
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/traffic/request"
)

const (
	// HistoryKept bounds the entries in the history of one job.
	HistoryKept = 20

	// historyBytes bounds the memory for all histories as stepBytes and the
	// lengths of the texts count it.
	historyBytes = 2 << 20
	// stepBytes is what one step takes beside its texts, with the spare room of
	// the slice.
	stepBytes = 160
	// historyText bounds each text in bytes. The workers of a gang of 64 may take
	// more than a kilobyte.
	historyText = 200
)

// The actions that the fold derives from records of jobs. The others are those
// of the audit trail.
const (
	actionRelease = "release"
	actionEnd     = "end"
	actionCancel  = "cancel"
)

// HistoryEntry is one step in the life of a job with its place on the log.
type HistoryEntry struct {
	Offset int64
	Time   time.Time // Time is that of the record, by the clock of its writer.
	Action string    // Action of the audit trail, or release, end or cancel.
	Reason string
	After  string // After is what the step led to, such as workers or an outcome.
}

// jobStep is an entry and its job.
type jobStep struct {
	job   request.Identity
	entry HistoryEntry
}

func (s jobStep) bytes() int {
	return stepBytes + len(s.entry.Action) + len(s.entry.Reason) + len(s.entry.After)
}

// history keeps the steps of all jobs within a bound of memory.
type history struct {
	steps []jobStep // steps are in log order.
	bytes int       // bytes is the sum over the steps.
	limit int       // limit is the bound of bytes.
}

func (h *history) add(step jobStep) {
	h.steps = append(h.steps, step)
	h.bytes += step.bytes()
}

// keep removes the steps for which the condition does not hold.
func (h *history) keep(condition func(jobStep) bool) {
	h.steps = slices.DeleteFunc(h.steps, func(step jobStep) bool {
		if condition(step) {
			return false
		}
		h.bytes -= step.bytes()
		return true
	})
}

// noteStep adds what a valid record says about a job to its history.
func (s *state) noteStep(offset int64, e envelope) {
	switch r := e.record.(type) {
	case Audit:
		name, id, _ := strings.Cut(r.Subject, "/")
		s.addStep(request.Identity{Organisation: name, ID: id}, HistoryEntry{offset, e.time, r.Action, r.Reason, r.After})
	case JobReleased:
		s.addStep(r.Identity, HistoryEntry{offset, e.time, actionRelease, r.Reason, s.jobs[r.Identity].result()})
	case JobEnded:
		s.addStep(r.Identity, HistoryEntry{offset, e.time, actionEnd, r.Reason, s.jobs[r.Identity].result()})
	case JobCancelled:
		s.addStep(r.Identity, HistoryEntry{offset, e.time, actionCancel, reasonCancelled, s.jobs[r.Identity].result()})
	}
}

// result is the outcome of an ended job and the state of another one.
func (j *JobState) result() string {
	if j.State == job.Ended {
		return j.Outcome.String()
	}
	return j.State.String()
}

// addStep adds an entry, unless no job has the identity: the audit trail has
// entries about workers and members too.
func (s *state) addStep(id request.Identity, e HistoryEntry) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	e.Action, e.Reason, e.After = shortened(e.Action), shortened(e.Reason), shortened(e.After)
	s.history.add(jobStep{j.Job.Identity, e})
	if s.history.bytes > s.history.limit {
		s.compactHistory()
	}
}

// shortened cuts a text at the bound. The copy does not keep the whole text in
// memory.
func shortened(text string) string {
	if len(text) <= historyText {
		return text
	}
	const mark = "..."
	return strings.ToValidUTF8(text[:historyText-len(mark)], "") + mark
}

// compactHistory frees a quarter of the bound, so that a step costs a fixed
// number of steps on average. It removes first what historyOf would not return,
// then the oldest steps of ended jobs, then the oldest of all.
func (s *state) compactHistory() {
	h := &s.history
	rest := map[request.Identity]int{}
	for _, step := range h.steps {
		rest[step.job]++
	}
	h.keep(func(step jobStep) bool {
		rest[step.job]--
		return rest[step.job] < HistoryKept && s.isCurrent(step)
	})
	target := h.limit / 4 * 3
	h.keep(func(step jobStep) bool { return h.bytes <= target || s.jobs[step.job].State != job.Ended })
	h.keep(func(jobStep) bool { return h.bytes <= target })
}

// isCurrent reports whether the step is of a job that the fold knows. The
// identity may have belonged to a job that was forgotten after the repeat window.
func (s *state) isCurrent(step jobStep) bool {
	j := s.jobs[step.job]
	return j != nil && step.entry.Offset >= j.Submitted
}

// historyOf returns the last steps of a job, the oldest of them first.
func (s *state) historyOf(id request.Identity) []HistoryEntry {
	var list []HistoryEntry
	for _, step := range slices.Backward(s.history.steps) {
		if step.job == id && s.isCurrent(step) {
			if list = append(list, step.entry); len(list) == HistoryKept {
				break
			}
		}
	}
	slices.Reverse(list)
	return list
}

// restoreHistory takes the steps from a snapshot, after its jobs.
func (s *state) restoreHistory(list []*wire.JobStep) {
	for _, m := range list {
		id := identityFromWire(m.GetIdentity())
		if j := s.jobs[id]; j != nil {
			id = j.Job.Identity // The texts of the identity are shared with the job.
		}
		s.history.add(jobStep{id, HistoryEntry{
			m.GetOffset(), fromNanos(m.GetTimeUnixNanos()), m.GetAction(), m.GetReason(), m.GetAfter(),
		}})
	}
}

func jobStepToWire(s jobStep) *wire.JobStep {
	return &wire.JobStep{
		Identity:      identityToWire(s.job),
		Offset:        s.entry.Offset,
		TimeUnixNanos: nanos(s.entry.Time),
		Action:        s.entry.Action,
		Reason:        s.entry.Reason,
		After:         s.entry.After,
	}
}
