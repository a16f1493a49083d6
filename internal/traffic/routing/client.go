package routing

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// Journal is the part of a journal that a client reads: the states of requests,
// which this process has computed (folded) from the records on the log.
type Journal interface {
	Request(id request.Identity) (journal.RequestState, bool)
	Watch() <-chan struct{}
}

// Counters count the events of a client since its start.
type Counters struct {
	Requests         expvar.Int
	Retries          expvar.Int
	DeniedRetries    expvar.Int // DeniedRetries counts retries that the budget did not allow.
	LinkFull         expvar.Int // LinkFull counts remote agents that were skipped because the region link was at its cap.
	DiscardedReplies expvar.Int // DiscardedReplies counts replies that belonged to another request or were truncated.
	LostReplies      expvar.Int // LostReplies counts attempts without a reply that may have run.
	Lookups          expvar.Int // Lookups counts lookups at agents before a non-idempotent request was answered as not run.
	MissedBarriers   expvar.Int // MissedBarriers counts proofs without a read barrier, because the log did not accept it in time.
	UnprovedRefusals expvar.Int // UnprovedRefusals counts refused non-idempotent requests that were answered as unknown.
}

// Client sends each request to agents until it has an answer. It is safe for
// concurrent use.
type Client struct {
	options   Options
	journal   Journal
	chooser   *chooser
	exchanger *exchanger
	budget    *RetryBudget
	prover    *prover
	Counters  Counters
}

// Transports are the HTTP transports of a process.
type Transports interface {
	// Shared reuses connections.
	Shared() http.RoundTripper
	// Fresh opens a new connection for each exchange.
	Fresh() http.RoundTripper
}

// New returns a client that chooses among agents. If transports is nil, the
// client creates its own transports.
func New(options Options, agents func() []Agent, j Journal, readBarrier ReadBarrier, transports Transports) *Client {
	c := newChooser(options, agents)
	x := newExchanger(options, c, transports)
	client := &Client{
		options:   options,
		journal:   j,
		chooser:   c,
		exchanger: x,
		budget:    NewRetryBudget(options.RetryRatio, options.RetryPerSecond, options.RetryBurst, time.Now()),
	}
	client.prover = &prover{readBarrier: readBarrier, chooser: c, exchanger: x, options: options, counters: &client.Counters}
	return client
}

// Close closes idle connections.
func (c *Client) Close() {
	c.exchanger.shared.CloseIdleConnections()
	c.exchanger.fresh.CloseIdleConnections()
}

// Status returns what the client knows of all agents.
func (c *Client) Status() []AgentStatus { return c.chooser.status() }

// Run sends a request to agents until it has an answer. It returns at most
// Options.DeadlineGrace after the deadline of the request, plus
// Options.ProofTimeout for the proof that a non-idempotent request did not run.
// It returns NotRun only if no attempt can have run. For a non-idempotent request,
// NotRun also means that other submissions of its identity have not run: no lookup
// target knows the identity, and the journal has no record of it.
func (c *Client) Run(ctx context.Context, q request.Request) request.Answer {
	c.Counters.Requests.Add(1)
	c.budget.AddRequest(time.Now())
	callerCtx := ctx
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(c.options.DeadlineGrace))
	defer cancel()
	r := &submission{client: c, request: q, tried: map[string]bool{}}
	answer := r.attemptAll(ctx)
	if answer.Outcome != request.NotRun || q.Idempotent {
		return answer
	}
	answer = c.awaitOtherClaims(ctx, answer)
	if answer.Outcome != request.NotRun {
		return answer
	}
	return c.confirmNotRun(callerCtx, q, answer)
}

// Refuse returns the answer of a request that this entry does not accept. For a
// non-idempotent request, the outcome is NotRun only when no earlier submission
// of its identity can have run.
func (c *Client) Refuse(ctx context.Context, q request.Request, reason string) request.Answer {
	a := request.Answer{Identity: q.Identity, Outcome: request.NotRun, Reason: reason}
	if q.Idempotent {
		return a
	}
	return c.confirmNotRun(ctx, q, a)
}

// awaitOtherClaims returns the answer a if no agent has claimed the identity. An
// agent may have claimed it for another entry to which the same request was
// submitted; awaitOtherClaims then waits for the outcome of that claim until ctx
// ends.
func (c *Client) awaitOtherClaims(ctx context.Context, a request.Answer) request.Answer {
	for {
		journalChanged := c.journal.Watch()
		state, claimed := c.journal.Request(a.Identity)
		switch {
		case !claimed:
			return a
		case state.Outcome != request.Pending:
			return answerFromRequestState(state)
		}
		select {
		case <-journalChanged:
		case <-ctx.Done():
			return request.Answer{Identity: a.Identity, Outcome: request.Unknown, Reason: "claimed by " + state.Writer}
		}
	}
}

// Lookup returns the answer of a request that was submitted earlier, here or at
// another entry, and whether the request is known. The outcome of a known
// request without an answer is Pending.
func (c *Client) Lookup(ctx context.Context, id request.Identity) (request.Answer, bool) {
	state, claimed := c.journal.Request(id)
	if claimed && state.Outcome != request.Pending {
		return answerFromRequestState(state), true
	}
	pending := claimed
	for _, a := range c.preferredAgents(id) {
		answer, found, err := c.exchanger.lookup(ctx, a, id)
		if err == nil && found && answer.Outcome != request.Pending {
			return answer, true
		}
		pending = pending || (err == nil && found)
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, pending
}

// preferredAgents returns the first two agents in the rendezvous order of the
// identity, for each service and tier. An idempotent request of that identity is
// normally sent to one of them.
func (c *Client) preferredAgents(id request.Identity) []Agent {
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
	var preferred []Agent
	for _, p := range order {
		ordered := rendezvousOrder(pools[p], id)
		preferred = append(preferred, ordered[:min(2, len(ordered))]...)
	}
	return preferred
}

func answerFromRequestState(state journal.RequestState) request.Answer {
	return request.Answer{
		Identity: state.Identity,
		Outcome:  state.Outcome,
		Reason:   state.Reason,
		Body:     state.Body,
		Agent:    state.Writer,
	}
}
