// Package entrylink carries calls of clients between entries, for an entry that
// cannot reach the store.
package entrylink

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/gateway"
)

// forwardTimeout bounds a call at one entry, so that another can be asked.
const forwardTimeout = 1200 * time.Millisecond

// Client calls another entry. It implements gateway.Peer.
type Client struct{ peer wire.EntryPeer }

var _ gateway.Peer = (*Client)(nil)

// NewClient returns a client of the entry at an address.
func NewClient(address netip.AddrPort, roundTripper http.RoundTripper) *Client {
	return &Client{wire.NewEntryPeerProtobufClient("http://"+address.String(), &http.Client{Transport: roundTripper})}
}

// Forward implements gateway.Peer.
func (c *Client) Forward(ctx context.Context, call gateway.Call) (gateway.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := c.peer.Forward(ctx, &wire.ForwardRequest{
		WaitMillis: min(call.Wait, forwardTimeout).Milliseconds(), Method: int64(call.Method), Host: call.Host, Path: call.Path, Key: call.Key, Body: call.Body,
	})
	if transport.ConnectionRefused(err) {
		return gateway.Answer{}, fmt.Errorf("forward: %w: %w", gateway.ErrNotSent, err)
	}
	if err != nil {
		return gateway.Answer{}, fmt.Errorf("forward: %w", err)
	}
	return fromReply(reply)
}

// fromReply returns an error for a reply that this version does not know. It tells
// nothing about the effect of the call.
func fromReply(reply *wire.ForwardReply) (gateway.Answer, error) {
	if o := reply.GetOutcome(); o < int64(gateway.Accepted) || o > int64(gateway.Unavailable) {
		return gateway.Answer{}, fmt.Errorf("forward: unknown outcome %d", o)
	}
	if s := reply.GetState(); s < int64(workload.Pending) || s > int64(workload.Cancelled) {
		return gateway.Answer{}, fmt.Errorf("forward: unknown state %d", s)
	}
	return gateway.Answer{
		Outcome: gateway.Outcome(reply.GetOutcome()), State: workload.State(reply.GetState()), Pending: int(max(reply.GetPending(), 0)),
		Reason: reply.GetReason(), Version: reply.GetVersion(), RetryAfter: fromMillis(reply.GetRetryAfterMillis()),
	}, nil
}

// maxTime bounds the times of calls and replies, so that they do not overflow.
const maxTime = time.Hour

// fromMillis converts milliseconds. Values out of range become the nearest one
// between 0 and maxTime.
func fromMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxTime.Milliseconds())) * time.Millisecond
}

// Handler serves the calls that other entries forward.
func Handler(g *gateway.Gateway) http.Handler { return wire.NewEntryPeerServer(&server{g}) }

type server struct{ gateway *gateway.Gateway }

// Forward implements wire.EntryPeer.
func (s *server) Forward(ctx context.Context, r *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if m := r.GetMethod(); m < int64(gateway.Submit) || m > int64(gateway.Count) {
		return nil, twirp.NewErrorf(twirp.InvalidArgument, "unknown method %d", m)
	}
	answer := s.gateway.Serve(ctx, gateway.Call{
		Method: gateway.Method(r.GetMethod()), Host: r.GetHost(), Path: r.GetPath(), Key: r.GetKey(), Body: r.GetBody(),
		Wait: fromMillis(r.GetWaitMillis()), Forwarded: true,
	})
	return &wire.ForwardReply{
		Outcome: int64(answer.Outcome), State: int64(answer.State), Pending: int64(answer.Pending),
		Reason: answer.Reason, Version: answer.Version, RetryAfterMillis: answer.RetryAfter.Milliseconds(),
	}, nil
}
