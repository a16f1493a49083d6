package coordinator

import "time"

// adoptionGrace is how long after the begin of a term the runs of former terms are not
// preempted that no minion has reported to this term yet. First reports arrive within
// 100 ms from hosts that answer; urgent work should not wait for others.
const adoptionGrace = 300 * time.Millisecond

// awaitsReport reports whether it is not known yet how far an attempt of a former term
// has got. The load that this answers is a change of the coordinator beside waiting
// urgent work: all adopted work would seem to have just begun, and be the cheapest to
// stop. The first report of each run ends it; if that does not come, adoptionGrace.
func (t *term) awaitsReport(a *attempt, at time.Duration) bool {
	if !t.settings().Adaptive || at-t.begunAt >= adoptionGrace {
		return false
	}
	for _, r := range a.runs {
		if r.phase == adopted {
			return true
		}
	}
	return false
}

// workBeforeAdoption returns about how long a run had worked when this term first knew
// its progress. The progress says how much that was in relation to the estimate, which
// is all that a new coordinator knows of its time.
func (t *term) workBeforeAdoption(r *run) time.Duration {
	if !t.settings().Adaptive {
		return 0
	}
	return r.attempt.definition().Estimate / 100 * time.Duration(r.firstPercent)
}
