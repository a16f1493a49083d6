package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/role/entry"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

const (
	deskToken, operaToken, operatorToken = "desk-token", "opera-token", "operator-token"
	appendTimeout                        = 300 * time.Millisecond // appendTimeout bounds submissions in these tests.
)

// fakeRouter answers each request with its identity and stores the answer for
// Lookup.
type fakeRouter struct {
	mu          sync.Mutex
	answers     map[request.Identity]request.Answer
	hold        chan struct{} // hold blocks Run until it is closed; nil does not block.
	runs        int
	hadDeadline bool // hadDeadline is set if the context of the last Run had a deadline.
}

func (f *fakeRouter) Run(ctx context.Context, r request.Request) request.Answer {
	if f.hold != nil {
		<-f.hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	_, f.hadDeadline = ctx.Deadline()
	a := request.Answer{Identity: r.Identity, Outcome: request.Done, Body: []byte("for " + r.Identity.String())}
	f.answers[r.Identity] = a
	return a
}

func (f *fakeRouter) Refuse(_ context.Context, r request.Request, reason string) request.Answer {
	return request.Answer{Identity: r.Identity, Outcome: request.NotRun, Reason: reason}
}

func (f *fakeRouter) Lookup(_ context.Context, id request.Identity) (request.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.answers[id]
	return a, ok
}

// fakeFleet has workers of 8 accelerators and cannot hold the guarantees of a
// plan with a share of 99.
type fakeFleet struct{}

func (fakeFleet) DataCentres() []entry.DataCentre { return nil }

func (fakeFleet) CanEverRun(j job.Job) error {
	if j.Shape.Accelerators > 8 {
		return errors.New("no worker has so many accelerators")
	}
	return nil
}

func (fakeFleet) CheckGuarantees(c organisation.Configuration) error {
	for _, p := range c.Plans {
		if p.Share == 99 {
			list := &finding.List{}
			list.Addf("allowances.toml", 3, "plan.share", "cannot be kept")
			return list
		}
	}
	return nil
}

func (fakeFleet) Explain(context.Context, journal.JobState) (entry.Explanation, error) {
	return entry.Explanation{WaitsFor: "2 accelerators"}, nil
}

// fixture is an entry with its log and HTTP servers.
type fixture struct {
	t              *testing.T
	log            *logservice.Service
	loseAnswers    atomic.Bool // loseAnswers drops the replies to appends after they took effect, and makes reads fail.
	readLock       sync.Mutex  // readLock delays the result of reads while it is locked.
	client         platformlog.Log
	journal        *journal.Journal
	writer         *journal.Writer
	router         *fakeRouter
	entry          *entry.Entry
	callerServer   *httptest.Server
	operatorServer *httptest.Server
}

func (s *fixture) Append(ctx context.Context, payload []byte) (int64, error) {
	offset, err := s.client.Append(ctx, payload)
	if s.loseAnswers.Load() {
		return 0, errors.New("answer lost")
	}
	return offset, err
}

func (s *fixture) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	page, err := s.client.Read(ctx, from, limit, wait)
	s.readLock.Lock()
	defer s.readLock.Unlock()
	if s.loseAnswers.Load() {
		return platformlog.Page{}, errors.New("log unreachable")
	}
	return page, err
}

func newFixture(t *testing.T, adjust func(*entry.Options)) *fixture {
	t.Helper()
	s := &fixture{t: t, log: logservice.New(logservice.DefaultLimits()), journal: journal.New()}
	s.router = &fakeRouter{answers: map[request.Identity]request.Answer{}}
	server := httptest.NewServer(s.log.Handler())
	s.client = platformlog.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	options := journal.DefaultWriterOptions()
	options.Spacing, options.Backoff = 5*time.Millisecond, 20*time.Millisecond
	s.writer = journal.NewWriter("entry@1", s, s.journal, options)
	barrier := journal.NewReadBarrier(s.writer)
	g := group.New(context.Background())
	g.Go("writer", s.writer.Run)
	g.Go("barrier", barrier.Run)
	g.Go("follower", journal.NewFollower(s.journal, s, nil).Run)
	o := entry.Default()
	o.Tokens = map[string]string{deskToken: "desk", operaToken: "opera", "closed-token": "closed"}
	o.OperatorToken, o.AppendTimeout = operatorToken, appendTimeout
	if adjust != nil {
		adjust(&o)
	}
	s.entry = entry.New(o, s.journal, s.writer, s.router, fakeFleet{}, func() []entry.Member { return nil }, barrier.Wait)
	s.entry.SetReady()
	s.callerServer = httptest.NewServer(s.entry.CallerHandler())
	s.operatorServer = httptest.NewServer(s.entry.OperatorHandler())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
		for _, server := range []*httptest.Server{s.callerServer, s.operatorServer, server} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	plan := organisation.Plan{
		Name: "p", Services: []string{"fitting-desk"}, Kinds: []string{"check"}, AcceleratorLimit: 100, QueueLimit: 10, Share: 1,
	}
	s.mustAppend(journal.ConfigurationPublished{
		Organisations: []organisation.Organisation{
			{Name: "desk", Plan: "p"}, {Name: "opera", Plan: "p"}, {Name: "closed", Plan: "p", Closes: time.Now().Add(-time.Hour)},
		},
		Plans: []organisation.Plan{plan},
	})
	return s
}

// mustAppend appends a record and requires a valid verdict.
func (s *fixture) mustAppend(r journal.Record) journal.Verdict {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	verdict, err := s.writer.Append(ctx, r)
	if err != nil || !verdict.Valid {
		s.t.Fatalf("%T: %+v, %v", r, verdict, err)
	}
	return verdict
}

// reply is the HTTP status and the decoded JSON body of a call.
type reply struct {
	status int
	body   map[string]any
}

func call(t *testing.T, server *httptest.Server, token, method, path, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, server.URL+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	r := reply{status: resp.StatusCode}
	if err := json.Unmarshal(data, &r.body); err != nil {
		t.Fatalf("%s %s: status %d: %s", method, path, resp.StatusCode, data)
	}
	return r
}

func (s *fixture) call(token, method, path, body string) reply {
	s.t.Helper()
	return call(s.t, s.callerServer, token, method, path, body)
}

func (s *fixture) callOperator(method, path, body string) reply {
	s.t.Helper()
	return call(s.t, s.operatorServer, operatorToken, method, path, body)
}
