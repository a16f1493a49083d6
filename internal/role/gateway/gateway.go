// Package gateway answers the calls of clients on queues of jobs. It accepts a
// job by writing it to the ledger, and answers all questions from its fold of
// the ledger.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	// answerMargin is kept of a client's waiting time for the way back.
	answerMargin = 200 * time.Millisecond
	// refreshTimeout bounds a read that a denial waits for.
	refreshTimeout = 500 * time.Millisecond
	// storedInterval is how often the ledger is looked at while an append has no
	// answer.
	storedInterval = 50 * time.Millisecond
	// appendPause is the time between two tries.
	appendPause = 50 * time.Millisecond
	// retryAfter is when a client that was refused during a disturbance should
	// come back: the store is asked again well within it.
	retryAfter = time.Second
)

// Method is what a call asks for.
type Method int

// The methods.
const (
	Submit Method = iota
	Status
	Cancel
	Count
)

var methodNames = [...]string{"submit", "status", "cancel", "count"}

// String returns the name of the method.
func (m Method) String() string { return methodNames[m] }

// Call is a call of a client.
type Call struct {
	Method    Method
	Host      string // Host is the virtual host.
	Path      string // Path begins with the prefix of a queue; a job's identity follows, except for Count.
	Key       string
	Wait      time.Duration // Wait is how long the client waits for the answer.
	Body      []byte
	Forwarded bool // Forwarded calls come from another entry and are not forwarded again.
}

// Outcome is the kind of an answer.
type Outcome int

// The outcomes.
const (
	Accepted     Outcome = iota // Accepted jobs are durable.
	Known                       // Known jobs have a state.
	Counted                     // Counted answers have the number of pending jobs.
	UnknownQueue                // UnknownQueue means that no queue has the path.
	UnknownJob
	Unauthorised
	Invalid     // Invalid calls cannot be read.
	Refused     // Refused calls have certainly had no effect.
	Undecided   // Undecided calls may have had their effect; the client asks again.
	Unavailable // Unavailable means that a question cannot be answered now.
)

var outcomeNames = [...]string{"accepted", "known", "counted", "unknown-queue", "unknown-job", "unauthorised", "invalid", "refused", "undecided", "unavailable"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the answer to a call.
type Answer struct {
	Outcome    Outcome
	State      workload.State // State of a known job.
	Pending    int            // Pending is the number of counted jobs.
	Reason     string         // Reason says why a call was not served.
	RetryAfter time.Duration  // RetryAfter is when to come back; 0 when it is left to the client.
	Version    int64          // Version of the configuration that the answer is based on; 0 when there was none.
}

// Submission is what a client submits.
type Submission struct {
	Spec     string
	Steps    []workload.Step
	Schedule workload.Schedule
}

// Peer is another entry.
type Peer interface {
	Forward(ctx context.Context, c Call) (Answer, error)
}

// Options are the settings of a gateway.
type Options struct {
	Topic        ledger.Topic
	MaxConfigAge time.Duration // FreshTime is how old the confirmation of the configuration may be.
	HasAdviser   bool          // Advised says that there is a placement adviser for the queues that need one.
	Decode       func(body []byte) (Submission, error)
	Registry     *metrics.Registry
	// Peers returns the other entries in the order in which they are asked.
	Peers func() []Peer
}

// Gateway answers calls. It is safe for concurrent use.
type Gateway struct {
	options   Options
	store     ledger.Store
	state     *ledger.State
	jobs      *ledger.Reader // jobs keeps state in step with the ledger.
	plans     *ledger.Reader // plans keeps current in step with the operators' topic.
	current   *catalogue.Current
	logger    log.Logger
	leaving   atomic.Bool
	freshTime atomic.Int64    // freshTime is the limit in force of Options.FreshTime.
	doubted   atomic.Int64    // doubted is when a call last came that the configuration in force denied, in Unix nanoseconds.
	shown     atomic.Int64    // shown is the newest version of the configuration whose effect a client has seen here.
	appends   adaptiveTimeout // appends bounds the tries of appends.
	figures   figures
}

// New returns a gateway.
func New(options Options, store ledger.Store, state *ledger.State, jobs, plans *ledger.Reader, current *catalogue.Current, logger log.Logger) *Gateway {
	g := &Gateway{
		options: options, store: store, state: state, jobs: jobs, plans: plans, current: current, logger: logger,
		figures: newFigures(options.Registry),
	}
	g.SetMaxConfigAge(options.MaxConfigAge)
	return g
}

// SetMaxConfigAge replaces Options.FreshTime.
func (g *Gateway) SetMaxConfigAge(d time.Duration) { g.freshTime.Store(int64(d)) }

// Ready reports whether the gateway can serve calls by itself.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.current.Get() != nil && g.fresh() && !g.jobs.AsOf().IsZero()
}

// Drain makes the gateway report that it is not ready. It goes on answering.
func (g *Gateway) Drain() { g.leaving.Store(true) }

// Draining reports whether Leave was called.
func (g *Gateway) Draining() bool { return g.leaving.Load() }

// fresh reports whether the configuration in force was confirmed lately, and
// since the last denial, and is not older than one that a client has seen here.
func (g *Gateway) fresh() bool {
	return g.version() >= g.shown.Load() && g.plans.AsOf().UnixNano() >= g.doubted.Load() && time.Since(g.plans.AsOf()) < time.Duration(g.freshTime.Load())
}

// Serve answers a call within the time that the client waits.
func (g *Gateway) Serve(ctx context.Context, c Call) Answer {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(c.Wait-answerMargin, answerMargin))
	defer cancel()
	answer := g.serve(ctx, c)
	if answer.Version == 0 {
		answer.Version = g.version()
	}
	g.figures.count(c.Method, answer.Outcome, time.Since(begin))
	_ = level.Info(g.logger).Log("event", "call", "method", c.Method, "job", jobOf(c.Path), "outcome", answer.Outcome, "state", answer.State,
		"reason", answer.Reason, "took", time.Since(begin).Round(time.Microsecond), "forwarded", c.Forwarded,
		"configuration", answer.Version, "configuration-age", age(g.plans.AsOf()), "ledger-age", age(g.jobs.AsOf()), "offset", g.state.Next())
	return answer
}

// version returns the version of the configuration in force, 0 when there is
// none.
func (g *Gateway) version() int64 {
	if plans := g.current.Get(); plans != nil {
		return plans.Version
	}
	return 0
}

// raise sets a value that only grows.
func raise(value *atomic.Int64, to int64) {
	for {
		former := value.Load()
		if to <= former || value.CompareAndSwap(former, to) {
			return
		}
	}
}

func age(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Round(time.Millisecond)
}

func jobOf(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return path[i+1:]
		}
	}
	return path
}

func (g *Gateway) serve(ctx context.Context, c Call) Answer {
	arrived := time.Now()
	if !g.fresh() && (g.refresh(ctx, g.plans) != nil || !g.fresh()) {
		return g.forward(ctx, c, Answer{Outcome: Refused, Reason: "the configuration cannot be confirmed", RetryAfter: retryAfter})
	}
	if g.current.Get() == nil {
		return g.forward(ctx, c, Answer{Outcome: Refused, Reason: "there is no configuration", RetryAfter: retryAfter})
	}
	admitted, denial := g.admit(c)
	if denial != nil && g.plans.AsOf().Before(arrived) {
		// What is denied may have been allowed a moment ago. Until that is known,
		// no later call is answered by the configuration in force.
		raise(&g.doubted, arrived.UnixNano())
		if g.refresh(ctx, g.plans) != nil {
			return g.forward(ctx, c, Answer{Outcome: Refused, Reason: "a denial cannot be confirmed", RetryAfter: retryAfter})
		}
		admitted, denial = g.admit(c)
	}
	if denial != nil {
		return *denial
	}
	switch c.Method {
	case Submit:
		return g.submit(ctx, c, admitted)
	case Cancel:
		return g.cancel(ctx, c, admitted)
	case Count:
		return Answer{Outcome: Counted, Pending: g.state.Pending(admitted.queue.Name)}
	default:
		return g.status(ctx, c, admitted)
	}
}

func (g *Gateway) refresh(ctx context.Context, r *ledger.Reader) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return r.Refresh(ctx)
}

// admission is a call that the configuration allows.
type admission struct {
	queue        catalogue.Queue
	organisation string // organisation is empty on public queues.
	job          workload.ID
}

// admit returns why the configuration in force does not allow a call.
func (g *Gateway) admit(c Call) (admission, *Answer) {
	plans := g.current.Get()
	queue, ok := plans.FindQueue(c.Host, c.Path).Get()
	if !ok {
		return admission{}, &Answer{Outcome: UnknownQueue, Reason: "no queue has this path"}
	}
	a := admission{queue: queue, job: workload.ID(c.Path[len(queue.PathPrefix):])}
	a.organisation, ok = plans.KeyOwner(c.Key)
	if !ok && !queue.Public {
		return admission{}, &Answer{Outcome: Unauthorised, Reason: "the key is not known"}
	}
	if c.Method != Count && !validID(a.job) {
		return admission{}, &Answer{Outcome: Invalid, Reason: "the path does not end in the identity of a job"}
	}
	return a, nil
}

// idDigits is the length of an identity.
const idDigits = 16

func validID(id workload.ID) bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// find returns a job that belongs to the caller. What is not known is read
// anew before it is denied.
func (g *Gateway) find(ctx context.Context, a admission) (ledger.JobEntry, *Answer) {
	e, ok := g.state.Job(a.job)
	if !ok {
		if err := g.refresh(ctx, g.jobs); err != nil {
			return e, &Answer{Outcome: Unavailable, Reason: "the ledger cannot be read", RetryAfter: retryAfter}
		}
		e, ok = g.state.Job(a.job)
	}
	if !ok || e.Job.Organisation != a.organisation {
		return e, &Answer{Outcome: UnknownJob, Reason: "no such job"}
	}
	return e, nil
}

func (g *Gateway) status(ctx context.Context, c Call, a admission) Answer {
	e, denial := g.find(ctx, a)
	switch {
	case denial == nil:
		return Answer{Outcome: Known, State: e.State()}
	case denial.Outcome == Unavailable:
		return g.forward(ctx, c, *denial)
	default:
		return *denial
	}
}

// forward asks other entries. It returns fallback when none gives an answer
// that is more definite.
func (g *Gateway) forward(ctx context.Context, c Call, fallback Answer) Answer {
	if c.Forwarded {
		return fallback
	}
	for _, peer := range g.options.Peers() {
		if deadline, ok := ctx.Deadline(); ok {
			c.Wait = time.Until(deadline)
		}
		answer, err := peer.Forward(ctx, c)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			_ = level.Info(g.logger).Log("event", "forward failed", "method", c.Method, "job", jobOf(c.Path), "reason", err)
			if c.Method == Submit || c.Method == Cancel {
				fallback.Outcome = Undecided // The other entry may have carried it out.
			}
			continue
		}
		raise(&g.shown, answer.Version)
		switch answer.Outcome {
		case Refused, Unavailable:
			continue
		case Undecided:
			fallback.Outcome = Undecided
			continue
		case Accepted, Known, Counted:
			return answer
		}
		if fallback.Outcome == Undecided { // What was tried before may still be done.
			return fallback
		}
		return answer
	}
	return fallback
}
