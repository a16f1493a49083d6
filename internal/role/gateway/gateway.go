// Package gateway serves client calls on job queues. It accepts a job by writing it
// to the ledger, and answers queries from its fold of the ledger.
package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/semaphore"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	// responseMargin is the part of a client's wait reserved for sending the answer.
	responseMargin = 200 * time.Millisecond
	// refreshTimeout limits a read that confirms the configuration or an unknown job.
	refreshTimeout = 500 * time.Millisecond
	// ledgerPollInterval is the time between checks of the ledger while an append is
	// unanswered.
	ledgerPollInterval = 50 * time.Millisecond
	// resultPollInterval is the time between checks of the ledger while a stored record
	// is not folded yet.
	resultPollInterval = 5 * time.Millisecond
	// appendRetryInterval is the pause between two append attempts.
	appendRetryInterval = 50 * time.Millisecond
	// retryAfter is the retry delay for clients refused during an outage. The gateway
	// retries the store well within this time.
	retryAfter = time.Second
	// maxDecoding bounds how many jobs are decoded at a time.
	maxDecoding = 2
)

// Method is the operation that a call requests.
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
func (m Method) String() string {
	if m < 0 || int(m) >= len(methodNames) {
		return fmt.Sprintf("method(%d)", int(m))
	}
	return methodNames[m]
}

// Call is a client request.
type Call struct {
	Method    Method
	Host      string        // Host is the virtual host.
	Path      string        // Path is the path prefix of a queue, followed by the ID of a job except for Count.
	Key       string        // Key is the API key; empty when the client sent none.
	Wait      time.Duration // Wait is the client's timeout for the answer.
	Body      []byte
	Forwarded bool // Forwarded is set for calls from another entry, which are not forwarded again.
	// ReadBody reads the body of a Submit call; nil if Body has it. It is called at most
	// once, and only if the body is needed: to submit the job or to forward the call. If
	// it fails, it returns the answer to the call.
	ReadBody func() ([]byte, *Answer)
}

// Outcome is the result of a call.
type Outcome int

// The outcomes.
const (
	Accepted     Outcome = iota // Accepted means that the job is durable.
	Known                       // Known means that the answer has the state of the job.
	Counted                     // Counted means that the answer has the number of pending jobs.
	UnknownQueue                // UnknownQueue means that no queue matches the host and path.
	UnknownJob                  // UnknownJob means that no such job exists; a cancelled one will not run either.
	Unauthorised
	Invalid     // Invalid means that the call is malformed.
	Refused     // Refused means that the call definitely had no effect.
	Undecided   // Undecided means that the call may have had its effect; the client must retry.
	Unavailable // Unavailable means that a query cannot be answered now.
	TooLarge    // TooLarge means that the body is over its limit. Entries don't forward it.
	TooSlow     // TooSlow means that the body did not arrive in time. Entries don't forward it.
)

var outcomeNames = [...]string{"accepted", "known", "counted", "unknown-queue", "unknown-job", "unauthorised", "invalid", "refused", "undecided", "unavailable", "too-large", "too-slow"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Answer is the answer to a call.
type Answer struct {
	Outcome    Outcome
	State      workload.State // State is the state of the job if Known.
	Pending    int            // Pending is the number of pending jobs if Counted.
	Reason     string         // Reason explains the outcome to the client.
	RetryAfter time.Duration  // RetryAfter is the retry delay; 0 leaves it to the client.
	Version    int64          // Version is the version of the configuration behind the answer; 0 for none.
}

// Submission is the decoded body of a Submit call.
type Submission struct {
	Spec     string
	Steps    []workload.Step
	Schedule workload.Schedule
}

// Peer forwards calls to another entry.
type Peer interface {
	// Forward returns the answer of the other entry. After an error that does not wrap
	// ErrNotSent, the other entry may have applied the call.
	Forward(ctx context.Context, c Call) (Answer, error)
}

// Options are the settings of a gateway.
type Options struct {
	Topic        ledger.Topic                          // Topic holds the records of jobs.
	MaxConfigAge time.Duration                         // MaxConfigAge is the maximum time since the configuration was last confirmed.
	HasAdviser   bool                                  // HasAdviser is set when a placement adviser is available to the queues that need one.
	Decode       func(body []byte) (Submission, error) // Decode parses the body of a Submit call.
	Registry     *metrics.Registry
	// Peers returns the other entries in the order of forwarding.
	Peers func() []Peer
}

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	options       Options
	store         ledger.Store
	state         *ledger.State
	jobReader     *ledger.Reader // jobReader keeps state up to date with the ledger.
	configReader  *ledger.Reader // configReader keeps currentConfig up to date with the operators' topic.
	currentConfig *catalogue.Current
	logger        log.Logger
	draining      atomic.Bool
	maxConfigAge  atomic.Int64        // maxConfigAge is the current value of Options.MaxConfigAge, in nanoseconds.
	lastDenial    atomic.Int64        // lastDenial is when the last call arrived that admit denied before the denial was confirmed, as a reading of configReader.Now.
	seenVersion   atomic.Int64        // seenVersion is the newest configuration version of the answers to forwarded calls.
	appendTimeout adaptiveTimeout     // appendTimeout limits append attempts.
	decoding      *semaphore.Weighted // decoding bounds how many jobs are decoded at a time, because they take most memory then.
	metrics       callMetrics
}

// New returns a gateway. jobReader keeps state up to date, and configReader keeps
// current up to date.
func New(options Options, store ledger.Store, state *ledger.State, jobReader, configReader *ledger.Reader, current *catalogue.Current, logger log.Logger) *Gateway {
	g := &Gateway{
		options: options, store: store, state: state, jobReader: jobReader, configReader: configReader, currentConfig: current, logger: logger,
		metrics: newCallMetrics(options.Registry), decoding: semaphore.NewWeighted(maxDecoding),
	}
	g.SetMaxConfigAge(options.MaxConfigAge)
	return g
}

// SetMaxConfigAge replaces Options.MaxConfigAge.
func (g *Gateway) SetMaxConfigAge(d time.Duration) { g.maxConfigAge.Store(int64(d)) }

// Ready reports whether the gateway can serve calls without other entries.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.currentConfig.Get() != nil && g.configFresh() && !g.jobReader.AsOf().IsZero()
}

// Drain makes Ready report false. The gateway continues to serve calls.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// configFresh reports whether the configuration in force was confirmed within
// maxConfigAge and since the last denial, and is not older than that of any answer to
// a forwarded call. Time in which the host is suspended counts.
func (g *Gateway) configFresh() bool {
	readAt := g.configReader.ReadAt()
	return g.configVersion() >= g.seenVersion.Load() && readAt > 0 && int64(readAt) >= g.lastDenial.Load() && int64(g.configReader.Now()-readAt) < g.maxConfigAge.Load()
}

// Serve answers a call within the client's timeout and logs it.
func (g *Gateway) Serve(ctx context.Context, c Call) Answer {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(c.Wait-responseMargin, responseMargin))
	defer cancel()
	active := &activeCall{Call: c}
	answer := active.conclude(g.serve(ctx, active))
	if answer.Version == 0 {
		answer.Version = g.configVersion()
	}
	g.metrics.record(c.Method, answer.Outcome, time.Since(begin))
	_ = level.Info(g.logger).Log("event", "call", "method", c.Method, "job", jobIDFromPath(c.Path), "outcome", answer.Outcome, "state", answer.State,
		"reason", shorten(answer.Reason), "took", time.Since(begin).Round(time.Microsecond), "forwarded", c.Forwarded, "attempts", active.attempts.made, "unproved", active.attempts.unproved,
		"configuration", answer.Version, "configuration-age", ageOf(g.configReader.AsOf()), "ledger-age", ageOf(g.jobReader.AsOf()), "offset", g.state.Next())
	return answer
}

// configVersion returns the version of the configuration in force, 0 if there is
// none.
func (g *Gateway) configVersion() int64 {
	if config := g.currentConfig.Get(); config != nil {
		return config.Version
	}
	return 0
}

// raiseTo atomically raises a value to at least the given one.
func raiseTo(value *atomic.Int64, to int64) {
	for {
		former := value.Load()
		if to <= former || value.CompareAndSwap(former, to) {
			return
		}
	}
}

// ageOf returns the time since at, -1 if at is zero.
func ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Round(time.Millisecond)
}

// jobIDFromPath returns the last element of the path, shortened.
func jobIDFromPath(path string) string {
	return shorten(path[strings.LastIndexByte(path, '/')+1:])
}

// maxLoggedBytes bounds text of a client in a log line.
const maxLoggedBytes = 256

func shorten(text string) string {
	if len(text) > maxLoggedBytes {
		return text[:maxLoggedBytes] + "..."
	}
	return text
}

func (g *Gateway) serve(ctx context.Context, c *activeCall) Answer {
	arrivedAt := g.configReader.Now()
	if !g.configFresh() {
		if answer, confirmed := g.confirmConfig(ctx, c); !confirmed {
			return answer
		}
	}
	if g.currentConfig.Get() == nil {
		return g.forward(ctx, c, Answer{Outcome: Refused, Reason: "there is no configuration", RetryAfter: retryAfter})
	}
	admitted, denial := g.admit(c.Call)
	if denial != nil && g.configReader.ReadAt() < arrivedAt {
		// The configuration in force may be outdated. Until it is confirmed, no later
		// call is answered by it.
		raiseTo(&g.lastDenial, int64(arrivedAt))
		if g.refresh(ctx, g.configReader, refreshTimeout) != nil {
			return g.forward(ctx, c, Answer{Outcome: Refused, Reason: "a denial cannot be confirmed", RetryAfter: retryAfter})
		}
		admitted, denial = g.admit(c.Call)
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
		return Answer{Outcome: Counted, Pending: g.state.PendingCount(admitted.queue.Name)}
	default:
		return g.status(ctx, c, admitted)
	}
}

// refresh brings a reader up to date within a time limit.
func (g *Gateway) refresh(ctx context.Context, r *ledger.Reader, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.Refresh(ctx)
}

// admission describes a call that the configuration permits.
type admission struct {
	queue        catalogue.Queue
	organisation string // organisation is empty for unknown keys on public queues.
	job          workload.ID
}

// admit checks a call against the configuration in force. It returns a denial, the
// answer to a call that the configuration does not permit, or nil.
func (g *Gateway) admit(c Call) (admission, *Answer) {
	config := g.currentConfig.Get()
	queue, ok := config.FindQueue(c.Host, c.Path).Get()
	if !ok {
		return admission{}, &Answer{Outcome: UnknownQueue, Reason: "no queue has this path"}
	}
	a := admission{queue: queue, job: workload.ID(c.Path[len(queue.PathPrefix):])}
	a.organisation, ok = config.KeyOwner(c.Key)
	if !ok && !queue.Public {
		return admission{}, &Answer{Outcome: Unauthorised, Reason: "the key is not known"}
	}
	if c.Method != Count && !validID(a.job) {
		return admission{}, &Answer{Outcome: Invalid, Reason: "the path does not end in the identity of a job"}
	}
	return a, nil
}

// idDigits is the number of hexadecimal digits of a job ID.
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

// findJob returns a job of the caller's organisation, or the answer if there is none.
// It reads the ledger again before it answers that the job is not known.
func (g *Gateway) findJob(ctx context.Context, a admission) (ledger.JobEntry, *Answer) {
	e, ok := g.state.Job(a.job)
	if !ok {
		if err := g.refresh(ctx, g.jobReader, refreshTimeout); err != nil {
			return e, &Answer{Outcome: Unavailable, Reason: "the ledger cannot be read", RetryAfter: retryAfter}
		}
		e, ok = g.state.Job(a.job)
	}
	if !ok || e.Job.Organisation != a.organisation {
		return e, &Answer{Outcome: UnknownJob, Reason: "no such job"}
	}
	return e, nil
}

func (g *Gateway) status(ctx context.Context, c *activeCall, a admission) Answer {
	e, denial := g.findJob(ctx, a)
	switch {
	case denial == nil:
		return Answer{Outcome: Known, State: e.State()}
	case denial.Outcome == Unavailable:
		return g.forward(ctx, c, *denial)
	default:
		return *denial
	}
}
