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
	JobKind               Kind = "job"
	CancellationKind      Kind = "cancellation"
	EarlyCancellationKind Kind = "early-cancellation"
	ClaimKind             Kind = "claim"
	ProgressKind          Kind = "progress"
	MemberKind            Kind = "member"
	OutlookKind           Kind = "outlook"
	LeasesKind            Kind = "leases"
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
	// RecordsLeases is set for entries whose terms record their leases; former versions
	// did not.
	RecordsLeases bool
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
	Adviser      *bool        `json:"adviser,omitempty"` // Adviser is missing in records of older versions.
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
	if j.Adviser != workload.AdviserNotRecorded {
		used := j.Adviser == workload.AdviserUsed
		r.Adviser = &used
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
	if r.Adviser != nil {
		j.Adviser = workload.AdviserUseOf(*r.Adviser)
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

type cancellationRecord struct {
	At           int64   `json:"at-ms"`
	Organisation *string `json:"organisation,omitempty"` // Organisation is absent in records of former versions.
}

// EncodeCancellation returns the cancellation record of the job of an organisation.
func EncodeCancellation(id workload.ID, organisation string, at time.Time) (Record, error) {
	return encode(CancellationKind.Key(string(id)), cancellationRecord{at.UnixMilli(), &organisation})
}

// decodeCancellation returns the organisation that has cancelled its job, nil if the
// record names none, or an error for a record that no entry has written.
func decodeCancellation(id string, value []byte) (organisation *string, err error) {
	var r cancellationRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode cancellation of %s: %w", id, err)
	}
	if r.At <= 0 {
		return nil, fmt.Errorf("decode cancellation of %s: it has no time", id)
	}
	return r.Organisation, nil
}

type memberRecord struct {
	Role       Role           `json:"role"`
	DataCentre string         `json:"data-centre"`
	Address    netip.AddrPort `json:"address"`
	Started    int64          `json:"started-ms"`

	RecordsLeases bool `json:"records-leases,omitempty"`
}

// EncodeMember returns the record of a member.
func EncodeMember(m Member) (Record, error) {
	return encode(MemberKind.Key(m.Name), memberRecord{m.Role, m.DataCentre, m.Address, m.Started.UnixMilli(), m.RecordsLeases})
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
	return Member{Name: name, Role: r.Role, DataCentre: r.DataCentre, Address: r.Address, Started: time.UnixMilli(r.Started), RecordsLeases: r.RecordsLeases}, nil
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
