package routing

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/traffic/request"
)

// Reasons why it is not certain that a request did not run.
var (
	errTooManyLookupTargets = errors.New("too many agents would have to be asked")
	errNeverCaughtUp        = errors.New("the journal has not caught up with the log since the start")
	errAgentGone            = errors.New("an agent is gone whose last claims may not be folded")
	errAgentListDiffers     = errors.New("another list of agents")
)

// ReadBarrier returns once the journal of this process has folded all records
// that were on the log when ReadBarrier was called, or returns an error if ctx
// ends first. Concurrent calls may share the work.
type ReadBarrier func(ctx context.Context) error

// prover checks whether a non-idempotent request can have run, for this or an
// earlier submission of its identity.
//
// An agent runs such a request only after it has claimed it on the log. While
// the log can be read, the journal shows all claims, and the agents to which the
// identity may have been sent show whether it is queued. Without the log, only an
// agent that was active since the last successful read barrier can have made a
// claim that is not in the journal. The proof then needs a reply of every such
// agent.
type prover struct {
	readBarrier ReadBarrier
	chooser     *chooser
	exchanger   *exchanger
	options     Options
	counters    *Counters

	mu            sync.Mutex
	barrierCount  int     // barrierCount is the number of calls of readBarrier.
	lastBarrier   int     // lastBarrier is the number of the latest call that succeeded; 0 if none has.
	barrierAgents []Agent // barrierAgents are the agents that were known when that call began.
}

// catchUp waits for a read barrier and notes which agents were known before it.
func (p *prover) catchUp(ctx context.Context) error {
	listed := p.chooser.agents()
	p.mu.Lock()
	p.barrierCount++
	number := p.barrierCount
	p.mu.Unlock()
	if err := p.readBarrier(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if number > p.lastBarrier {
		p.lastBarrier, p.barrierAgents = number, listed
	}
	return nil
}

// proveNotRun returns nil if no agent can have run the request outside of what
// the journal shows, or why that is not certain. The caller must read the journal
// again afterwards.
func (p *prover) proveNotRun(ctx context.Context, q request.Request) error {
	agents := p.chooser.agents()
	targets := p.chooser.lookupTargets(q)
	if len(targets) > p.options.MaxLookupTargets {
		return errTooManyLookupTargets
	}
	ownDigest := AgentListDigest(agents)
	g := group.New(ctx)
	listErrs := make([]error, len(targets))
	var barrierErr error
	g.Go("read barrier", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, p.options.BarrierTimeout)
		defer cancel()
		barrierErr = p.catchUp(ctx)
		return nil
	})
	for i, target := range targets {
		p.counters.Lookups.Add(1)
		g.Go("ask "+target.Name, func(ctx context.Context) error {
			digest, err := p.checkNotKnown(ctx, target, q.Identity)
			if digest != ownDigest {
				listErrs[i] = fmt.Errorf("%s: %w", target.Name, errAgentListDiffers)
			}
			return err
		})
	}
	if err := errors.Join(g.Wait(), ctx.Err()); err != nil {
		return err
	}
	if barrierErr == nil {
		return nil
	}
	p.counters.MissedBarriers.Add(1)
	if err := errors.Join(append(listErrs, p.checkGoneAgents(agents, q))...); err != nil {
		return fmt.Errorf("without the log (%w): %w", barrierErr, err)
	}
	return nil
}

// checkNotKnown looks the request up at target and returns an error if target
// knows the request or does not reply. Otherwise it returns the digest of the
// agents that target knows.
func (p *prover) checkNotKnown(ctx context.Context, target Agent, id request.Identity) (uint64, error) {
	_, reply, err := p.exchanger.lookupReply(ctx, target, id)
	if err != nil {
		return 0, err
	}
	if reply.GetFound() {
		return 0, fmt.Errorf("%s: %w", target.Name, errRequestKnown)
	}
	return reply.GetKnownAgents(), nil
}

// checkGoneAgents returns an error if an agent that may have claimed the request
// since the last successful read barrier is dead or no longer listed, so that it
// cannot be asked.
func (p *prover) checkGoneAgents(agents []Agent, q request.Request) error {
	p.mu.Lock()
	last, listed := p.lastBarrier, p.barrierAgents
	p.mu.Unlock()
	if last == 0 {
		return errNeverCaughtUp
	}
	alive := collection.NewSet[string]()
	for _, a := range agents {
		if a.State != Dead {
			alive.Add(a.Name)
		}
	}
	for _, a := range p.chooser.pastLookupTargets(append(slices.Clone(listed), agents...), q) {
		if !alive.Has(a.Name) {
			return fmt.Errorf("%s: %w", a.Name, errAgentGone)
		}
	}
	return nil
}

// AgentListDigest returns the xxhash of the sorted names of the agents that are
// not dead. Processes that know the same agents have the same digest.
func AgentListDigest(agents []Agent) uint64 {
	var names []string
	for _, a := range agents {
		if a.State != Dead {
			names = append(names, a.Name)
		}
	}
	slices.Sort(names)
	return xxhash.Sum64String(strings.Join(names, "\x00"))
}

// CatchUp brings the journal up to date with the log. A proof without the log has
// to ask every agent that was active since the last successful read barrier;
// regular calls keep this period short.
func (c *Client) CatchUp(ctx context.Context) error { return c.prover.catchUp(ctx) }

// confirmNotRun returns the NotRun answer a if it is proved that no submission of
// the identity has run, here or at another entry. Otherwise it returns the outcome
// in the journal, or Unknown.
func (c *Client) confirmNotRun(ctx context.Context, q request.Request, a request.Answer) request.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProofTimeout)
	defer cancel()
	err := c.prover.proveNotRun(ctx, q)
	state, claimed := c.journal.Request(q.Identity)
	switch {
	case claimed && state.Outcome != request.Pending:
		return answerFromRequestState(state)
	case claimed:
		err = fmt.Errorf("claimed by %s", state.Writer)
	}
	if err == nil {
		return a
	}
	c.Counters.UnprovedRefusals.Add(1)
	reason := fmt.Sprintf("%s; not proved: %v", a.Reason, err)
	return request.Answer{Identity: a.Identity, Outcome: request.Unknown, Reason: reason}
}
