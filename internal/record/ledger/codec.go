package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Kind is the kind of a record, the first part of its key.
type Kind string

// The kinds of records.
const (
	JobKind          Kind = "job"
	CancellationKind Kind = "cancellation"
	ProgressKind     Kind = "progress"
	MemberKind       Kind = "member"
)

// Key returns the record key KIND/NAME.
func (k Kind) Key(name string) string { return string(k) + "/" + name }

func splitKey(key string) (Kind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return Kind(kind), name
}

// Role is the role of a member process.
type Role string

// The roles of members.
const (
	EntryRole Role = "entry"
	AgentRole Role = "agent"
)

// Member is a process that other processes can reach at its address.
type Member struct {
	Name       string
	Role       Role
	DataCentre string
	Address    netip.AddrPort
	Started    time.Time // Started distinguishes incarnations of the process.
}

type jobRecord struct {
	Queue        string       `json:"queue"`
	Organisation string       `json:"organisation,omitempty"`
	Service      string       `json:"service"`
	Spec         string       `json:"spec,omitempty"`
	Submitted    int64        `json:"submitted-ms"`
	Priority     int          `json:"priority,omitempty"`
	Attempts     int          `json:"attempts"`
	Stretch      float64      `json:"stretch"`
	Objective    int64        `json:"objective-ms"`
	Steps        []stepRecord `json:"steps"`
	Repetitions  int          `json:"repetitions,omitempty"`
	First        int64        `json:"first-ms,omitempty"`
	Interval     int64        `json:"interval-ms,omitempty"`
}

type stepRecord struct {
	Count          int    `json:"count"`
	MilliCores     int    `json:"milli-cores,omitempty"`
	MemoryMB       int    `json:"memory-mb,omitempty"`
	Accelerators   int    `json:"accelerators,omitempty"`
	Estimate       int64  `json:"estimate-ms,omitempty"`
	DependsOn      []int  `json:"depends-on,omitempty"`
	Checkpoints    bool   `json:"checkpoints,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	RackLocal      bool   `json:"local,omitempty"`
	Label          string `json:"label,omitempty"`
	Rack           string `json:"rack,omitempty"`
	SpreadLimit    int    `json:"spread-limit,omitempty"`
	LongRunning    bool   `json:"lasting,omitempty"`
	MaxUnavailable int    `json:"may-miss,omitempty"`
	LatencyTarget  int64  `json:"target-ms,omitempty"`
	BestEffort     bool   `json:"fills,omitempty"`
	Image          string `json:"image,omitempty"`
}

// EncodeJob returns the record of a submitted job. Times have millisecond precision.
func EncodeJob(j workload.Job) (Record, error) {
	r := jobRecord{
		Queue: j.Queue, Organisation: j.Organisation, Service: j.Service, Spec: j.Spec,
		Submitted: j.Submitted.UnixMilli(), Priority: j.Priority, Attempts: j.Attempts,
		Stretch: j.Stretch, Objective: j.Objective.Milliseconds(),
	}
	if j.Scheduled() {
		r.Repetitions, r.First, r.Interval = j.Schedule.Repetitions, j.Schedule.First.UnixMilli(), j.Schedule.Interval.Milliseconds()
	}
	for _, s := range j.Steps {
		r.Steps = append(r.Steps, stepRecord{
			Count: s.Count, MilliCores: s.Need.MilliCores, MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators,
			Estimate: s.Estimate.Milliseconds(), DependsOn: s.DependsOn, Checkpoints: s.Checkpoints, Gang: s.Gang,
			RackLocal: s.RackLocal, Label: s.Label, Rack: s.DataRack, SpreadLimit: s.SpreadLimit,
			LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable, LatencyTarget: s.LatencyTarget.Milliseconds(), BestEffort: s.BestEffort, Image: s.Image,
		})
	}
	return encode(JobKind.Key(string(j.ID)), r)
}

// decodeJob returns the job of a record, or an error if it is not valid.
func decodeJob(id string, value []byte) (workload.Job, error) {
	if id == "" {
		return workload.Job{}, errors.New("decode job: the key has no ID")
	}
	var r jobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return workload.Job{}, fmt.Errorf("decode job %s: %w", id, err)
	}
	j := workload.Job{
		ID: workload.ID(id), Queue: r.Queue, Organisation: r.Organisation, Service: r.Service, Spec: r.Spec,
		Submitted: time.UnixMilli(r.Submitted), Priority: r.Priority, Attempts: r.Attempts,
		Stretch: r.Stretch, Objective: fromMillis(r.Objective),
	}
	if r.Repetitions > 0 {
		j.Schedule = workload.Schedule{Repetitions: r.Repetitions, First: time.UnixMilli(r.First), Interval: fromMillis(r.Interval)}
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, workload.Step{
			Count: s.Count, Need: workload.Resources{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
			Estimate: min(fromMillis(s.Estimate), workload.MaxEstimate), DependsOn: s.DependsOn, Checkpoints: s.Checkpoints, Gang: s.Gang,
			RackLocal: s.RackLocal, Label: s.Label, DataRack: s.Rack, SpreadLimit: s.SpreadLimit,
			LongRunning: s.LongRunning, MaxUnavailable: s.MaxUnavailable, LatencyTarget: fromMillis(s.LatencyTarget), BestEffort: s.BestEffort, Image: s.Image,
		})
	}
	if err := j.Validate(); err != nil {
		return j, fmt.Errorf("decode job %s: %w", id, err)
	}
	return j, nil
}

// fromMillis converts milliseconds to a duration. Values out of range become the
// nearest possible one.
func fromMillis(ms int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(ms, -most), most)) * time.Millisecond
}

type progressRecord struct {
	State              string               `json:"state"`
	Steps              []stepProgressRecord `json:"steps,omitempty"` // Steps is omitted once the job has ended and no task is placed.
	StepsPerOccurrence int                  `json:"cycle,omitempty"`
	Uncertain          bool                 `json:"uncertain,omitempty"`
}

type stepProgressRecord struct {
	Failures  int          `json:"failures,omitempty"`
	FailedRun int          `json:"failed-run,omitempty"`
	Tasks     []taskRecord `json:"tasks,omitempty"`
	Waiting   int          `json:"waiting,omitempty"`  // Waiting replaces Tasks by their number when none was ever placed.
	Finished  int          `json:"finished,omitempty"` // Finished replaces Tasks by their number when all have finished.
}

// encodeStep keeps only the number of tasks if none was ever placed or all are
// finished.
func encodeStep(s workload.StepProgress) stepProgressRecord {
	r := stepProgressRecord{Failures: s.Failures, FailedRun: s.FailedRun}
	neverPlaced, finished := true, true
	for _, t := range s.Tasks {
		neverPlaced = neverPlaced && t == workload.Task{}
		finished = finished && t.Phase == workload.Finished
	}
	switch {
	case neverPlaced:
		r.Waiting = len(s.Tasks)
	case finished:
		r.Finished = len(s.Tasks)
	default:
		for _, t := range s.Tasks {
			r.Tasks = append(r.Tasks, taskRecord(t))
		}
	}
	return r
}

// validate returns an error for a record that no coordinator has written.
func (r stepProgressRecord) validate() error {
	if min(r.Waiting, r.Finished) < 0 || max(r.Waiting, r.Finished) > workload.MaxTasks {
		return fmt.Errorf("%d waiting and %d finished tasks", r.Waiting, r.Finished)
	}
	if min(r.Failures, r.FailedRun) < 0 || max(r.Failures, r.FailedRun) > maxRun {
		return fmt.Errorf("%d failures, the last in run %d", r.Failures, r.FailedRun)
	}
	for i, t := range r.Tasks {
		if err := t.validate(); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	return nil
}

// decode returns the progress of a valid record.
func (r stepProgressRecord) decode() workload.StepProgress {
	s := workload.StepProgress{Failures: r.Failures, FailedRun: r.FailedRun, Tasks: make([]workload.Task, r.Waiting+r.Finished, r.Waiting+r.Finished+len(r.Tasks))}
	for i := range r.Finished {
		s.Tasks[i].Phase = workload.Finished
	}
	for _, t := range r.Tasks {
		s.Tasks = append(s.Tasks, workload.Task(t))
	}
	return s
}

type taskRecord struct {
	Phase      workload.Phase `json:"phase,omitempty"`
	Run        int            `json:"run,omitempty"`
	Host       string         `json:"host,omitempty"`
	Minion     string         `json:"minion,omitempty"`
	Failures   int            `json:"failures,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
}

// maxRun limits the numbers of runs and failures, so that they can be increased.
const maxRun = math.MaxInt32

// validate returns an error for a record that no coordinator has written.
func (r taskRecord) validate() error {
	if r.Phase < workload.Waiting || r.Phase > workload.Finished {
		return fmt.Errorf("unknown phase %d", r.Phase)
	}
	if min(r.Run, r.Failures) < 0 || max(r.Run, r.Failures) > maxRun {
		return fmt.Errorf("run %d with %d failures", r.Run, r.Failures)
	}
	if r.Phase == workload.Placed && (r.Host == "" || r.Run == 0) {
		return fmt.Errorf("run %d is placed on host %q", r.Run, r.Host)
	}
	return nil
}

// EncodeProgress returns the progress record of a job. It leaves the checkpoints out
// if the record would be too large. A task without one starts anew.
func EncodeProgress(p *workload.Progress) (Record, error) {
	r := progressRecord{State: p.State.String(), Uncertain: p.Uncertain}
	if !p.State.Ended() || p.HasPlacedTasks() {
		r.StepsPerOccurrence = p.StepsPerOccurrence
		for _, s := range p.Steps {
			r.Steps = append(r.Steps, encodeStep(s))
		}
	}
	record, err := encode(ProgressKind.Key(string(p.Job)), r)
	if err != nil {
		r.dropCheckpoints()
		record, err = encode(ProgressKind.Key(string(p.Job)), r)
	}
	return record, err
}

func (r progressRecord) dropCheckpoints() {
	for _, s := range r.Steps {
		for i := range s.Tasks {
			s.Tasks[i].Checkpoint = ""
		}
	}
}

func decodeProgress(id string, value []byte) (*workload.Progress, error) {
	var r progressRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode progress of %s: %w", id, err)
	}
	p := &workload.Progress{Job: workload.ID(id), State: -1, StepsPerOccurrence: r.StepsPerOccurrence, Uncertain: r.Uncertain}
	for s := workload.Pending; s <= workload.Cancelled; s++ {
		if s.String() == r.State {
			p.State = s
		}
	}
	if p.State < 0 {
		return nil, fmt.Errorf("decode progress of %s: unknown state %.40q", id, r.State)
	}
	if len(r.Steps) > workload.MaxSteps {
		return nil, fmt.Errorf("decode progress of %s: %d steps, at most %d are possible", id, len(r.Steps), workload.MaxSteps)
	}
	tasks := 0
	for i, s := range r.Steps {
		if err := s.validate(); err != nil {
			return nil, fmt.Errorf("decode progress of %s: step %d: %w", id, i, err)
		}
		if tasks += s.Waiting + s.Finished + len(s.Tasks); tasks > workload.MaxScheduledTasks {
			return nil, fmt.Errorf("decode progress of %s: more than %d tasks", id, workload.MaxScheduledTasks)
		}
		p.Steps = append(p.Steps, s.decode())
	}
	if p.StepsPerOccurrence == 0 { // Records from versions without schedules lack the field.
		p.StepsPerOccurrence = len(p.Steps)
	}
	return p, nil
}

type cancellationRecord struct {
	At int64 `json:"at-ms"`
}

// EncodeCancellation returns the cancellation record of a job.
func EncodeCancellation(id workload.ID, at time.Time) (Record, error) {
	return encode(CancellationKind.Key(string(id)), cancellationRecord{At: at.UnixMilli()})
}

// checkCancellation returns an error for a record that no entry has written.
func checkCancellation(id string, value []byte) error {
	var r cancellationRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("decode cancellation of %s: %w", id, err)
	}
	if r.At <= 0 {
		return fmt.Errorf("decode cancellation of %s: it has no time", id)
	}
	return nil
}

type memberRecord struct {
	Role       Role           `json:"role"`
	DataCentre string         `json:"data-centre"`
	Address    netip.AddrPort `json:"address"`
	Started    int64          `json:"started-ms"`
}

// EncodeMember returns the record of a member.
func EncodeMember(m Member) (Record, error) {
	return encode(MemberKind.Key(m.Name), memberRecord{m.Role, m.DataCentre, m.Address, m.Started.UnixMilli()})
}

func decodeMember(name string, value []byte) (Member, error) {
	var r memberRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return Member{}, fmt.Errorf("decode member %s: %w", name, err)
	}
	switch {
	case name == "":
		return Member{}, errors.New("decode member: the key has no name")
	case r.Role != EntryRole && r.Role != AgentRole:
		return Member{}, fmt.Errorf("decode member %s: unknown role %.40q", name, r.Role)
	case !r.Address.IsValid() || r.Address.Addr().IsUnspecified() || r.Address.Port() == 0:
		return Member{}, fmt.Errorf("decode member %s: %q is not the address of a process", name, r.Address)
	}
	return Member{Name: name, Role: r.Role, DataCentre: r.DataCentre, Address: r.Address, Started: time.UnixMilli(r.Started)}, nil
}

// Tombstone returns the record that deletes a key.
func Tombstone(kind Kind, name string) Record { return Record{Key: kind.Key(name)} }

// MaxValueBytes is the maximum size of the value of a record. The store rejects the
// whole append that contains a longer one.
const MaxValueBytes = 250 << 10

// encode marshals the value and checks its size.
func encode(key string, value any) (Record, error) {
	data, err := json.Marshal(value)
	if err == nil && len(data) > MaxValueBytes {
		err = fmt.Errorf("%d bytes, at most %d are possible", len(data), MaxValueBytes)
	}
	if err != nil {
		return Record{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}
