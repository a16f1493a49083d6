package journal_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/tenancy/organisation"
)

// Guards against changes that a subscriber misses, above all those that a
// restored snapshot brings, because observers do not see them.
func TestSubscriptionReportsEveryChange(t *testing.T) {
	c := qt.New(t)
	_, address := startService(t)
	p := startProcess(t, "a@1", platformlog.NewClient(address, nil))
	s := p.journal.Subscribe()
	c.Assert(s.Take().All, qt.IsTrue)
	c.Assert(s.Take(), qt.DeepEquals, journal.Changes{})
	ctx := within(t, 4*time.Second)
	shape := organisation.Shape{Members: 1, Adjacency: organisation.WithinWorker}
	for range 2 { // the second record is not valid
		_, err := p.writer.Append(ctx, journal.JobSubmitted{Job: job.Job{Identity: tally, Shape: shape}})
		c.Assert(err, qt.IsNil)
	}
	_, err := p.writer.Append(ctx, journal.ConfigurationPublished{})
	c.Assert(err, qt.IsNil)
	changes := s.Take()
	c.Assert(changes.All, qt.IsFalse)
	c.Assert(changes.Configuration, qt.IsTrue)
	c.Assert(changes.Jobs, qt.HasLen, 1)

	data, _, err := p.journal.Snapshot()
	c.Assert(err, qt.IsNil)
	other := journal.New()
	behind := other.Subscribe()
	behind.Take()
	c.Assert(other.Restore(data), qt.IsNil)
	c.Assert(behind.Take().All, qt.IsTrue)
}
