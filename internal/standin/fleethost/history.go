package fleethost

import (
	"fmt"
	"strings"
	"time"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// history is what the minions have seen of one task.
type history struct {
	active   []*start
	starts   []*start
	done     []*completion
	finished bool
}

// start is a run that a minion has begun.
type start struct {
	number int
	minion string // minion is the incarnation that began the run.
	at     time.Time
	late   bool // late is set when the order was carried out seconds after it was sent.
}

// completion is an end as completed. It counts unless the minion ended, or its
// lease expired, before the end was acknowledged: then the task may run again.
type completion struct {
	minion string
	at     time.Time
	noted  bool // noted is set once the end was acknowledged.
	lost   bool
}

// lose notes that the end was lost, unless it was acknowledged before.
func (c *completion) lose() {
	if c != nil && !c.noted {
		c.lost = true
	}
}

// repeats returns a finding for each start after an end that counts.
func (h *history) repeats(t workload.TaskID) []string {
	var list []string
	for _, s := range h.starts {
		for _, c := range h.done {
			if !c.lost && c.at.Before(s.at) {
				list = append(list, stamp(s.at)+fmt.Sprintf("%s runs again after it has finished: run %d on %s, finished on %s at %s", t, s.number, s.minion, c.minion, strings.TrimSpace(stamp(c.at))))
				break
			}
		}
	}
	return list
}

// history returns the history of a task. The caller holds mu.
func (f *Fleet) history(t workload.TaskID) *history {
	h := f.tasks[t]
	if h == nil {
		h = &history{}
		f.tasks[t] = h
	}
	return h
}

func (f *Fleet) begin(t workload.TaskID, s *start, work Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.history(t)
	if len(h.active) > 0 {
		former := h.active[0]
		f.note("%s runs twice: run %d on %s since %s, run %d on %s", t, former.number, former.minion, strings.TrimSpace(stamp(former.at)), s.number, s.minion)
	}
	h.active, h.starts = append(h.active, s), append(h.starts, s)
	if work.Gang > 0 {
		f.join(t, s.number, work.Gang)
	}
}

// end notes the end of a run. It returns the completion if there is one.
func (f *Fleet) end(t workload.TaskID, s *start, outcome host.Outcome, work Work) *completion {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.history(t)
	for i, active := range h.active {
		if active == s {
			h.active = append(h.active[:i:i], h.active[i+1:]...)
			break
		}
	}
	if work.Gang > 0 {
		f.leave(t, s.number, outcome)
	}
	if outcome != host.Completed {
		return nil
	}
	c := &completion{minion: s.minion, at: time.Now()}
	h.done, h.finished = append(h.done, c), true
	for i := range work.Gang {
		member := t
		member.Index = i
		f.history(member).finished = true
	}
	return c
}

// settleCompletions notes that ends were acknowledged, or lost before that.
func (f *Fleet) settleCompletions(list []*completion, noted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range list {
		switch {
		case c == nil:
		case noted:
			c.noted = true
		default:
			c.lose()
		}
	}
}

// gangKey names one run of a gang.
type gangKey struct {
	step   workload.StepID
	number int
}

// gang is one run of the tasks of a step that work only together.
type gang struct {
	present  map[int]bool
	size     int
	complete time.Time // complete is when all were present; zero before.
	ended    bool      // ended is set once a member has ended as completed.
	broken   bool      // broken is set once a member has ended otherwise.
}

func gangOf(t workload.TaskID, number int) gangKey {
	return gangKey{workload.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}, number}
}

func (f *Fleet) join(t workload.TaskID, number, size int) {
	g := f.gangs[gangOf(t, number)]
	if g == nil {
		g = &gang{present: make(map[int]bool), size: size}
		f.gangs[gangOf(t, number)] = g
	}
	g.present[t.Index] = true
	if len(g.present) == size && !g.broken {
		g.complete = time.Now()
	}
}

func (f *Fleet) leave(t workload.TaskID, number int, outcome host.Outcome) {
	g := f.gangs[gangOf(t, number)]
	delete(g.present, t.Index)
	if outcome == host.Completed {
		g.ended = true
	} else {
		g.broken = true
	}
}

// gangRun returns when the members of a run of a gang were all present, zero if
// they were not, and how the run ends for a member that has waited since began;
// false if it goes on.
func (f *Fleet) gangRun(t workload.TaskID, number int, began time.Time) (time.Time, host.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[gangOf(t, number)]
	switch {
	case g.ended:
		return g.complete, host.Completed, true
	case g.broken:
		return g.complete, host.GangAborted, true
	case g.complete.IsZero() && f.gangTime > 0 && time.Since(began) > f.gangTime:
		return g.complete, host.GangTimedOut, true
	default:
		return g.complete, 0, false
	}
}
