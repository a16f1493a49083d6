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

// Errors of an exchange. errNotSent, errLeaving and errInvalid prove that the
// agent did not run the request.
var (
	errNotSent   = errors.New("request was not sent")
	errLeaving   = errors.New("agent or its minion takes no work")
	errCrossed   = errors.New("reply belongs to another request")
	errTruncated = errors.New("reply is not whole")
	errLost      = errors.New("reply was lost")
	errSilent    = errors.New("agent does not answer questions")
	errInvalid   = errors.New("request is not valid")
	errKnown     = errors.New("agent knows the request")
)

// replyPassing is how long a reply may be behind an answer to a question.
const replyPassing = 100 * time.Millisecond

// replyOverhead is about the size of a message without its body.
const replyOverhead = 300

// exchanger calls agents and checks their replies.
type exchanger struct {
	options Options
	chooser *chooser
	link    *bucket
	kept    *http.Client // kept reuses connections.
	fresh   *http.Client // fresh opens a connection for each exchange.
}

func newExchanger(options Options, chooser *chooser, connections Transports) *exchanger {
	if connections == nil {
		connections = newDefaultConnections(options.DialTimeout)
	}
	return &exchanger{
		options: options,
		chooser: chooser,
		link:    newBucket(options.LinkBytesPerSecond, options.LinkBurstBytes, time.Now()),
		kept:    &http.Client{Transport: connections.Shared()},
		fresh:   &http.Client{Transport: connections.Fresh()},
	}
}

// defaultConnections are two transports of the standard library.
type defaultConnections struct {
	shared *http.Transport
	fresh  *http.Transport
}

func newDefaultConnections(dialTimeout time.Duration) defaultConnections {
	dialer := &net.Dialer{Timeout: dialTimeout}
	shared := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return defaultConnections{shared, fresh}
}

// Shared implements Connections.
func (c defaultConnections) Shared() http.RoundTripper { return c.shared }

// Fresh implements Connections.
func (c defaultConnections) Fresh() http.RoundTripper { return c.fresh }

type exchangeResult struct {
	answer request.Answer
	err    error
}

// run sends a request to an agent. While no reply comes, it asks by identity on
// fresh connections, because the connection may be silent. It gives up when the
// agent does not know the request or does not reply to the question.
func (x *exchanger) run(ctx context.Context, a Agent, q request.Request, client *http.Client) (request.Answer, error) {
	x.chooser.begin(a)
	defer x.chooser.end(a)
	g := group.New(ctx)
	defer func() { g.Stop(); _ = g.Wait() }()
	results := make(chan exchangeResult, 1)
	g.Go("run", func(ctx context.Context) error {
		answer, err := x.call(ctx, a, q, client)
		results <- exchangeResult{answer, err}
		return nil
	})
	for {
		if r, ok := receive(results, x.options.LookupDelay); ok {
			return r.answer, r.err
		}
		answer, found, err := x.lookup(ctx, a, q.Identity)
		switch {
		case err == nil && found && answer.Outcome != request.Pending:
			return answer, nil
		case err == nil && !found:
			// The reply may have been sent just before the question.
			if r, ok := receive(results, replyPassing); ok {
				return r.answer, r.err
			}
			return request.Answer{}, fmt.Errorf("ask %s: %w: it does not know the request", a.Name, errLost)
		case err != nil:
			// The kind of the question's error is not passed on: it may say that
			// the question was not sent, but the request itself was.
			return request.Answer{}, fmt.Errorf("ask %s: %w: %w: %s", a.Name, errLost, errSilent, err.Error())
		}
	}
}

func receive(results <-chan exchangeResult, wait time.Duration) (exchangeResult, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-results:
		return r, true
	case <-timer.C:
		return exchangeResult{}, false
	}
}

// call is one exchange without questions.
func (x *exchanger) call(ctx context.Context, a Agent, q request.Request, client *http.Client) (request.Answer, error) {
	message := &wire.RunRequest{
		Identity:          &wire.Identity{Organisation: q.Identity.Organisation, Id: q.Identity.ID},
		Service:           q.Service,
		Kind:              q.Kind,
		DeadlineUnixNanos: q.Deadline.UnixNano(),
		Idempotent:        q.Idempotent,
		Body:              q.Body,
	}
	var sent atomic.Bool
	reply, err := wire.NewAgentProtobufClient("http://"+a.Address.String(), client).Run(traced(ctx, &sent), message)
	answer, err := x.check(a, q.Identity, reply, err, &sent)
	if err == nil && answer.Outcome == request.NotRun && answer.Retryable && reply.GetLeaving() {
		return answer, fmt.Errorf("call %s: %w: %s", a.Name, errLeaving, answer.Reason)
	}
	return answer, err
}

// lookup asks an agent by identity on a fresh connection.
func (x *exchanger) lookup(ctx context.Context, a Agent, id request.Identity) (request.Answer, bool, error) {
	answer, reply, err := x.question(ctx, a, id)
	return answer, reply.GetFound(), err
}

func (x *exchanger) question(ctx context.Context, a Agent, id request.Identity) (request.Answer, *wire.RunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, x.options.LookupTimeout)
	defer cancel()
	message := &wire.LookupRequest{Identity: &wire.Identity{Organisation: id.Organisation, Id: id.ID}}
	var sent atomic.Bool
	reply, err := wire.NewAgentProtobufClient("http://"+a.Address.String(), x.fresh).Lookup(traced(ctx, &sent), message)
	answer, err := x.check(a, id, reply, err, &sent)
	return answer, reply, err
}

// traced sets sent once the exchange has a connection.
func traced(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// check classifies the result of an exchange and verifies the reply.
func (x *exchanger) check(a Agent, id request.Identity, reply *wire.RunReply, err error, sent *atomic.Bool) (request.Answer, error) {
	if err != nil {
		return request.Answer{}, x.exchangeError(a, err, sent)
	}
	if x.chooser.tierOf(a) == remote {
		x.link.add(-float64(len(reply.GetBody())+replyOverhead), time.Now())
	}
	got := request.Identity{Organisation: reply.GetIdentity().GetOrganisation(), ID: reply.GetIdentity().GetId()}
	if got != id {
		return request.Answer{}, fmt.Errorf("call %s: %w: %s", a.Name, errCrossed, got)
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
	x.chooser.report(a, float64(reply.GetWaiting()+reply.GetRunning()), refused)
	return answer, nil
}

func (x *exchanger) exchangeError(a Agent, err error, sent *atomic.Bool) error {
	var twerr twirp.Error
	refused := errors.As(err, &twerr) && (twerr.Code() == twirp.InvalidArgument || twerr.Code() == twirp.BadRoute)
	switch {
	case !sent.Load():
		return fmt.Errorf("call %s: %w: %w", a.Name, errNotSent, err)
	case refused:
		return fmt.Errorf("call %s: %w: %w", a.Name, errInvalid, err)
	}
	return fmt.Errorf("call %s: %w: %w", a.Name, errLost, err)
}
