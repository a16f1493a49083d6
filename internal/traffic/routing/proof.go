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

var (
	errTooManyWitnesses = errors.New("too many agents would have to be asked")
	errNeverCurrent     = errors.New("the journal has not caught up with the log since the start")
	errGone             = errors.New("an agent is gone whose last claims may not be folded")
	errUnlisted         = errors.New("another list of agents")
)

// ReadBarrier returns once the journal of this process has folded everything that was
// on the log when ReadBarrier was called, or an error when ctx ends first. Calls that
// wait together may share the work.
type ReadBarrier func(ctx context.Context) error

// prover finds out whether a non-idempotent request can have run, for this or
// an earlier submission of its identity.
//
// A run needs a claim. When the log can be read, the journal shows all claims,
// and the agents to which the identity may have been sent show whether it waits.
// Without the log, a claim that is not folded here can only be that of an agent
// which worked since the journal was last current. The proof then needs an
// answer of every such agent.
type prover struct {
	sync      ReadBarrier
	chooser   *chooser
	exchanger *exchanger
	options   Options
	counters  *Counters

	mu     sync.Mutex
	begun  int     // begun counts calls of sync.
	last   int     // last is the number of the latest call that succeeded; 0 before.
	listed []Agent // listed are the agents that were known when that call began.
}

// catchUp syncs the journal.
func (p *prover) catchUp(ctx context.Context) error {
	listed := p.chooser.agents()
	p.mu.Lock()
	p.begun++
	number := p.begun
	p.mu.Unlock()
	if err := p.sync(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if number > p.last {
		p.last, p.listed = number, listed
	}
	return nil
}

// prove returns why it is not proved that the request did not run. The journal
// must be read again after it.
func (p *prover) prove(ctx context.Context, q request.Request) error {
	agents := p.chooser.agents()
	witnesses := p.chooser.witnesses(q)
	if len(witnesses) > p.options.MaxLookupTargets {
		return errTooManyWitnesses
	}
	known := Digest(agents)
	g := group.New(ctx)
	unlisted := make([]error, len(witnesses))
	var behind error
	g.Go("read barrier", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, p.options.BarrierTimeout)
		defer cancel()
		behind = p.catchUp(ctx)
		return nil
	})
	for i, target := range witnesses {
		p.counters.Lookups.Add(1)
		g.Go("ask "+target.Name, func(ctx context.Context) error {
			listed, err := p.ask(ctx, target, q.Identity)
			if listed != known {
				unlisted[i] = fmt.Errorf("%s: %w", target.Name, errUnlisted)
			}
			return err
		})
	}
	if err := errors.Join(g.Wait(), ctx.Err()); err != nil {
		return err
	}
	if behind == nil {
		return nil
	}
	p.counters.MissedBarriers.Add(1)
	if err := errors.Join(append(unlisted, p.gone(agents, q))...); err != nil {
		return fmt.Errorf("without the log (%w): %w", behind, err)
	}
	return nil
}

// ask returns the digest of the agents that a witness lists, or an error when
// it knows the request or does not reply.
func (p *prover) ask(ctx context.Context, target Agent, id request.Identity) (uint64, error) {
	answer, reply, err := p.exchanger.question(ctx, target, id)
	if err != nil {
		return 0, err
	}
	if reply.GetFound() && answer.Outcome != request.NotRun {
		return 0, fmt.Errorf("%s: %w", target.Name, errKnown)
	}
	return reply.GetKnownAgents(), nil
}

// gone returns an error when an agent that may have claimed the request since
// the journal was last current cannot be asked.
func (p *prover) gone(agents []Agent, q request.Request) error {
	p.mu.Lock()
	last, listed := p.last, p.listed
	p.mu.Unlock()
	if last == 0 {
		return errNeverCurrent
	}
	alive := collection.NewSet[string]()
	for _, a := range agents {
		if a.State != Dead {
			alive.Add(a.Name)
		}
	}
	for _, a := range p.chooser.earlierWitnesses(append(slices.Clone(listed), agents...), q) {
		if !alive.Has(a.Name) {
			return fmt.Errorf("%s: %w", a.Name, errGone)
		}
	}
	return nil
}

// Digest hashes the names of the agents that are not dead. Processes with the
// same list have the same digest.
func Digest(agents []Agent) uint64 {
	var names []string
	for _, a := range agents {
		if a.State != Dead {
			names = append(names, a.Name)
		}
	}
	slices.Sort(names)
	return xxhash.Sum64String(strings.Join(names, "\x00"))
}

// CatchUp brings the journal up to date with the log. Called from time to time,
// it bounds for how long the proofs without the log have to look back.
func (c *Client) CatchUp(ctx context.Context) error { return c.prover.catchUp(ctx) }

// proveNotRun returns the NotRun answer when it is proved that the identity did
// not run, which may have been submitted at another entry as well. Otherwise
// the outcome is that in the journal, or unknown.
func (c *Client) proveNotRun(ctx context.Context, q request.Request, a request.Answer) request.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProveTimeout)
	defer cancel()
	err := c.prover.prove(ctx, q)
	state, claimed := c.journal.Request(q.Identity)
	switch {
	case claimed && state.Outcome != request.Pending:
		return answerFromState(state)
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
