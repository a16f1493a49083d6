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

// maxReply bounds what is read of one reply. The full lists of a hundred
// workers with a few thousand ended tasks fit.
const maxReply = 16 << 20

// Remote is the table of another agent. It implements Holder.
type Remote struct {
	shared wire.LeaseHolder
	fresh  wire.LeaseHolder
	call   time.Duration
	failed atomic.Bool // failed is set when the last exchange of Do was not answered.
}

// NewRemote returns the table of the agent at address. call bounds each call on
// a task. An exchange that follows a failure uses fresh, because an open
// connection may have gone silent.
func NewRemote(address netip.AddrPort, shared, fresh http.RoundTripper, call time.Duration) *Remote {
	url := "http://" + address.String()
	return &Remote{
		shared: wire.NewLeaseHolderProtobufClient(url, &http.Client{Transport: boundedBody{shared}}),
		fresh:  wire.NewLeaseHolderProtobufClient(url, &http.Client{Transport: boundedBody{fresh}}),
		call:   call,
	}
}

// Watch implements Holder.
func (r *Remote) Watch(ctx context.Context, q Query) (Changes, error) {
	client := r.shared
	if !q.Extend { // The query before was not answered.
		client = r.fresh
	}
	reply, err := client.Watch(ctx, queryToWire(q))
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.NotFound {
		return Changes{}, ErrNoSession
	}
	if err != nil {
		return Changes{}, fmt.Errorf("query of leases: %w", err)
	}
	return changesFromWire(reply), nil
}

// Do implements Holder. The holder bounds its own call to the worker, so that
// the answer says what became of it.
func (r *Remote) Do(ctx context.Context, c Call) (worker.Task, error) {
	limit := r.call
	if c.Kind == Checkpoint {
		limit = c.Limit
	}
	ctx, cancel := context.WithTimeout(ctx, limit+r.call/2)
	defer cancel()
	client := r.shared
	if r.failed.Load() {
		client = r.fresh
	}
	reply, err := client.Do(ctx, callToWire(c))
	r.failed.Store(err != nil)
	if err != nil {
		return worker.Task{}, exchangeError(err)
	}
	if err := replyError(reply); err != nil {
		return worker.Task{}, err
	}
	return taskFromWire(reply.GetTask()), nil
}

func exchangeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", worker.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", worker.ErrOutcomeUnknown, err)
}

// boundedBody cuts replies that are too large. Twirp reads whole replies into
// memory.
type boundedBody struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedBody) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := b.next.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReply)
	}
	return resp, err
}

// Server serves a table to the schedulers of other agents. It implements
// wire.LeaseHolder.
type Server struct {
	table *Table
}

// NewServer returns a server of the table.
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
