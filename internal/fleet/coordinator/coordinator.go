// Package coordinator places the tasks of all jobs. One process at a time leads
// a term. The store gives each term a higher number, which fences the earlier
// terms at the ledger and at the minions. That number is the generation of the
// leadership, the epoch of the appends and the token of the calls to minions.
package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
)

// writerName is the writer in the fence of each append. The store refuses
// appends of this writer from earlier terms.
const writerName = "coordinator"

const (
	// campaignInterval is the time between claims of the leadership. Three
	// claims may be lost before it passes to another process.
	campaignInterval = 250 * time.Millisecond
	// successorPollInterval is how often the process that is first in the order
	// of succession looks up the leader. Nothing is placed until it has noticed
	// a vacancy.
	successorPollInterval = 100 * time.Millisecond
	// minLeadershipTTL is the least time for which the store keeps the
	// leadership of a process that has become silent.
	minLeadershipTTL = time.Second
	// campaignTimeout bounds one call of a campaign. A slow store answers
	// within 0.3 s.
	campaignTimeout = 600 * time.Millisecond
	// takeoverTimeout bounds the start of a term. The store refuses appends
	// that would wait for more than 2 s.
	takeoverTimeout = 3 * time.Second
	// defaultSilentHostRetention is how long a silent host without runs is
	// kept. A restarted host is back much sooner.
	defaultSilentHostRetention = time.Minute
	// followerReadInterval is the least time between two reads of the ledger while
	// another process leads. All entries together then make a number of calls to
	// the store that does not depend on how often the coordinator writes. Callers
	// see the end of a job this much later at most.
	followerReadInterval = 100 * time.Millisecond
	// resignTimeout bounds giving up the leadership when the process stops.
	resignTimeout = 500 * time.Millisecond
)

// Options are the settings of a coordinator.
type Options struct {
	// Name is the candidate name of the process; see CandidateName.
	Name string
	// MaxLease is the longest time for which a renewal extends the leases of a host.
	MaxLease time.Duration
	// GangStartTimeout is how long a member of a gang waits for the other members to start; 0 means without limit.
	GangStartTimeout time.Duration
	// TaskStopTimeout is the longest time that a minion takes to stop a task.
	TaskStopTimeout time.Duration
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
	// CheckpointRestoreTime is how long a task takes to restart from a checkpoint.
	CheckpointRestoreTime time.Duration
	// SilentHostRetention is how long a silent host without runs is kept; 0 means one minute.
	SilentHostRetention time.Duration
	// LeadershipTTL is the validity of a leadership claim. It must not be shorter than the minimum TTL of the store;
	// values below one second are raised to one second.
	LeadershipTTL time.Duration
	// Adaptive is set where the declarations of hosts and jobs may be wrong, so that decisions follow what their runs show.
	Adaptive bool
	// EvacuationTimeout is the longest time until no start reaches an evacuated data centre; 0 if none is evacuated.
	EvacuationTimeout time.Duration
	// NoticeTime is how long a long-running task may not have been at work before it counts as unavailable in its
	// disruption budget; 0 where it counts as available until the lease of its host has expired.
	NoticeTime time.Duration
	// Adviser issues the start tickets for jobs of advised queues; nil if there is none.
	Adviser Adviser
}

// Dial returns a client for the agent at an address.
type Dial func(address netip.AddrPort) host.Client

// RefusalCheck reports whether a connection to an address is refused because no
// process listens there.
type RefusalCheck func(ctx context.Context, address netip.AddrPort) bool

// Coordinator campaigns for the leadership and leads the terms that it wins.
type Coordinator struct {
	options           atomic.Pointer[Options]
	metrics           metricSet
	store             ledger.Store
	topic             ledger.Topic
	state             *ledger.State
	reader            *ledger.Reader
	catalogue         *catalogue.Current
	operatorsReadAt   func() time.Duration // operatorsReadAt returns the time up to which catalogue has all records of the operators.
	dial              Dial
	connectionRefused RefusalCheck
	logger            log.Logger

	startedAt        time.Duration // startedAt is when this process began to campaign. Former processes of its member had ended, because they use the same address.
	generation       int64         // generation is that of the leadership in the last reply to a claim.
	confirmedClaimAt time.Duration // confirmedClaimAt is when the claim that won the leadership, or the last one during the takeover, was sent.
	vacancy          vacancy
	takeover         *takeover // takeover is a term that is being started; nil if there is none.
	term             *runningTerm

	leading atomic.Pointer[term] // leading is the term in progress, for calls from outside of Run; nil if there is none.
}

// runningTerm is a term with the group that it runs in.
type runningTerm struct {
	*term
	group *group.Group
}

// New returns a coordinator for the fleet whose ledger is in topic of store.
// state and reader hold that ledger; the caller runs the reader. operatorsReadAt
// returns the time up to which all records of the operators are in current, as a
// reading of boottime, 0 before the first. The coordinator does not lead a term before Run.
func New(options Options, store ledger.Store, topic ledger.Topic, state *ledger.State, reader *ledger.Reader,
	current *catalogue.Current, operatorsReadAt func() time.Duration, dial Dial, connectionRefused RefusalCheck, registry *metrics.Registry, logger log.Logger,
) *Coordinator {
	c := &Coordinator{
		store: store, topic: topic, state: state, reader: reader,
		catalogue: current, operatorsReadAt: operatorsReadAt, dial: dial, connectionRefused: connectionRefused, logger: logger, metrics: newMetricSet(registry),
		vacancy: vacancy{removed: collection.NewSet[string]()},
	}
	c.Apply(options)
	reader.SetReadInterval(followerReadInterval)
	return c
}

// Apply replaces the settings, also those of a term in progress, and may be
// called during Run. The name is kept.
func (c *Coordinator) Apply(options Options) {
	if former := c.options.Load(); former != nil {
		options.Name = former.Name
	}
	options.LeadershipTTL = max(options.LeadershipTTL, minLeadershipTTL)
	if options.SilentHostRetention == 0 {
		options.SilentHostRetention = defaultSilentHostRetention
	}
	c.options.Store(&options)
}

func (c *Coordinator) settings() *Options { return c.options.Load() }

// String names the coordinator.
func (c *Coordinator) String() string { return "coordinator" }

// Run waits until the ledger is loaded and then campaigns for the leadership
// until ctx ends. It then resigns the leadership. It always returns nil. The caller has
// begun to listen at the address of the member.
func (c *Coordinator) Run(ctx context.Context) error {
	c.startedAt = now()
	select {
	case <-c.reader.Loaded():
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil {
		c.campaign(ctx)
		if c.takeover == nil { // continueTakeover has already waited for the takeover.
			_ = group.Pause(ctx, c.campaignDelay())
		}
	}
	held := c.term != nil || c.takeover != nil
	c.stopTakeover()
	c.endTerm("the process stops")
	resignCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	if err := c.store.Resign(resignCtx, c.topic, c.settings().Name); err != nil && held {
		_ = level.Warn(c.logger).Log("event", "resign failed", "reason", err)
	}
	return nil
}

// campaignDelay returns the time until the next claim or leader lookup.
func (c *Coordinator) campaignDelay() time.Duration {
	if c.term == nil && c.successionRank() == 0 {
		return successorPollInterval
	}
	return campaignInterval
}

// campaign claims the leadership once and starts or ends a term accordingly.
func (c *Coordinator) campaign(ctx context.Context) {
	if c.term != nil && c.term.group.Context().Err() != nil {
		c.endTerm("the term has failed")
	}
	if c.term == nil && c.takeover == nil && !c.shouldClaim(ctx) {
		return
	}
	start := now()
	callCtx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	leadership, err := c.store.Campaign(callCtx, c.topic, c.settings().Name, c.generation, c.settings().LeadershipTTL)
	if err != nil {
		if c.term == nil {
			_ = level.Info(c.logger).Log("event", "leadership claim failed", "took", ago(start), "reason", err)
		}
		return
	}
	if c.term == nil && c.takeover == nil || !leadership.IsLeader {
		_ = level.Info(c.logger).Log("event", "leadership claim answered", "holds", leadership.IsLeader, "generation", leadership.Generation, "former", c.generation, "took", ago(start), "rank", c.successionRank())
	}
	c.generation, c.vacancy.since = leadership.Generation, 0
	switch {
	case !leadership.IsLeader:
		c.stopTakeover()
		c.endTerm("another process leads")
		c.withdraw(ctx)
	case c.term != nil:
		c.term.confirmClaim(leadership.Generation, start)
	default:
		if c.takeover == nil || c.takeover.token == leadership.Generation {
			c.confirmedClaimAt = start
		}
		c.continueTakeover(ctx, leadership.Generation)
	}
}

// takeover is the start of a term, which runs concurrently with the claims that
// keep the leadership.
type takeover struct {
	token int64
	group *group.Group
	ready chan bool // ready receives whether the term may begin.
}

// continueTakeover starts a takeover unless one is in progress, and starts the
// term when the takeover has succeeded. It waits for campaignInterval at most,
// so that a takeover at a slow store continues during further claims.
func (c *Coordinator) continueTakeover(ctx context.Context, token int64) {
	if c.takeover == nil {
		o := &takeover{token, group.New(ctx), make(chan bool, 1)}
		c.takeover = o
		o.group.Go("takeover", func(ctx context.Context) error {
			o.ready <- c.prepareTerm(ctx, o.token)
			return nil
		})
	}
	timer := time.NewTimer(campaignInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case ready := <-c.takeover.ready:
		token := c.takeover.token
		c.stopTakeover()
		if ready {
			c.startTerm(ctx, token)
		}
	}
}

// prepareTerm fences the former terms at the store and reads everything that
// they have written to the ledger. It reports whether both have succeeded.
func (c *Coordinator) prepareTerm(ctx context.Context, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	err := c.store.AppendFenced(ctx, c.topic, ledger.Fence{Writer: writerName, Epoch: token}, nil)
	if err == nil {
		err = c.reader.Refresh(ctx)
	}
	if err != nil {
		_ = level.Warn(c.logger).Log("event", "term not begun", "token", token, "reason", err)
	}
	return err == nil
}

func (c *Coordinator) stopTakeover() {
	if c.takeover == nil {
		return
	}
	c.takeover.group.Stop()
	_ = c.takeover.group.Wait() // It returns no error.
	c.takeover = nil
}

func (c *Coordinator) startTerm(ctx context.Context, token int64) {
	g := group.New(ctx)
	t := newTerm(c, token, c.confirmedClaimAt, g)
	c.term = &runningTerm{t, g}
	c.leading.Store(t)
	c.reader.SetReadInterval(0)
	c.metrics.terms.Add(1)
	_ = level.Info(c.logger).Log("event", "term begun", "token", token, "jobs", len(t.jobs), "offset", c.state.Next())
	g.Go("term", t.run)
}

func (c *Coordinator) endTerm(reason string) {
	if c.term == nil {
		return
	}
	c.leading.Store(nil)
	c.term.group.Stop()
	err := c.term.group.Wait()
	c.reader.SetReadInterval(followerReadInterval)
	_ = level.Info(c.logger).Log("event", "term ended", "token", c.term.token, "reason", reason, "error", errorText(err))
	c.term = nil
}

func errorText(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

// IsLeader reports whether a term is in progress. It must not be called
// concurrently with Run.
func (c *Coordinator) IsLeader() bool { return c.term != nil && c.term.group.Context().Err() == nil }

// errFenced ends a term that another one has replaced.
var errFenced = errors.New("another term has begun")
