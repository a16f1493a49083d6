package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// acceptElsewhere submits a job and claims a request as another process.
func (s *site) acceptElsewhere(c *qt.C, id request.Identity) {
	j := journal.New()
	w := journal.NewWriter("entry@2", s.client, j, journal.DefaultWriterOptions())
	g := group.New(context.Background())
	g.Go("writer", w.Run)
	g.Go("follower", journal.NewFollower(j, s.client, nil).Run)
	for _, r := range []journal.Record{
		journal.JobSubmitted{Job: job.Job{
			Identity: id, Kind: "check", Submitted: time.Now(),
			Shape: organisation.Shape{Members: 1, Accelerators: 1, Adjacency: organisation.WithinRack}, RunTime: time.Minute,
		}},
		journal.RequestClaimed{Identity: id, Deadline: time.Now().Add(time.Minute)},
	} {
		verdict, err := w.Append(context.Background(), r)
		c.Assert(err, qt.IsNil)
		c.Assert(verdict.Valid, qt.IsTrue, qt.Commentf("%+v", verdict))
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}

// Guards against an entry that denies work which another entry has accepted a
// moment ago, and that it has not read yet.
func TestAcceptedWorkIsKnownAtEveryEntry(t *testing.T) {
	tests := map[string]struct{ method, path string }{
		"job":         {"GET", "/v1/jobs/1"},
		"cancel":      {"DELETE", "/v1/jobs/1"},
		"explanation": {"GET", "/v1/jobs/1/explanation"},
		"request":     {"GET", "/v1/requests/1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSite(t, nil)
			s.behind.Lock()
			s.acceptElsewhere(c, request.Identity{Organisation: "desk", ID: "1"})
			g := group.New(context.Background())
			g.Go("catch up", func(context.Context) error {
				time.Sleep(patience / 2)
				s.behind.Unlock()
				return nil
			})
			c.Check(s.call(desk, test.method, test.path, "").status < 300, qt.IsTrue)
			c.Assert(g.Wait(), qt.IsNil)
		})
	}
}

// Guards against an entry that denies work although it cannot learn what the
// log holds.
func TestUnknownWorkWithoutTheLog(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, nil)
	for _, path := range []string{"/v1/jobs/1", "/v1/requests/1"} {
		c.Assert(s.call(desk, "GET", path, "").status, qt.Equals, http.StatusNotFound)
		s.log.SetFaults(logservice.Faults{Outage: true})
		c.Assert(s.call(desk, "GET", path, "").status, qt.Equals, http.StatusServiceUnavailable)
		s.log.SetFaults(logservice.Faults{})
	}
	c.Assert(s.entry.Counters().UnconfirmedLookups.Load(), qt.Equals, int64(2))
}
