package routing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/traffic/request"
)

// Errors of an exchange with an agent. After errNotSent, errUnavailable and
// errInvalid it is certain that the agent did not run the request; after the
// others, the request may have run.
var (
	errNotSent      = errors.New("request was not sent")
	errUnavailable  = errors.New("agent or its minion takes no work")
	errMismatch     = errors.New("reply belongs to another request")
	errTruncated    = errors.New("reply is not whole")
	errLost         = errors.New("reply was lost")
	errLookupFailed = errors.New("agent does not reply to lookups")
	errInvalid      = errors.New("request is not valid")
	errRequestKnown = errors.New("agent knows the request")
)

// replyReorderDelay is how long a reply is awaited after the answer of a lookup,
// because the two connections may deliver in another order than the agent sent.
const replyReorderDelay = 100 * time.Millisecond

// messageOverheadBytes is the approximate size of a message without its body.
const messageOverheadBytes = 300

// exchanger calls agents, checks their replies and accounts for the bytes on the
// region link.
type exchanger struct {
	options    Options
	chooser    *chooser
	regionLink *tokenBucket
	shared     *http.Client // shared reuses connections.
	fresh      *http.Client // fresh opens a new connection for each exchange.
}

func newExchanger(options Options, chooser *chooser, transports Transports) *exchanger {
	if transports == nil {
		transports = newDefaultTransports(options.DialTimeout)
	}
	return &exchanger{
		options:    options,
		chooser:    chooser,
		regionLink: newTokenBucket(options.LinkBytesPerSecond, options.LinkBurstBytes, time.Now()),
		shared:     &http.Client{Transport: transports.Shared()},
		fresh:      &http.Client{Transport: transports.Fresh()},
	}
}

// defaultTransports implements Transports with transports of the standard
// library.
type defaultTransports struct {
	shared *http.Transport
	fresh  *http.Transport
}

func newDefaultTransports(dialTimeout time.Duration) defaultTransports {
	dialer := &net.Dialer{Timeout: dialTimeout}
	shared := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return defaultTransports{shared, fresh}
}

// Shared implements Transports.
func (t defaultTransports) Shared() http.RoundTripper { return t.shared }

// Fresh implements Transports.
func (t defaultTransports) Fresh() http.RoundTripper { return t.fresh }

type exchangeResult struct {
	answer request.Answer
	err    error
}

// callWithLookups sends a request to an agent. While no reply arrives, it looks
// the request up by identity on new connections, because the first connection may
// have stalled. It gives up when the agent does not know the request or does not
// reply to the lookup.
func (x *exchanger) callWithLookups(ctx context.Context, a Agent, q request.Request, client *http.Client) (request.Answer, error) {
	x.chooser.addOutstanding(a)
	defer x.chooser.removeOutstanding(a)
	g := group.New(ctx)
	defer func() { g.Stop(); _ = g.Wait() }()
	results := make(chan exchangeResult, 1)
	g.Go("run", func(ctx context.Context) error {
		answer, err := x.call(ctx, a, q, client)
		results <- exchangeResult{answer, err}
		return nil
	})
	for {
		if r, ok := receiveWithin(results, x.options.LookupDelay); ok {
			return r.answer, r.err
		}
		answer, found, err := x.lookup(ctx, a, q.Identity)
		switch {
		case err == nil && found && answer.Outcome != request.Pending:
			return answer, nil
		case err == nil && !found:
			// The agent may have sent the reply just before it got the lookup.
			if r, ok := receiveWithin(results, replyReorderDelay); ok {
				return r.answer, r.err
			}
			return request.Answer{}, fmt.Errorf("ask %s: %w: it does not know the request", a.Name, errLost)
		case err != nil:
			// The error of the lookup is not wrapped: it may be errNotSent, which
			// holds for the lookup and not for the request itself.
			return request.Answer{}, fmt.Errorf("ask %s: %w: %w: %s", a.Name, errLost, errLookupFailed, err.Error())
		}
	}
}

// receiveWithin returns the next result, or false if there is none within wait.
func receiveWithin(results <-chan exchangeResult, wait time.Duration) (exchangeResult, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-results:
		return r, true
	case <-timer.C:
		return exchangeResult{}, false
	}
}

// call sends a request to an agent and waits for its reply, without lookups.
func (x *exchanger) call(ctx context.Context, a Agent, q request.Request, client *http.Client) (request.Answer, error) {
	message := &wire.RunRequest{
		Identity:          &wire.Identity{Organisation: q.Identity.Organisation, Id: q.Identity.ID},
		Service:           q.Service,
		Kind:              q.Kind,
		DeadlineUnixNanos: q.Deadline.UnixNano(),
		Idempotent:        q.Idempotent,
		Body:              q.Body,
	}
	var connected atomic.Bool
	reply, err := wire.NewAgentProtobufClient("http://"+a.Address.String(), client).Run(withConnectionTrace(ctx, &connected), message)
	answer, err := x.checkReply(a, q.Identity, reply, err, &connected)
	if err == nil && answer.Outcome == request.NotRun && answer.Retryable && reply.GetLeaving() {
		return answer, fmt.Errorf("call %s: %w: %s", a.Name, errUnavailable, answer.Reason)
	}
	return answer, err
}

// lookup asks an agent for the answer of a request on a new connection, and
// reports whether the agent knows the request. The outcome is never NotRun.
func (x *exchanger) lookup(ctx context.Context, a Agent, id request.Identity) (request.Answer, bool, error) {
	answer, reply, err := x.lookupReply(ctx, a, id)
	return answer, reply.GetFound(), err
}

// lookupReply is lookup with the whole reply of the agent. A refusal counts as
// Pending: it holds for one submission of the identity, and another one may be on
// its way to this agent or be sent to the next one. Only the reply to a submission
// proves that the submission did not run.
func (x *exchanger) lookupReply(ctx context.Context, a Agent, id request.Identity) (request.Answer, *wire.RunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, x.options.LookupTimeout)
	defer cancel()
	message := &wire.LookupRequest{Identity: &wire.Identity{Organisation: id.Organisation, Id: id.ID}}
	var connected atomic.Bool
	reply, err := wire.NewAgentProtobufClient("http://"+a.Address.String(), x.fresh).Lookup(withConnectionTrace(ctx, &connected), message)
	answer, err := x.checkReply(a, id, reply, err, &connected)
	if answer.Outcome == request.NotRun {
		answer = request.Answer{Identity: id, Outcome: request.Pending, Reason: answer.Reason}
	}
	return answer, reply, err
}

// withConnectionTrace returns a context that sets connected once the exchange has
// a connection. Without a connection, the request cannot have been sent.
func withConnectionTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

// checkReply classifies the error of an exchange. Without an error, it charges a
// remote reply to the region link, verifies the identity and the checksum, and
// records the load of the agent.
func (x *exchanger) checkReply(a Agent, id request.Identity, reply *wire.RunReply, err error, connected *atomic.Bool) (request.Answer, error) {
	if err != nil {
		return request.Answer{}, x.classifyError(a, err, connected)
	}
	if x.chooser.tierOf(a) == remote {
		x.regionLink.add(-float64(len(reply.GetBody())+messageOverheadBytes), time.Now())
	}
	got := request.Identity{Organisation: reply.GetIdentity().GetOrganisation(), ID: reply.GetIdentity().GetId()}
	if got != id {
		return request.Answer{}, fmt.Errorf("call %s: %w: %s", a.Name, errMismatch, got)
	}
	if reply.GetChecksum() != xxhash.Sum64(reply.GetBody()) {
		return request.Answer{}, fmt.Errorf("call %s: %w: %d bytes", a.Name, errTruncated, len(reply.GetBody()))
	}
	answer := request.Answer{
		Identity:    id,
		Outcome:     request.Outcome(reply.GetOutcome()),
		Reason:      reply.GetReason(),
		Body:        reply.GetBody(),
		Agent:       reply.GetAgent(),
		Incarnation: reply.GetIncarnation(),
		Retryable:   reply.GetRetryable(),
	}
	refused := answer.Outcome == request.NotRun && answer.Retryable
	x.chooser.recordLoad(a, float64(reply.GetWaiting()+reply.GetRunning()), refused)
	return answer, nil
}

// classifyError wraps the error of an exchange: errNotSent if there was no
// connection, errInvalid if the agent rejected the message, otherwise errLost.
func (x *exchanger) classifyError(a Agent, err error, connected *atomic.Bool) error {
	var twerr twirp.Error
	invalid := errors.As(err, &twerr) && (twerr.Code() == twirp.InvalidArgument || twerr.Code() == twirp.BadRoute)
	switch {
	case !connected.Load():
		return fmt.Errorf("call %s: %w: %w", a.Name, errNotSent, err)
	case invalid:
		return fmt.Errorf("call %s: %w: %w", a.Name, errInvalid, err)
	}
	return fmt.Errorf("call %s: %w: %w", a.Name, errLost, err)
}
