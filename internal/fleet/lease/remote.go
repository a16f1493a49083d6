package lease

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/worker"
)

// maxReplyBytes bounds the body of one reply. The full lists of 100 workers with
// a few thousand ended tasks fit.
const maxReplyBytes = 16 << 20

// RemoteHolder is a client of another agent's lease table. It implements Holder.
type RemoteHolder struct {
	sharedClient       wire.LeaseHolder // sharedClient reuses open connections.
	freshClient        wire.LeaseHolder // freshClient avoids the open connections of sharedClient.
	callTimeout        time.Duration
	lastCallUnanswered atomic.Bool // lastCallUnanswered is set when the last call of Do was not answered.
}

// NewRemoteHolder returns a client of the lease table of the agent at address.
// callTimeout bounds each call on a task. Requests use shared, which reuses
// connections. A request that follows an unanswered one uses fresh, because an
// open connection may hang while new ones work.
func NewRemoteHolder(address netip.AddrPort, shared, fresh http.RoundTripper, callTimeout time.Duration) *RemoteHolder {
	url := "http://" + address.String()
	return &RemoteHolder{
		sharedClient: wire.NewLeaseHolderProtobufClient(url, &http.Client{Transport: replyLimitTransport{shared}}),
		freshClient:  wire.NewLeaseHolderProtobufClient(url, &http.Client{Transport: replyLimitTransport{fresh}}),
		callTimeout:  callTimeout,
	}
}

// Watch implements Holder.
func (r *RemoteHolder) Watch(ctx context.Context, q Query) (Changes, error) {
	client := r.sharedClient
	if !q.Extend { // The previous query was not answered.
		client = r.freshClient
	}
	reply, err := client.Watch(ctx, queryToWire(q))
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.NotFound {
		return Changes{}, ErrNoSession
	}
	if err != nil {
		return Changes{}, fmt.Errorf("watch leases: %w", err)
	}
	return changesFromWire(reply), nil
}

// Do implements Holder. The holder bounds its own call to the worker. Do waits for
// half of callTimeout longer, so that it receives the outcome of that call.
func (r *RemoteHolder) Do(ctx context.Context, c Call) (worker.Task, error) {
	timeout := r.callTimeout
	if c.Kind == Checkpoint {
		timeout = c.CheckpointTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+r.callTimeout/2)
	defer cancel()
	client := r.sharedClient
	if r.lastCallUnanswered.Load() {
		client = r.freshClient
	}
	reply, err := client.Do(ctx, callToWire(c))
	r.lastCallUnanswered.Store(err != nil)
	if err != nil {
		return worker.Task{}, transportError(err)
	}
	if err := replyError(reply); err != nil {
		return worker.Task{}, err
	}
	return taskFromWire(reply.GetTask()), nil
}

// transportError classifies a failed request by whether the holder may have
// received it. Only a failed dial proves that it has not.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", worker.ErrOutcomeUnknown, err)
}

// replyLimitTransport fails reads of a reply beyond maxReplyBytes. Twirp reads whole
// replies into memory.
type replyLimitTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t replyLimitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	}
	return resp, err
}

// Server serves a lease table to the schedulers of other agents. It implements
// wire.LeaseHolder.
type Server struct {
	table *Table
}

// NewServer returns a server for t.
func NewServer(t *Table) *Server { return &Server{t} }

// Watch implements wire.LeaseHolder.
func (s *Server) Watch(ctx context.Context, m *wire.WatchLeasesRequest) (*wire.WatchLeasesReply, error) {
	q, err := queryFromWire(m)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	changes, err := s.table.Watch(ctx, q)
	switch {
	case errors.Is(err, ErrNoSession):
		return nil, twirp.NewError(twirp.NotFound, err.Error())
	case err != nil:
		return nil, twirp.InternalErrorWith(err)
	}
	return changesToWire(changes), nil
}

// Do implements wire.LeaseHolder.
func (s *Server) Do(ctx context.Context, m *wire.TaskCallRequest) (*wire.TaskCallReply, error) {
	return callReply(s.table.Do(ctx, callFromWire(m))), nil
}
