package journal

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/tenancy/organisation"
)

const (
	// encodePart is the number of jobs or claims that are encoded together. It
	// bounds the messages in memory.
	encodePart = 50
	// encodeBodies is the size of answers, in bytes, that ends such a part.
	encodeBodies = 64 << 10
)

// stateCopy is a state that does not change any more. Making one takes a small
// part of the time to encode it, and the fold waits only for the copy. It shares
// jobs and claims with the fold.
type stateCopy struct {
	next          int64
	needs         int32
	now           time.Time
	configuration organisation.Configuration
	operator      string
	jobs          []*JobState // jobs do not change; the fold replaces them.
	claims        []*claim    // claims do not change either, except for their neighbours.
	audit         []AuditEntry
	history       []jobStep
	writers       []writerCopy
	lost          []string
}

type writerCopy struct {
	name  string
	state writerState
}

func (s *state) copy() *stateCopy {
	c := &stateCopy{
		next:          s.next,
		needs:         s.needs,
		now:           s.clock.now,
		configuration: s.configuration,
		operator:      s.operator,
		jobs:          slices.AppendSeq(make([]*JobState, 0, len(s.jobs)), maps.Values(s.jobs)),
		claims:        slices.AppendSeq(make([]*claim, 0, len(s.claims.byKey)), maps.Values(s.claims.byKey)),
		audit:         slices.Clone(s.audit),
		history:       slices.Clone(s.history.steps),
		writers:       make([]writerCopy, 0, len(s.writers)),
		lost:          s.lost.Sorted(),
	}
	for name, w := range s.writers {
		c.writers = append(c.writers, writerCopy{name, *w})
	}
	return c
}

// sort brings the parts into an order that is the same for equal states.
func (c *stateCopy) sort() {
	slices.SortFunc(c.jobs, func(a, b *JobState) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted),
			strings.Compare(a.Job.Identity.Organisation, b.Job.Identity.Organisation),
			strings.Compare(a.Job.Identity.ID, b.Job.Identity.ID))
	})
	slices.SortFunc(c.claims, claimOrder)
	slices.SortFunc(c.writers, func(a, b writerCopy) int { return cmp.Compare(a.name, b.name) })
}

// parts yields the state in small messages. They are in the order of their
// fields, so together they encode to the same bytes as one message.
func (c *stateCopy) parts(yield func(*wire.State) bool) {
	_ = yield(c.head()) &&
		eachPart(c.jobs, encodePart, yield, func(m *wire.State, j *JobState) { m.Jobs = append(m.Jobs, jobStateToWire(j)) }) &&
		c.claimParts(yield) &&
		eachPart(c.audit, 1, yield, func(m *wire.State, a AuditEntry) { m.Audit = append(m.Audit, auditStateToWire(a)) }) &&
		eachPart(c.writers, 1, yield, func(m *wire.State, w writerCopy) { m.Writers = append(m.Writers, writerStateToWire(w)) }) &&
		yield(&wire.State{ClockUnixNanos: nanos(c.now), LostWorkers: c.lost, Needs: c.needs}) &&
		eachPart(c.history, encodePart, yield, func(m *wire.State, s jobStep) { m.History = append(m.History, jobStepToWire(s)) })
}

// eachPart yields messages of at most size elements and reports whether more
// may follow.
func eachPart[T any](list []T, size int, yield func(*wire.State) bool, add func(*wire.State, T)) bool {
	for part := range slices.Chunk(list, size) {
		m := &wire.State{}
		for _, element := range part {
			add(m, element)
		}
		if !yield(m) {
			return false
		}
	}
	return true
}

// claimParts yields the claims in messages whose answers are bounded together.
func (c *stateCopy) claimParts(yield func(*wire.State) bool) bool {
	for rest := c.claims; len(rest) > 0; {
		m := &wire.State{}
		for size := 0; len(rest) > 0 && len(m.Requests) < encodePart && size < encodeBodies; rest = rest[1:] {
			m.Requests = append(m.Requests, requestStateToWire(rest[0].state()))
			size += len(rest[0].body)
		}
		if !yield(m) {
			return false
		}
	}
	return true
}

func (c *stateCopy) head() *wire.State {
	return &wire.State{
		Next:                 c.next,
		ConfigurationVersion: c.configuration.Version,
		Configuration: configurationToWire(ConfigurationPublished{
			Operator:      c.operator,
			Organisations: c.configuration.Organisations,
			Plans:         c.configuration.Plans,
		}),
	}
}

func auditStateToWire(a AuditEntry) *wire.AuditState {
	return &wire.AuditState{Offset: a.Offset, TimeUnixNanos: nanos(a.Time), Entry: auditToWire(a.Audit)}
}

func writerStateToWire(w writerCopy) *wire.WriterState {
	return &wire.WriterState{
		Writer:            w.name,
		Sequence:          w.state.sequence,
		ChangedUnixNanos:  nanos(w.state.changed),
		ReportedUnixNanos: nanos(w.state.reported),
	}
}
