package ledger

import (
	"fmt"
	"strings"

	"wasabihoist/internal/fleet/workload"
)

// taskTable is the compact record of the tasks of a step. The progress of a wide
// job is recorded again with each start and end of a task, and every entry reads
// it, so columns hold only what differs from the default and name each host once.
type taskTable struct {
	Phases       string      `json:"phases"`             // Phases has one digit for each task, its workload.Phase.
	Runs         []int       `json:"runs,omitempty"`     // Runs has the run of each task; absent if all are equal.
	Run          int         `json:"run,omitempty"`      // Run is the run of all tasks if Runs is absent.
	Hosts        []runPlace  `json:"hosts,omitempty"`    // Hosts holds each place of a run once.
	HostOf       []int       `json:"host-of,omitempty"`  // HostOf has the index in Hosts of each placed task, in the order of the tasks.
	Failures     map[int]int `json:"failures,omitempty"` // Failures has the count of each task that has failed.
	Checkpoints  []string    `json:"checkpoints,omitempty"`
	CheckpointOf map[int]int `json:"checkpoint-of,omitempty"` // CheckpointOf has the index in Checkpoints of each task that has one.
}

// runPlace is where a run is: a host and the incarnation of its minion.
type runPlace struct {
	Host   string `json:"host"`
	Minion string `json:"minion,omitempty"`
}

func newTaskTable(tasks []workload.Task) *taskTable {
	table := &taskTable{}
	var phases strings.Builder
	hostIndex, checkpointIndex := make(map[runPlace]int), make(map[string]int)
	sameRun := true
	for i, t := range tasks {
		phases.WriteByte('0' + byte(t.Phase))
		sameRun = sameRun && t.Run == tasks[0].Run
		table.Runs = append(table.Runs, t.Run)
		if t.Phase == workload.Placed {
			table.HostOf = append(table.HostOf, indexOf(&table.Hosts, hostIndex, runPlace{t.Host, t.Minion}))
		}
		if t.Failures > 0 {
			setAt(&table.Failures, i, t.Failures)
		}
		if t.Checkpoint != "" {
			setAt(&table.CheckpointOf, i, indexOf(&table.Checkpoints, checkpointIndex, t.Checkpoint))
		}
	}
	table.Phases = phases.String()
	if sameRun {
		table.Run, table.Runs = tasks[0].Run, nil
	}
	return table
}

// indexOf returns the index of a value in a column of distinct values, and adds it
// if it is new.
func indexOf[V comparable](column *[]V, index map[V]int, value V) int {
	i, ok := index[value]
	if !ok {
		i = len(*column)
		index[value] = i
		*column = append(*column, value)
	}
	return i
}

// setAt sets a value of a map that may be nil.
func setAt(values *map[int]int, key, value int) {
	if *values == nil {
		*values = make(map[int]int)
	}
	(*values)[key] = value
}

// tasks returns the records of the tasks, or an error if the columns contradict
// each other. The values are not validated.
func (t taskTable) tasks() ([]taskRecord, error) {
	count := len(t.Phases)
	if count > workload.MaxTasks || t.Runs != nil && len(t.Runs) != count {
		return nil, fmt.Errorf("%d phases and %d runs of tasks", count, len(t.Runs))
	}
	records := make([]taskRecord, count)
	placed := 0
	for i := range records {
		r := &records[i]
		r.Phase, r.Run, r.Failures = workload.Phase(int(t.Phases[i])-'0'), t.Run, t.Failures[i]
		if t.Runs != nil {
			r.Run = t.Runs[i]
		}
		if c, ok := t.CheckpointOf[i]; ok {
			if c < 0 || c >= len(t.Checkpoints) {
				return nil, fmt.Errorf("task %d has checkpoint %d of %d", i, c, len(t.Checkpoints))
			}
			r.Checkpoint = t.Checkpoints[c]
		}
		if r.Phase != workload.Placed {
			continue
		}
		if placed >= len(t.HostOf) || t.HostOf[placed] < 0 || t.HostOf[placed] >= len(t.Hosts) {
			return nil, fmt.Errorf("task %d has no host in the table", i)
		}
		place := t.Hosts[t.HostOf[placed]]
		r.Host, r.Minion = place.Host, place.Minion
		placed++
	}
	if placed != len(t.HostOf) {
		return nil, fmt.Errorf("%d placed tasks and %d hosts of them", placed, len(t.HostOf))
	}
	return records, nil
}
