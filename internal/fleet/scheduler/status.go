package scheduler

import (
	"slices"
	"strings"

	"wasabihoist/internal/fleet/worker"
)

// States of a worker as shown to operators.
const (
	Ready       = "ready"       // Ready workers are leased and take tasks.
	Unreachable = "unreachable" // Unreachable workers do not answer or have no lease in force.
	Lost        = "lost"        // Lost workers were silent for longer than a lease lasts.
	Quarantined = "quarantined" // Quarantined workers failed too many tasks in a row.
)

// WorkerStatus is a worker of the data centre and its state, one of Ready,
// Unreachable, Lost and Quarantined.
type WorkerStatus struct {
	Worker worker.Worker
	State  string
}

// Fleet lists the workers of the data centre by name. The list is empty while
// the duty is not held.
func (s *Scheduler) Fleet() []WorkerStatus {
	return callLoop(s, (*term).fleet)
}

// fleet implements Scheduler.Fleet.
func (t *term) fleet() []WorkerStatus {
	quarantined := t.summary().Quarantined
	list := make([]WorkerStatus, 0, len(t.workers))
	for name, ws := range t.workers {
		status := WorkerStatus{Worker: ws.worker, State: Ready}
		switch {
		case ws.lost:
			status.State = Lost
		case !ws.leased, ws.isSilent():
			status.State = Unreachable
		case slices.Contains(quarantined, name):
			status.State = Quarantined
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b WorkerStatus) int { return strings.Compare(a.Worker.Name, b.Worker.Name) })
	return list
}
