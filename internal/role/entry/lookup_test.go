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

// acceptAtOtherEntry appends a submitted job and a claimed request with the
// journal writer of another entry.
func (s *fixture) acceptAtOtherEntry(c *qt.C, id request.Identity) {
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

// Guards against an entry that reports work as unknown because another entry
// accepted it a moment ago and this one has not read the record yet.
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
			s := newFixture(t, nil)
			s.readLock.Lock()
			s.acceptAtOtherEntry(c, request.Identity{Organisation: "desk", ID: "1"})
			g := group.New(context.Background())
			g.Go("catch up", func(context.Context) error {
				time.Sleep(appendTimeout / 2)
				s.readLock.Unlock()
				return nil
			})
			c.Check(s.call(deskToken, test.method, test.path, "").status < 300, qt.IsTrue)
			c.Assert(g.Wait(), qt.IsNil)
		})
	}
}

// Guards against an entry that reports work as unknown while it cannot read the
// log.
func TestUnknownWorkWithoutTheLog(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	for _, path := range []string{"/v1/jobs/1", "/v1/requests/1"} {
		c.Assert(s.call(deskToken, "GET", path, "").status, qt.Equals, http.StatusNotFound)
		s.log.SetFaults(logservice.Faults{Outage: true})
		c.Assert(s.call(deskToken, "GET", path, "").status, qt.Equals, http.StatusServiceUnavailable)
		s.log.SetFaults(logservice.Faults{})
	}
	c.Assert(s.entry.Counters().UnconfirmedLookups.Load(), qt.Equals, int64(2))
}

// Guards against a NotRun answer for a job that another entry accepted a moment
// ago, if this entry refuses the repeat of the call.
func TestRefusedRepeatOfAnAcceptedJob(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	s.readLock.Lock()
	s.acceptAtOtherEntry(c, request.Identity{Organisation: "desk", ID: "1"})
	g := group.New(context.Background())
	g.Go("catch up", func(context.Context) error {
		time.Sleep(appendTimeout / 2)
		s.readLock.Unlock()
		return nil
	})
	repeat := s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 101))
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(repeat.body["state"], qt.Equals, "queued", qt.Commentf("%v", repeat.body))
}
