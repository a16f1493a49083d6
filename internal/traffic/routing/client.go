package routing

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// Journal is what a client needs of the folded log.
type Journal interface {
	Request(id request.Identity) (journal.RequestState, bool)
	Watch() <-chan struct{}
}

// Counters count what a client did since its start.
type Counters struct {
	Requests         expvar.Int
	Retries          expvar.Int
	DeniedRetries    expvar.Int // Denied retries were beyond the budget.
	LinkFull         expvar.Int // LinkFull counts remote agents that were left out because of the cap on the region link.
	DiscardedReplies expvar.Int // Discarded replies were crossed or truncated.
	LostReplies      expvar.Int // Lost replies.
	Lookups          expvar.Int // Questions to agents before non-idempotent requests were answered as not run.
	MissedBarriers   expvar.Int // Behind counts proofs without a read barrier, because the log did not take it in time.
	UnprovedRefusals expvar.Int // Unproved refusals of non-idempotent requests were answered as unknown.
}

// Client runs requests end to end. It is safe for concurrent use.
type Client struct {
	options   Options
	journal   Journal
	chooser   *chooser
	exchanger *exchanger
	budget    *RetryBudget
	prover    *prover
	Counters  Counters
}

// Transports are the connections of a process.
type Transports interface {
	// Shared reuses connections.
	Shared() http.RoundTripper
	// Fresh opens a connection for each exchange.
	Fresh() http.RoundTripper
}

// New returns a client that chooses among agents. Nil connections mean
// connections of its own.
func New(options Options, agents func() []Agent, j Journal, sync ReadBarrier, connections Transports) *Client {
	c := newChooser(options, agents)
	x := newExchanger(options, c, connections)
	client := &Client{
		options:   options,
		journal:   j,
		chooser:   c,
		exchanger: x,
		budget:    NewBudget(options.RetryRatio, options.RetryPerSecond, options.RetryBurst, time.Now()),
	}
	client.prover = &prover{sync: sync, chooser: c, exchanger: x, options: options, counters: &client.Counters}
	return client
}

// Close closes idle connections.
func (c *Client) Close() {
	c.exchanger.kept.CloseIdleConnections()
	c.exchanger.fresh.CloseIdleConnections()
}

// Status returns what the client knows of all agents.
func (c *Client) Status() []AgentStatus { return c.chooser.status() }

// Run runs a request and returns its one answer, at the latest a short grace
// after its deadline. NotRun is returned only when no attempt can have run. For
// a non-idempotent request it also means that no agent and no record known here
// has the identity from another submission.
func (c *Client) Run(ctx context.Context, q request.Request) request.Answer {
	c.Counters.Requests.Add(1)
	c.budget.AddRequest(time.Now())
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(c.options.DeadlineGrace))
	defer cancel()
	r := &run{client: c, request: q, tried: map[string]bool{}}
	answer := r.complete(ctx)
	if answer.Outcome != request.NotRun || q.Idempotent {
		return answer
	}
	answer = c.confirmNotRun(ctx, answer)
	if answer.Outcome != request.NotRun {
		return answer
	}
	return c.proveNotRun(caller, q, answer)
}

// Refuse answers a request that is not accepted. For a non-idempotent request,
// NotRun is returned only when no earlier submission of its identity can have
// run.
func (c *Client) Refuse(ctx context.Context, q request.Request, reason string) request.Answer {
	a := request.Answer{Identity: q.Identity, Outcome: request.NotRun, Reason: reason}
	if q.Idempotent {
		return a
	}
	return c.proveNotRun(ctx, q, a)
}

// confirmNotRun checks that no other agent holds a claim of the identity, which
// may have been submitted at another entry as well.
func (c *Client) confirmNotRun(ctx context.Context, a request.Answer) request.Answer {
	for {
		changed := c.journal.Watch()
		state, claimed := c.journal.Request(a.Identity)
		switch {
		case !claimed:
			return a
		case state.Outcome != request.Pending:
			return answerFromState(state)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return request.Answer{Identity: a.Identity, Outcome: request.Unknown, Reason: "claimed by " + state.Writer}
		}
	}
}

// Lookup returns the answer of a request that was submitted before, here or at
// another entry. A Pending answer means that the request is known.
func (c *Client) Lookup(ctx context.Context, id request.Identity) (request.Answer, bool) {
	state, claimed := c.journal.Request(id)
	if claimed && state.Outcome != request.Pending {
		return answerFromState(state), true
	}
	pending := claimed
	for _, a := range c.likelyAgents(id) {
		answer, found, err := c.exchanger.lookup(ctx, a, id)
		if err == nil && found && answer.Outcome != request.Pending {
			return answer, true
		}
		pending = pending || (err == nil && found)
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, pending
}

// likelyAgents returns the stable pairs of the identity, for each service and
// tier.
func (c *Client) likelyAgents(id request.Identity) []Agent {
	type pool struct {
		service string
		tier    tier
	}
	pools := map[pool][]Agent{}
	var order []pool
	for _, a := range c.chooser.agents() {
		p := pool{a.Service, c.chooser.tierOf(a)}
		if a.State == Dead || a.State == Suspect {
			continue
		}
		if pools[p] == nil {
			order = append(order, p)
		}
		pools[p] = append(pools[p], a)
	}
	var likely []Agent
	for _, p := range order {
		ordered := rendezvous(pools[p], id)
		likely = append(likely, ordered[:min(2, len(ordered))]...)
	}
	return likely
}

func answerFromState(state journal.RequestState) request.Answer {
	return request.Answer{
		Identity: state.Identity,
		Outcome:  state.Outcome,
		Reason:   state.Reason,
		Body:     state.Body,
		Agent:    state.Writer,
	}
}
