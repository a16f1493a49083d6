package hostagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

// Connection is a client of a minion with a single connection. A call fails with
// host.ErrDisconnected if the connection is closed or in use.
type Connection interface {
	host.Client
	Close()
}

// Connect returns a connection that is dialled at its first call.
type Connect func() Connection

// sessions keeps a connection to the present incarnation of the minion. The
// minion can't tell for which incarnation a renewal is meant, so it would forget
// ended runs of its own if a renewal acknowledged ended runs of a former
// incarnation. A connection ends with the incarnation to which it was made, so
// the connection identifies the incarnation.
type sessions struct {
	connect Connect
	logger  log.Logger

	mu      sync.Mutex
	current *session // current is nil while no incarnation is connected.
}

// session is a connection to one incarnation of the minion.
type session struct {
	Connection
	startedAt time.Time // startedAt is the start time of the incarnation.
}

// RenewLease forwards a renewal to the incarnation for which it is meant. From
// any other incarnation it only reads the status report.
func (s *sessions) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	if current != nil {
		l, err := s.renew(ctx, current, r)
		if !errors.Is(err, host.ErrDisconnected) {
			return l, err
		}
	}
	current, l, err := s.open(ctx, r.Token)
	if err != nil || current == nil || !host.IncarnationStartedAt(r.Incarnation, current.startedAt) {
		return l, err
	}
	return s.renew(ctx, current, r)
}

// renew forwards a renewal over a session. If the renewal is meant for another
// incarnation, only its fencing token is sent. The session is closed after any
// error but host.ErrFenced.
func (s *sessions) renew(ctx context.Context, target *session, r host.RenewLeaseRequest) (host.StatusReport, error) {
	if !host.IncarnationStartedAt(r.Incarnation, target.startedAt) {
		r = host.RenewLeaseRequest{Token: r.Token}
	}
	l, err := target.RenewLease(ctx, r)
	if err != nil && !errors.Is(err, host.ErrFenced) {
		s.closeSession(target)
	}
	return l, err
}

// open makes a new connection and reads which incarnation answers on it. The
// session is nil if no minion listens or the call fails.
func (s *sessions) open(ctx context.Context, token int64) (*session, host.StatusReport, error) {
	c := s.connect()
	l, err := c.RenewLease(ctx, host.RenewLeaseRequest{Token: token})
	if err != nil || l.Gone {
		c.Close()
		return nil, l, err
	}
	opened := &session{c, l.Minion.StartedAt}
	s.mu.Lock()
	former := s.current
	s.current = opened
	s.mu.Unlock()
	if former != nil {
		former.Close()
	}
	_ = level.Debug(s.logger).Log("event", "minion connected", "born", opened.startedAt.UnixMilli())
	return opened, l, nil
}

func (s *sessions) closeSession(lost *session) {
	s.mu.Lock()
	if s.current == lost {
		s.current = nil
	}
	s.mu.Unlock()
	lost.Close()
}
