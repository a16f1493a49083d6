package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/entry"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/traffic/request"
)

func requestBody(id, kind string, deadline time.Duration) string {
	return fmt.Sprintf(`{"id":%q,"service":"fitting-desk","kind":%q,"deadline":%q,"idempotent":true}`,
		id, kind, time.Now().Add(deadline).Format(time.RFC3339Nano))
}

func jobBody(id string, accelerators int) string {
	return fmt.Sprintf(`{"id":%q,"kind":"check","members":1,"accelerators-per-member":%d,"adjacency":"rack","run-time-s":60}`, id, accelerators)
}

// Guards against calls without a known token, and against operator calls that
// are accepted with a caller's token.
func TestTokensAreCheckedPerInterface(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	for _, token := range []string{"", "wrong", operatorToken} {
		c.Assert(s.call(token, "POST", "/v1/requests", requestBody("1", "check", time.Minute)).status, qt.Equals, http.StatusUnauthorized)
	}
	for _, token := range []string{"", deskToken} {
		c.Assert(call(t, s.operatorServer, token, "GET", "/v1/configuration", "").status, qt.Equals, http.StatusUnauthorized)
	}
	c.Assert(s.router.runs, qt.Equals, 0)
}

// Guards against an organisation that can read the requests, answers or jobs of
// another one, in particular if both use the same ID.
func TestOrganisationsAreIsolated(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	c.Assert(s.call(deskToken, "POST", "/v1/requests", requestBody("1", "check", time.Minute)).body["outcome"], qt.Equals, "done")
	c.Assert(s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 1)).status, qt.Equals, http.StatusAccepted)
	for _, path := range []string{"/v1/requests/1", "/v1/jobs/1", "/v1/jobs/1/explanation"} {
		c.Assert(s.call(operaToken, "GET", path, "").status, qt.Equals, http.StatusNotFound, qt.Commentf(path))
		c.Assert(s.call(deskToken, "GET", path, "").status < 300, qt.IsTrue, qt.Commentf(path))
	}
	c.Assert(s.call(operaToken, "DELETE", "/v1/jobs/1", "").status, qt.Equals, http.StatusNotFound)
	theirs := s.call(operaToken, "POST", "/v1/requests", requestBody("1", "check", time.Minute))
	var body []byte
	c.Assert(json.Unmarshal([]byte(fmt.Sprintf("%q", theirs.body["body"])), &body), qt.IsNil)
	c.Assert(string(body), qt.Equals, "for opera/1")
	c.Assert(s.call(operaToken, "POST", "/v1/jobs", jobBody("1", 2)).status, qt.Equals, http.StatusAccepted)
	c.Assert(s.call(operaToken, "DELETE", "/v1/jobs/1", "").body["outcome"], qt.Equals, "not-run")
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/1", "").body["state"], qt.Equals, "queued")
}

// Guards against a router context that ends at the deadline of the request: the
// router could then not confirm after the deadline that the request did not run,
// and would answer Unknown instead of NotRun.
func TestRefusalHasTimeForItsProof(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	s.call(deskToken, "POST", "/v1/requests", requestBody("1", "check", time.Minute))
	c.Assert(s.router.runs, qt.Equals, 1)
	c.Assert(s.router.hadDeadline, qt.IsFalse)
}

// Guards against findings that are reported one at a time, and against values
// that would overflow in later calculations.
func TestFindingsAreCollected(t *testing.T) {
	tests := map[string]struct {
		path, body string
		keys       []string
	}{
		"request": {"/v1/requests", `{"id":"a b"}`, []string{"deadline", "id", "kind", "service"}},
		"job": {"/v1/jobs", `{"id":"1","members":65,"accelerators-per-member":4294967297,"cores-per-member":-1,
			"memory-per-member-mb":9223372036854775807,"adjacency":"city","run-time-s":0,"deadline":"9999-01-01T00:00:00Z","data-centre":"a b"}`,
			[]string{"accelerators-per-member", "adjacency", "cores-per-member", "data-centre", "deadline", "kind", "members", "memory-per-member-mb", "run-time-s"}},
		"unknown key":  {"/v1/jobs", `{"identity":"1"}`, nil},
		"second value": {"/v1/jobs", `{"id":"1"}}`, nil},
		"no JSON":      {"/v1/requests", `id=1`, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newFixture(t, nil).call(deskToken, "POST", tt.path, tt.body)
			c.Assert(r.status, qt.Equals, http.StatusBadRequest)
			var keys []string
			findings, _ := r.body["findings"].([]any)
			for _, f := range findings {
				keys = append(keys, f.(map[string]any)["key"].(string))
			}
			c.Assert(keys, qt.DeepEquals, tt.keys)
		})
	}
}

// Guards against running work that the plan, the deadline or the fleet does not
// allow.
func TestWorkOutsideThePlanIsNotRun(t *testing.T) {
	tests := map[string]struct{ token, path, body, reason string }{
		"closed plan":  {"closed-token", "/v1/requests", requestBody("1", "check", time.Minute), "the plan of closed closed at .*"},
		"unknown kind": {deskToken, "/v1/requests", requestBody("1", "render", time.Minute), "plan p does not include kind render"},
		"too far":      {deskToken, "/v1/requests", requestBody("1", "check", time.Hour), "the deadline is more than 10m0s ahead"},
		"too late":     {deskToken, "/v1/requests", requestBody("1", "check", -time.Second), "the deadline has passed"},
		"closed job":   {"closed-token", "/v1/jobs", jobBody("1", 1), "the plan of closed closed at .*"},
		"never fits":   {deskToken, "/v1/jobs", jobBody("1", 9), "no worker has so many accelerators"},
		"above limit":  {deskToken, "/v1/jobs", jobBody("1", 101), "the job needs 101 accelerators, plan p allows 100"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newFixture(t, nil)
			r := s.call(tt.token, "POST", tt.path, tt.body)
			c.Assert(r.status, qt.Equals, http.StatusOK)
			c.Assert(r.body["outcome"], qt.Equals, "not-run")
			c.Assert(r.body["reason"], qt.Matches, tt.reason)
			c.Assert(s.router.runs, qt.Equals, 0)
			c.Assert(s.journal.Jobs(), qt.HasLen, 0)
		})
	}
}

// Guards against a NotRun answer for a request that ran in an earlier call.
func TestRepeatedRequestKeepsItsOutcome(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	c.Assert(s.call(deskToken, "POST", "/v1/requests", requestBody("1", "check", time.Minute)).body["outcome"], qt.Equals, "done")
	c.Assert(s.call(deskToken, "POST", "/v1/requests", requestBody("1", "check", -time.Second)).body["outcome"], qt.Equals, "done")
	c.Assert(s.router.runs, qt.Equals, 1)
}

// Guards against an outcome that changes, or an answer that looks complete,
// after the journal has dropped the body to bound its memory.
func TestDroppedBodyIsReported(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	const size = 200 << 10
	for i := range journal.MaxBodyBytes/size + 1 {
		id := request.Identity{Organisation: "desk", ID: fmt.Sprint(i)}
		s.mustAppend(journal.RequestClaimed{Identity: id})
		s.mustAppend(journal.RequestFinished{Identity: id, Outcome: request.Done, Body: make([]byte, size)})
	}
	oldest := s.call(deskToken, "GET", "/v1/requests/0", "")
	c.Assert(oldest.body["outcome"], qt.Equals, "done")
	c.Assert(oldest.body["body"], qt.IsNil)
	c.Assert(oldest.body["reason"], qt.Equals, journal.ReasonBodyDropped+" done")
	c.Assert(s.call(deskToken, "GET", "/v1/requests/2", "").body["body"], qt.IsNotNil)
}

// Guards against a job that is accepted twice, and against wrong replies from
// its submission to its cancellation.
func TestJobLifecycle(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	c.Assert(s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 1)).status, qt.Equals, http.StatusAccepted)
	again := s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 8))
	c.Assert(again.status, qt.Equals, http.StatusAccepted)
	c.Assert(again.body["state"], qt.Equals, "queued")
	c.Assert(s.journal.Jobs(), qt.HasLen, 1)
	c.Assert(s.journal.Jobs()[0].Job.Shape.Accelerators, qt.Equals, 1)
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/1/explanation", "").body["waits-for"], qt.Equals, "2 accelerators")
	began := time.Now()
	g := group.New(context.Background())
	g.Go("cancel", func(context.Context) error {
		time.Sleep(200 * time.Millisecond)
		s.call(deskToken, "DELETE", "/v1/jobs/1", "")
		return nil
	})
	ended := s.call(deskToken, "GET", "/v1/jobs/1?wait=20s", "")
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue)
	c.Assert(ended.status, qt.Equals, http.StatusOK)
	c.Assert(ended.body["outcome"], qt.Equals, "not-run")
	c.Assert(s.call(deskToken, "DELETE", "/v1/jobs/1", "").status, qt.Equals, http.StatusOK)
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/1?wait=soon", "").status, qt.Equals, http.StatusBadRequest)
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/1/explanation", "").body["waits-for"], qt.Equals,
		"nothing: the job has ended as not-run: cancelled by the caller")
	history := s.call(deskToken, "GET", "/v1/jobs/1/explanation", "").body["history"].([]any)
	c.Assert(history, qt.HasLen, 1)
	step := history[0].(map[string]any)
	c.Assert(step["offset"], qt.Not(qt.Equals), 0.0)
	c.Assert([]any{step["action"], step["reason"], step["after"]}, qt.DeepEquals, []any{"cancel", "cancelled by the caller", "not-run"})
}

// Guards against explaining a claimed job without its scheduler: the outcome of
// the claim may still be open, and only the scheduler knows for which worker.
func TestClaimedJobIsExplainedByTheScheduler(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	c.Assert(s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 1)).status, qt.Equals, http.StatusAccepted)
	_, err := s.writer.Append(context.Background(), journal.JobClaimed{
		Identity: s.journal.Jobs()[0].Job.Identity, DataCentre: "acari", Workers: []string{"w0"},
	})
	c.Assert(err, qt.IsNil)
	answer := s.call(deskToken, "GET", "/v1/jobs/1/explanation", "")
	c.Assert(answer.body["state"], qt.Equals, "claimed")
	c.Assert(answer.body["waits-for"], qt.Equals, "2 accelerators")
}

// Guards against a wrong answer while the log rejects appends, or when its
// reply to an append is lost.
func TestJobWithoutTheLog(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	c.Assert(s.call(deskToken, "POST", "/v1/jobs", jobBody("1", 1)).status, qt.Equals, http.StatusAccepted)
	s.log.SetFaults(logservice.Faults{Outage: true})
	c.Assert(s.call(deskToken, "POST", "/v1/jobs", jobBody("2", 1)).body["outcome"], qt.Equals, "not-run")
	c.Assert(s.call(deskToken, "DELETE", "/v1/jobs/1", "").status, qt.Equals, http.StatusServiceUnavailable)
	s.log.SetFaults(logservice.Faults{})
	s.loseAnswers.Store(true)
	lost := s.call(deskToken, "POST", "/v1/jobs", jobBody("3", 1))
	c.Assert(lost.body["outcome"], qt.Equals, "unknown")
	s.loseAnswers.Store(false)
	for range 100 {
		if s.call(deskToken, "GET", "/v1/jobs/3", "").status == http.StatusAccepted {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/3", "").body["state"], qt.Equals, "queued")
	c.Assert(s.call(deskToken, "GET", "/v1/jobs/2", "").status, qt.Equals, http.StatusNotFound)
}

// Guards against bodies and concurrent calls above their limits, and against an
// outcome in the reply to a call that the entry rejected at the limit.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, func(o *entry.Options) { o.MaxBodyBytes, o.MaxInFlight = 1000, 1 })
	large := requestBody(strings.Repeat("x", 2000), "check", time.Minute)
	c.Assert(s.call(deskToken, "POST", "/v1/requests", large).status, qt.Equals, http.StatusRequestEntityTooLarge)
	s.router.hold = make(chan struct{})
	g := group.New(context.Background())
	g.Go("first", func(context.Context) error {
		s.call(deskToken, "POST", "/v1/requests", requestBody("1", "check", time.Minute))
		return nil
	})
	for range 100 {
		if s.entry.Counters().Requests.Load() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	second := s.call(deskToken, "GET", "/v1/requests/1", "")
	c.Assert(second.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(second.body["outcome"], qt.IsNil)
	close(s.router.hold)
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(s.call(deskToken, "GET", "/v1/requests/1", "").body["outcome"], qt.Equals, "done")
}

func publishBody(t *testing.T, base int64, share int) string {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"base": base, "operator": "ana", "plans-path": "plans.toml", "allowances-path": "allowances.toml",
		"plans":      "[[organisation]]\nname = \"desk\"\nplan = \"p\"\n",
		"allowances": fmt.Sprintf("[[plan]]\nname = \"p\"\nservices = [\"fitting-desk\"]\nkinds = [\"check\"]\naccelerator-limit = 4\nshare = %d\n", share),
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against publishing an edit that is based on an old version or has
// infeasible guarantees, and against a wrong reply when the log is down or
// loses its reply.
func TestPublish(t *testing.T) {
	c := qt.New(t)
	s := newFixture(t, nil)
	base := s.journal.Configuration().Version
	stale := s.callOperator("POST", "/v1/configuration", publishBody(t, base+1, 3))
	c.Assert(stale.status, qt.Equals, http.StatusConflict)
	c.Assert(stale.body["version"], qt.Equals, float64(base))
	c.Assert(len(stale.body["changes"].([]any)) > 0, qt.IsTrue)
	infeasible := s.callOperator("POST", "/v1/configuration", publishBody(t, base, 99))
	c.Assert(infeasible.status, qt.Equals, http.StatusBadRequest)
	c.Assert(infeasible.body["findings"].([]any)[0].(map[string]any)["message"], qt.Equals, "cannot be kept")
	c.Assert(s.journal.Configuration().Version, qt.Equals, base)
	published := s.callOperator("POST", "/v1/configuration", publishBody(t, base, 3))
	c.Assert(published.status, qt.Equals, http.StatusOK)
	version := int64(published.body["version"].(float64))
	c.Assert(s.journal.Configuration().Version, qt.Equals, version)
	s.loseAnswers.Store(true)
	unconfirmed := s.callOperator("POST", "/v1/configuration", publishBody(t, version, 4))
	c.Assert(unconfirmed.status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(unconfirmed.body["error"], qt.Matches, "not known whether .*")
	s.loseAnswers.Store(false)
	s.log.SetFaults(logservice.Faults{Outage: true})
	refused := s.callOperator("POST", "/v1/configuration", publishBody(t, version, 4))
	c.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(refused.body["error"], qt.Matches, "not published: .*")
}
