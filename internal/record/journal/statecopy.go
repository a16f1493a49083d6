package journal

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/tenancy/organisation"
)

// encodePart is the number of jobs or claims that are encoded together. It
// bounds the messages in memory beside the snapshot.
const encodePart = 500

// stateCopy is a state that does not change any more. Making one takes a small
// part of the time to encode it, and the fold waits only for the copy.
type stateCopy struct {
	next          int64
	needs         int32
	now           time.Time
	configuration organisation.Configuration
	operator      string
	jobs          []JobState
	claims        []*claim   // claims do not change; the fold replaces them.
	bodies        []keptBody // bodies are in claim order.
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
		jobs:          make([]JobState, 0, len(s.jobs)),
		claims:        slices.AppendSeq(make([]*claim, 0, len(s.claims.byKey)), maps.Values(s.claims.byKey)),
		bodies:        slices.Clone(s.claims.bodies.kept),
		audit:         slices.Clone(s.audit),
		history:       slices.Clone(s.history.steps),
		writers:       make([]writerCopy, 0, len(s.writers)),
		lost:          s.lost.Sorted(),
	}
	for _, j := range s.jobs {
		c.jobs = append(c.jobs, *j)
	}
	for name, w := range s.writers {
		c.writers = append(c.writers, writerCopy{name, *w})
	}
	return c
}

// encode writes the state in a form that is the same for equal states. The
// parts are in the order of their fields, as in one message.
func (c *stateCopy) encode() ([]byte, error) {
	e := encoder{}
	e.add(c.head())
	c.addJobs(&e)
	c.addClaims(&e)
	e.add(c.tail())
	c.addHistory(&e)
	if e.err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", e.err)
	}
	return binary.BigEndian.AppendUint64(e.data, xxhash.Sum64(e.data)), nil
}

// encoder appends parts of a message until the first error.
type encoder struct {
	data []byte
	err  error
}

func (e *encoder) add(part *wire.State) {
	if e.err == nil {
		e.data, e.err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(e.data, part)
	}
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

func (c *stateCopy) addJobs(e *encoder) {
	slices.SortFunc(c.jobs, func(a, b JobState) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted),
			strings.Compare(a.Job.Identity.Organisation, b.Job.Identity.Organisation),
			strings.Compare(a.Job.Identity.ID, b.Job.Identity.ID))
	})
	for part := range slices.Chunk(c.jobs, encodePart) {
		m := &wire.State{}
		for i := range part {
			m.Jobs = append(m.Jobs, jobStateToWire(&part[i]))
		}
		e.add(m)
	}
}

func (c *stateCopy) addClaims(e *encoder) {
	slices.SortFunc(c.claims, claimOrder)
	bodies := c.bodies
	for part := range slices.Chunk(c.claims, encodePart) {
		m := &wire.State{}
		for _, known := range part {
			var body []byte
			if len(bodies) > 0 && bodies[0].claim == known {
				body, bodies = bodies[0].body, bodies[1:]
			}
			m.Requests = append(m.Requests, requestStateToWire(known.state(body)))
		}
		e.add(m)
	}
}

func (c *stateCopy) addHistory(e *encoder) {
	for part := range slices.Chunk(c.history, encodePart) {
		m := &wire.State{}
		for _, step := range part {
			m.History = append(m.History, jobStepToWire(step))
		}
		e.add(m)
	}
}

func (c *stateCopy) tail() *wire.State {
	m := &wire.State{ClockUnixNanos: nanos(c.now), LostWorkers: c.lost, Needs: c.needs}
	for _, a := range c.audit {
		m.Audit = append(m.Audit, &wire.AuditState{Offset: a.Offset, TimeUnixNanos: nanos(a.Time), Entry: auditToWire(a.Audit)})
	}
	slices.SortFunc(c.writers, func(a, b writerCopy) int { return cmp.Compare(a.name, b.name) })
	for _, w := range c.writers {
		m.Writers = append(m.Writers, &wire.WriterState{
			Writer:            w.name,
			Sequence:          w.state.sequence,
			ChangedUnixNanos:  nanos(w.state.changed),
			ReportedUnixNanos: nanos(w.state.reported),
		})
	}
	return m
}
