package routing

import (
	"context"
	"errors"
	"fmt"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/traffic/request"
)

var errTooManyWitnesses = errors.New("too many agents would have to be asked")

// proveNotRun proves that a non-idempotent request, which may have been
// submitted at another entry as well, has not run and does not wait at an
// agent. A run needs a claim, so a read barrier with no claim before it proves
// that nothing has run. The agents to which the identity may have been sent say
// whether it waits. While the log does not take the barrier, they say as well
// whether it has run. Without a proof the outcome is unknown.
func (c *Client) proveNotRun(ctx context.Context, q request.Request, a request.Answer) request.Answer {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProveTimeout)
	defer cancel()
	witnesses := c.chooser.witnesses(q)
	if len(witnesses) > c.options.MaxWitnesses {
		return c.unproved(a, errTooManyWitnesses)
	}
	g := group.New(ctx)
	if c.options.ReadBarrier != nil {
		g.Go("read barrier", func(ctx context.Context) error {
			c.awaitBarrier(ctx)
			return nil
		})
	}
	for _, target := range witnesses {
		c.Counters.Questions.Add(1)
		g.Go("ask "+target.Name, func(ctx context.Context) error { return c.askWitness(ctx, target, q.Identity) })
	}
	if err := errors.Join(g.Wait(), ctx.Err()); err != nil {
		return c.unproved(a, err)
	}
	state, claimed := c.journal.Request(q.Identity)
	switch {
	case !claimed:
		return a
	case state.Outcome != request.Pending:
		return answerFromState(state)
	}
	return c.unproved(a, fmt.Errorf("claimed by %s", state.Writer))
}

func (c *Client) awaitBarrier(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.options.BarrierTimeout)
	defer cancel()
	if c.options.ReadBarrier(ctx) != nil {
		c.Counters.Behind.Add(1)
	}
}

// askWitness returns an error when the agent knows the request or does not
// reply.
func (c *Client) askWitness(ctx context.Context, target Agent, id request.Identity) error {
	answer, found, err := c.exchanger.lookup(ctx, target, id)
	if err != nil {
		return err
	}
	if found && answer.Outcome != request.NotRun {
		return fmt.Errorf("%s: %w", target.Name, errKnown)
	}
	return nil
}

func (c *Client) unproved(a request.Answer, cause error) request.Answer {
	c.Counters.Unproved.Add(1)
	reason := fmt.Sprintf("%s; not proved: %v", a.Reason, cause)
	return request.Answer{Identity: a.Identity, Outcome: request.Unknown, Reason: reason}
}
