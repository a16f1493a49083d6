// Package entry implements the HTTP interface with JSON bodies through which
// callers submit work and operators edit the configuration. An entry stores
// nothing itself; durable state is in the log.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Router runs requests on agents.
type Router interface {
	// Run returns the answer by the deadline of the request, or shortly after
	// it when the router has to confirm first that the request did not run.
	Run(ctx context.Context, r request.Request) request.Answer
	// Refuse returns NotRun with the reason, or the outcome of an earlier
	// submission of the request.
	Refuse(ctx context.Context, r request.Request, reason string) request.Answer
	// Lookup returns the answer of a request if an agent still has it.
	Lookup(ctx context.Context, id request.Identity) (request.Answer, bool)
}

// Explanation says why a job waits or where it runs.
type Explanation struct {
	WaitsFor     string // WaitsFor is what the job waits for, or where it runs.
	BlockedBy    string // BlockedBy names what prevents the start; empty when nothing does.
	WouldStartIf string // WouldStartIf is the change that would let the job start; empty when the job has a placement.
}

// DataCentre is the state of a data centre in the last report of its scheduler.
type DataCentre struct {
	Name             string
	Scheduler        string // Scheduler identifies the agent that runs the scheduler.
	Workers          []worker.Worker
	WorkerStates     map[string]string // WorkerStates maps worker names to states.
	FreeAccelerators int
	LargestGang      int     // LargestGang is the number of accelerators of the largest gang that fits within one rack now.
	Fragmentation    float64 // Fragmentation is 1 - LargestGang/FreeAccelerators; 0 when none is free.
	Waiting          int     // Waiting counts jobs without a start decision.
	Running          int     // Running counts jobs with a start decision that have not ended.
}

// Fleet provides what the schedulers of all data centres report.
type Fleet interface {
	// DataCentres returns the last reports, ordered by name.
	DataCentres() []DataCentre
	// CanEverRun returns nil if the job fits in an empty data centre, or if not
	// all schedulers have reported yet. Otherwise it returns an error with the
	// reason of each data centre.
	CanEverRun(j job.Job) error
	// CheckGuarantees returns an error if the reported workers cannot hold all
	// guarantees of a configuration.
	CheckGuarantees(c organisation.Configuration) error
	// Explain returns the explanation of the scheduler that is responsible for
	// the job.
	Explain(ctx context.Context, state journal.JobState) (Explanation, error)
}

// Member is a process of the cluster as operators see it.
type Member struct {
	Name       string
	Role       string
	DataCentre string
	Region     string
	Address    string
	State      string
	Waiting    int // Waiting and Running are the last load that the member reported.
	Running    int
}

// Options are the tokens and limits of an entry.
type Options struct {
	Name          string            // Name is the member name of the entry.
	Tokens        map[string]string // Tokens maps the bearer tokens of callers to organisations.
	OperatorToken string            // OperatorToken is the bearer token of operators; empty refuses all operator calls.
	MaxBodyBytes  int64             // MaxBodyBytes bounds the body of a call.
	MaxInFlight   int               // MaxInFlight bounds the concurrent calls of callers; more are refused.
	MaxDeadline   time.Duration     // MaxDeadline is how far ahead a request may set its deadline.
	AppendTimeout time.Duration     // AppendTimeout bounds how long a submission, cancellation or publication waits for the log.
	MaxJobWait    time.Duration     // MaxJobWait bounds how long a call may wait for the end of a job.
}

// Default returns the options of an entry without tokens.
func Default() Options {
	return Options{
		MaxBodyBytes:  1 << 20,
		MaxInFlight:   2000,
		MaxDeadline:   10 * time.Minute,
		AppendTimeout: 5 * time.Second,
		MaxJobWait:    time.Minute,
	}
}

// Entry serves the HTTP calls of callers and operators.
type Entry struct {
	options     Options
	journal     *journal.Journal
	writer      *journal.Writer
	router      Router
	fleet       Fleet
	members     func() []Member
	readBarrier func(context.Context) error // readBarrier waits until the journal holds every record that was in the log when it was called.
	now         func() time.Time

	inFlight atomic.Int64
	ready    atomic.Bool // ready is set once the journal has caught up with the log.
	draining atomic.Bool
	counters *Counters
}

// New returns an entry. It calls readBarrier before it tells a caller that work
// is unknown.
func New(
	o Options, j *journal.Journal, w *journal.Writer, r Router, f Fleet, members func() []Member, readBarrier func(context.Context) error,
) *Entry {
	return &Entry{
		options:     o,
		journal:     j,
		writer:      w,
		router:      r,
		fleet:       f,
		members:     members,
		readBarrier: readBarrier,
		now:         time.Now,
		counters:    &Counters{},
	}
}

// Counters returns the counters of the entry.
func (e *Entry) Counters() *Counters { return e.counters }

// SetReady opens the entry to callers. Call it once the journal has caught up
// with the log: before that, the entry knows no plans and would refuse work
// that other entries accept.
func (e *Entry) SetReady() { e.ready.Store(true) }

// Drain makes the health check fail, so that the load balancer sends no new
// calls.
func (e *Entry) Drain() { e.draining.Store(true) }

// CallerHandler returns the HTTP handler for callers and for the health check
// of the load balancer.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.handleHealth)
	mux.HandleFunc("POST /v1/requests", e.requireCaller(e.handleRequestSubmit))
	mux.HandleFunc("GET /v1/requests/{id}", e.requireCaller(e.handleRequestStatus))
	mux.HandleFunc("POST /v1/jobs", e.requireCaller(e.handleJobSubmit))
	mux.HandleFunc("GET /v1/jobs/{id}", e.requireCaller(e.handleJobStatus))
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.requireCaller(e.handleJobCancel))
	mux.HandleFunc("GET /v1/jobs/{id}/explanation", e.requireCaller(e.handleExplanation))
	return mux
}

func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !e.ready.Load():
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	case e.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// callerHandlerFunc handles a call of an authenticated organisation.
type callerHandlerFunc func(w http.ResponseWriter, r *http.Request, organisation string)

// requireCaller refuses calls until the entry is ready, authenticates the
// caller, and enforces MaxInFlight and MaxBodyBytes before it calls next.
func (e *Entry) requireCaller(next callerHandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.ready.Load() {
			writeProblem(w, http.StatusServiceUnavailable, "the entry has not read the log yet; ask again")
			return
		}
		organisationName, ok := e.authenticate(r)
		if !ok {
			writeProblem(w, http.StatusUnauthorized, "the bearer token is missing or unknown")
			return
		}
		if e.inFlight.Add(1) > int64(e.options.MaxInFlight) {
			e.inFlight.Add(-1)
			e.counters.Refused.Add(1)
			// The reply has no outcome, because an earlier call with the same
			// identity may have run.
			writeProblem(w, http.StatusServiceUnavailable, "the entry is at its limit of open calls; this call did nothing")
			return
		}
		defer e.inFlight.Add(-1)
		r.Body = http.MaxBytesReader(w, r.Body, e.options.MaxBodyBytes)
		next(w, r, organisationName)
	}
}
