package journal

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Encode returns the payload of an append with records that follow one another
// from a sequence number on. Measurements use it to make logs.
func Encode(writer string, sequence uint64, at time.Time, records ...Record) ([]byte, error) {
	b := batch{writer: writer}
	for i, r := range records {
		b.records = append(b.records, envelope{sequence: sequence + uint64(i), time: at, record: r})
	}
	return encodeBatch(b)
}

func encodeBatch(b batch) ([]byte, error) {
	message := &wire.Batch{Writer: b.writer}
	for _, e := range b.records {
		r := recordToWire(e.record)
		r.Sequence = e.sequence
		r.TimeUnixNanos = nanos(e.time)
		r.Needs = e.needs
		message.Records = append(message.Records, r)
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	return compress(encoded)
}

// decodeBatch keeps the place of each record that this version cannot read, so
// that the records around it have the same verdict in all versions.
func decodeBatch(payload []byte) (batch, error) {
	encoded, err := decompress(payload)
	if err != nil {
		return batch{}, err
	}
	var message wire.Batch
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return batch{}, fmt.Errorf("decode batch: %w", err)
	}
	if message.GetWriter() == "" {
		return batch{}, fmt.Errorf("decode batch: no writer")
	}
	b := batch{writer: message.GetWriter()}
	for _, r := range message.GetRecords() {
		record, err := recordFromWire(r)
		if err != nil {
			record = Unreadable{Reason: err.Error()}
		}
		b.records = append(b.records, envelope{r.GetSequence(), fromNanos(r.GetTimeUnixNanos()), record, r.GetNeeds()})
	}
	return b, nil
}

func recordToWire(record Record) *wire.Record {
	switch r := record.(type) {
	case ConfigurationPublished:
		return &wire.Record{Body: &wire.Record_Configuration{Configuration: configurationToWire(r)}}
	case JobSubmitted:
		return &wire.Record{Body: &wire.Record_JobSubmitted{JobSubmitted: &wire.JobSubmitted{Job: jobToWire(r.Job)}}}
	case JobClaimed:
		return &wire.Record{Body: &wire.Record_JobClaimed{JobClaimed: &wire.JobClaimed{
			Identity: identityToWire(r.Identity), DataCentre: r.DataCentre, Supersedes: r.Supersedes, Workers: r.Workers,
		}}}
	case JobRunning:
		return &wire.Record{Body: &wire.Record_JobRunning{JobRunning: &wire.JobRunning{Identity: identityToWire(r.Identity), Claim: r.Claim}}}
	case JobReleased:
		return &wire.Record{Body: &wire.Record_JobReleased{JobReleased: &wire.JobReleased{
			Identity: identityToWire(r.Identity), Claim: r.Claim, Reason: text(r.Reason),
			Started: r.Started, Checkpointed: r.Checkpointed, ProgressNanos: int64(r.Progress),
		}}}
	case JobEnded:
		return &wire.Record{Body: &wire.Record_JobEnded{JobEnded: &wire.JobEnded{
			Identity: identityToWire(r.Identity), Claim: r.Claim, Outcome: int32(r.Outcome), Reason: text(r.Reason),
		}}}
	case JobCancelled:
		return &wire.Record{Body: &wire.Record_JobCancelled{JobCancelled: &wire.JobCancelled{Identity: identityToWire(r.Identity)}}}
	case RequestClaimed:
		return &wire.Record{Body: &wire.Record_RequestClaimed{RequestClaimed: &wire.RequestClaimed{
			Identity: identityToWire(r.Identity), DeadlineUnixNanos: nanos(r.Deadline),
		}}}
	case RequestFinished:
		return &wire.Record{Body: &wire.Record_RequestFinished{RequestFinished: &wire.RequestFinished{
			Identity: identityToWire(r.Identity), Outcome: int32(r.Outcome), Reason: text(r.Reason), Body: r.Body,
		}}}
	case RequestAbandoned:
		return &wire.Record{Body: &wire.Record_RequestAbandoned{RequestAbandoned: &wire.RequestAbandoned{Identity: identityToWire(r.Identity)}}}
	case Audit:
		return &wire.Record{Body: &wire.Record_Audit{Audit: auditToWire(r)}}
	case SnapshotChunk:
		return &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.SnapshotChunk{
			Covers: r.Covers, Index: int32(r.Index), Count: int32(r.Count), State: r.State,
		}}}
	case WorkerReported:
		return &wire.Record{Body: &wire.Record_Worker{Worker: &wire.WorkerReported{Worker: r.Worker, Lost: r.Lost}}}
	case Barrier:
		return &wire.Record{Body: &wire.Record_Barrier{Barrier: &wire.Barrier{}}}
	}
	return &wire.Record{} // Unreadable records have no type.
}

func recordFromWire(message *wire.Record) (Record, error) {
	switch b := message.GetBody().(type) {
	case *wire.Record_Configuration:
		return configurationFromWire(b.Configuration)
	case *wire.Record_JobSubmitted:
		j, err := jobFromWire(b.JobSubmitted.GetJob())
		return JobSubmitted{j}, err
	case *wire.Record_JobClaimed:
		m := b.JobClaimed
		return JobClaimed{identityFromWire(m.GetIdentity()), m.GetDataCentre(), m.GetSupersedes(), m.GetWorkers()}, nil
	case *wire.Record_JobRunning:
		return JobRunning{identityFromWire(b.JobRunning.GetIdentity()), b.JobRunning.GetClaim()}, nil
	case *wire.Record_JobReleased:
		m := b.JobReleased
		return JobReleased{
			identityFromWire(m.GetIdentity()), m.GetClaim(), m.GetReason(),
			m.GetStarted(), m.GetCheckpointed(), time.Duration(m.GetProgressNanos()),
		}, nil
	case *wire.Record_JobEnded:
		m := b.JobEnded
		outcome, err := finalOutcome(m.GetOutcome())
		return JobEnded{identityFromWire(m.GetIdentity()), m.GetClaim(), outcome, m.GetReason()}, err
	case *wire.Record_JobCancelled:
		return JobCancelled{identityFromWire(b.JobCancelled.GetIdentity())}, nil
	case *wire.Record_RequestClaimed:
		m := b.RequestClaimed
		return RequestClaimed{identityFromWire(m.GetIdentity()), fromNanos(m.GetDeadlineUnixNanos())}, nil
	case *wire.Record_RequestFinished:
		m := b.RequestFinished
		outcome, err := finalOutcome(m.GetOutcome())
		return RequestFinished{identityFromWire(m.GetIdentity()), outcome, m.GetReason(), m.GetBody()}, err
	case *wire.Record_RequestAbandoned:
		return RequestAbandoned{identityFromWire(b.RequestAbandoned.GetIdentity())}, nil
	case *wire.Record_Audit:
		return auditFromWire(b.Audit), nil
	case *wire.Record_Snapshot:
		m := b.Snapshot
		return SnapshotChunk{m.GetCovers(), int(m.GetIndex()), int(m.GetCount()), m.GetState()}, nil
	case *wire.Record_Worker:
		return WorkerReported{b.Worker.GetWorker(), b.Worker.GetLost()}, nil
	case *wire.Record_Barrier:
		return Barrier{}, nil
	}
	return nil, errors.New("decode record: unknown type")
}

// text makes a reason encodable. Reasons come from back ends and workers, and
// an outcome must not be lost because its reason is not valid UTF-8.
func text(reason string) string { return strings.ToValidUTF8(reason, "\uFFFD") }

func finalOutcome(code int32) (request.Outcome, error) {
	outcome := request.Outcome(code)
	switch outcome {
	case request.Done, request.Failed, request.NotRun, request.Unknown:
		return outcome, nil
	}
	return 0, fmt.Errorf("decode record: outcome %d is not final", code)
}

func identityToWire(i request.Identity) *wire.Identity {
	return &wire.Identity{Organisation: i.Organisation, Id: i.ID}
}

func identityFromWire(m *wire.Identity) request.Identity {
	return request.Identity{Organisation: m.GetOrganisation(), ID: m.GetId()}
}

func shapeToWire(s organisation.Shape) *wire.Shape {
	return &wire.Shape{Members: int32(s.Members), Accelerators: int32(s.Accelerators), Adjacency: int32(s.Adjacency)}
}

func shapeFromWire(m *wire.Shape) (organisation.Shape, error) {
	s := organisation.Shape{
		Members:      int(m.GetMembers()),
		Accelerators: int(m.GetAccelerators()),
		Adjacency:    organisation.Adjacency(m.GetAdjacency()),
	}
	if s.Members < 1 || s.Accelerators < 0 || s.Adjacency < organisation.WithinWorker || s.Adjacency > organisation.WithinDataCentre {
		return organisation.Shape{}, fmt.Errorf("decode shape: %s is impossible", s)
	}
	return s, nil
}

func jobToWire(j job.Job) *wire.Job {
	return &wire.Job{
		Identity:           identityToWire(j.Identity),
		Kind:               j.Kind,
		Shape:              shapeToWire(j.Shape),
		Cores:              j.Cores,
		Memory:             j.Memory,
		RunTimeNanos:       int64(j.RunTime),
		DeadlineUnixNanos:  nanos(j.Deadline),
		Idempotent:         j.Idempotent,
		Urgent:             j.Urgent,
		DataCentre:         j.DataCentre,
		SubmittedUnixNanos: nanos(j.Submitted),
	}
}

func jobFromWire(m *wire.Job) (job.Job, error) {
	shape, err := shapeFromWire(m.GetShape())
	if err != nil {
		return job.Job{}, err
	}
	return job.Job{
		Identity:   identityFromWire(m.GetIdentity()),
		Kind:       m.GetKind(),
		Shape:      shape,
		Cores:      m.GetCores(),
		Memory:     m.GetMemory(),
		RunTime:    time.Duration(m.GetRunTimeNanos()),
		Deadline:   fromNanos(m.GetDeadlineUnixNanos()),
		Idempotent: m.GetIdempotent(),
		Urgent:     m.GetUrgent(),
		DataCentre: m.GetDataCentre(),
		Submitted:  fromNanos(m.GetSubmittedUnixNanos()),
	}, nil
}

func configurationToWire(c ConfigurationPublished) *wire.ConfigurationPublished {
	m := &wire.ConfigurationPublished{Base: c.Base, Operator: c.Operator}
	for _, o := range c.Organisations {
		m.Organisations = append(m.Organisations, &wire.Organisation{Name: o.Name, Plan: o.Plan, ClosesUnixNanos: nanos(o.Closes)})
	}
	for _, p := range c.Plans {
		m.Plans = append(m.Plans, planToWire(p))
	}
	return m
}

func planToWire(p organisation.Plan) *wire.Plan {
	m := &wire.Plan{
		Name:             p.Name,
		Services:         p.Services,
		Kinds:            p.Kinds,
		AcceleratorLimit: int32(p.AcceleratorLimit),
		QueueLimit:       int32(p.QueueLimit),
		Share:            int32(p.Share),
		Urgent:           p.Urgent,
	}
	for _, g := range p.Guarantees {
		m.Guarantees = append(m.Guarantees, &wire.Guarantee{Shape: shapeToWire(g.Shape), Count: int32(g.Count)})
	}
	return m
}

func configurationFromWire(m *wire.ConfigurationPublished) (ConfigurationPublished, error) {
	c := ConfigurationPublished{Base: m.GetBase(), Operator: m.GetOperator()}
	for _, o := range m.GetOrganisations() {
		c.Organisations = append(c.Organisations, organisation.Organisation{
			Name: o.GetName(), Plan: o.GetPlan(), Closes: fromNanos(o.GetClosesUnixNanos()),
		})
	}
	for _, p := range m.GetPlans() {
		plan, err := planFromWire(p)
		if err != nil {
			return ConfigurationPublished{}, err
		}
		c.Plans = append(c.Plans, plan)
	}
	return c, nil
}

func planFromWire(m *wire.Plan) (organisation.Plan, error) {
	p := organisation.Plan{
		Name:             m.GetName(),
		Services:         m.GetServices(),
		Kinds:            m.GetKinds(),
		AcceleratorLimit: int(m.GetAcceleratorLimit()),
		QueueLimit:       int(m.GetQueueLimit()),
		Share:            int(m.GetShare()),
		Urgent:           m.GetUrgent(),
	}
	for _, g := range m.GetGuarantees() {
		shape, err := shapeFromWire(g.GetShape())
		if err != nil {
			return organisation.Plan{}, err
		}
		p.Guarantees = append(p.Guarantees, organisation.Guarantee{Shape: shape, Count: int(g.GetCount())})
	}
	return p, nil
}

func auditToWire(a Audit) *wire.AuditEntry {
	return &wire.AuditEntry{Actor: a.Actor, Action: a.Action, Subject: a.Subject, Reason: a.Reason, Before: a.Before, After: a.After}
}

func auditFromWire(m *wire.AuditEntry) Audit {
	return Audit{m.GetActor(), m.GetAction(), m.GetSubject(), m.GetReason(), m.GetBefore(), m.GetAfter()}
}

// nanos encodes a time; the zero time is 0.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
