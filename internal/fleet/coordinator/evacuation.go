package coordinator

import (
	"maps"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
)

// evacuations is what the loop of the term knows of the evacuated data centres.
type evacuations struct {
	dataCentres collection.Set[string] // dataCentres is the set of which hostState.evacuated is derived.
	startsHeld  bool                   // startsHeld is set while starts wait for a newer reading of the operators' records; only changes are logged.
}

// include reports whether a host is in an evacuated data centre. That of the agent
// counts beside that of the minion, which may be wrong.
func (e *evacuations) include(h *hostState) bool {
	return e.dataCentres.Has(h.minion.DataCentre) || e.dataCentres.Has(h.dataCentre)
}

// evacuationsChanged returns a channel that is closed when the evacuated data centres
// change; nil if none is evacuated in this deployment.
func (t *term) evacuationsChanged() <-chan struct{} {
	if t.settings().EvacuationTimeout == 0 {
		return nil
	}
	return t.catalogue.Changed()
}

// readEvacuations takes over the evacuated data centres that the operators' records
// name now. Hosts there accept no work until the operators take the data centre back,
// which is the only event that ends an evacuation. If that never comes, the other hosts
// do the work. Work that runs in the data centre goes on.
func (t *term) readEvacuations() {
	var next collection.Set[string]
	if t.settings().EvacuationTimeout > 0 {
		next = t.catalogue.Evacuated()
	}
	if maps.Equal(next, t.evacuations.dataCentres) {
		return
	}
	t.evacuations.dataCentres = next
	t.needsPlan = true
	hosts, runs := 0, 0
	for _, h := range t.hosts {
		if h.evacuated = t.evacuations.include(h); h.evacuated {
			hosts++
			runs += len(h.runs)
		}
	}
	_ = level.Info(t.logger).Log("event", "evacuation", "data-centres", strings.Join(next.Sorted(), ","), "hosts", hosts, "runs", runs)
}

// startValidity returns how long a minion may carry out a start, counted from when it
// was sent. Where data centres are evacuated, it is at most half of the time within
// which starts there must cease.
func (t *term) startValidity() time.Duration {
	if timeout := t.settings().EvacuationTimeout; timeout > 0 {
		return min(startValidity, timeout/2)
	}
	return startValidity
}

// maxReadingAge returns how old the last reading of the operators' records may be when
// a start is sent that is valid for a time. An evacuation that was stored just after
// the reading then ends all starts within the timeout.
func maxReadingAge(timeout, validity time.Duration) time.Duration {
	return timeout - maxLeaseDuration(validity)
}

// startsHeld reports whether no start may be sent, because an evacuation may be in
// force that this process has not read yet. The load that this answers is a store that
// serves the records of jobs but not those of the operators, and a process that was
// suspended. The starts go out with the next successful reading; until it comes, they
// wait, and their attempts hold their hosts.
func (t *term) startsHeld() bool {
	timeout := t.settings().EvacuationTimeout
	if timeout == 0 {
		return false
	}
	readAt := t.operatorsReadAt()
	age := now() - readAt
	held := readAt == 0 || age > maxReadingAge(timeout, t.startValidity())
	if held != t.evacuations.startsHeld {
		t.evacuations.startsHeld = held
		_ = level.Info(t.logger).Log("event", "starts held", "held", held, "operators-read", age.Round(time.Millisecond))
	}
	t.readEvacuations() // It is at least as new as readAt.
	return held
}

// withdrawProposed reports whether an attempt that has not been started must not be,
// because one of its hosts has been evacuated since it was placed.
func (t *term) withdrawProposed(a *attempt) bool {
	for _, r := range a.runs {
		if r.host.evacuated {
			t.withdrawn(r, "its host was evacuated before the start")
			return true
		}
	}
	return false
}

// withdrawStart gives up the start of a run on an evacuated host, unless the minion has
// reported the run. A gang can't run without the member, so the others are stopped.
func (t *term) withdrawStart(r *run) {
	if r.reported {
		return
	}
	a, reason := r.attempt, "its host was evacuated during the start"
	t.withdrawn(r, reason)
	if !r.tries.mayHaveStarted() {
		t.requeueRun(r, "")
	}
	t.stopAttempt(a, reason)
}

func (t *term) withdrawn(r *run, reason string) {
	t.metrics.startsWithdrawn.Add(1)
	_ = level.Info(t.logger).Log("event", "start withdrawn", "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "tries", r.tries.sent, "open-tries", r.tries.open, "reason", reason)
}
