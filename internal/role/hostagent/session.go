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
	// Close closes the connection if no call is in progress.
	Close()
}

// Connect returns a connection that is dialled at its first call.
type Connect func() Connection

// sessionManager keeps a session with the present incarnation of the minion. The
// minion can't tell for which incarnation a renewal is meant, so it would forget
// ended runs of its own if a renewal acknowledged ended runs of a former
// incarnation. A connection ends with the incarnation to which it was made, so
// the connection identifies the incarnation.
type sessionManager struct {
	connect Connect
	logger  log.Logger

	mu        sync.Mutex
	current   *session  // current is nil while there is no session.
	lastStart time.Time // lastStart is when the incarnation of the last session started; zero before the first.
	gone      bool      // gone is set while no minion listens, as far as the last attempt to open a session shows.
}

// session is a connection to one incarnation of the minion.
type session struct {
	Connection
	startedAt time.Time // startedAt is the start time of the incarnation.
}

// RenewLease forwards a renewal to the incarnation for which it is meant. From
// any other incarnation it only reads the status report. It opens a new session
// if there is none, or if the connection of the current one is closed or in use.
func (s *sessionManager) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	if current != nil {
		status, err := s.renew(ctx, current, r)
		if !errors.Is(err, host.ErrDisconnected) {
			return status, err
		}
	}
	current, status, err := s.open(ctx, r.Token)
	if err != nil || current == nil || !host.IncarnationStartedAt(r.Incarnation, current.startedAt) {
		return status, err
	}
	return s.renew(ctx, current, r)
}

// isFormer reports whether an incarnation has certainly ended: a later one has
// answered since, or no minion listens. A coordinator can only know an incarnation
// that has answered.
func (s *sessionManager) isFormer(incarnation string) bool {
	start, known := host.IncarnationStart(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone || known && start.Before(s.lastStart)
}

// renew forwards a renewal over a session. If the renewal is meant for another
// incarnation, only its fencing token is sent. The session is closed after any
// error but host.ErrFenced.
func (s *sessionManager) renew(ctx context.Context, target *session, r host.RenewLeaseRequest) (host.StatusReport, error) {
	if !host.IncarnationStartedAt(r.Incarnation, target.startedAt) {
		r = host.RenewLeaseRequest{Token: r.Token}
	}
	status, err := target.RenewLease(ctx, r)
	if err != nil && !errors.Is(err, host.ErrFenced) {
		s.closeSession(target)
	}
	return status, err
}

// open makes a new connection and reads which incarnation answers on it. The
// session replaces the current one, which is closed. It is nil, and the current
// session stays, if no minion listens or the call fails.
func (s *sessionManager) open(ctx context.Context, token int64) (*session, host.StatusReport, error) {
	c := s.connect()
	status, err := c.RenewLease(ctx, host.RenewLeaseRequest{Token: token})
	if err != nil || status.Gone {
		c.Close()
		s.mu.Lock()
		s.gone = s.gone || err == nil
		s.mu.Unlock()
		return nil, status, err
	}
	opened := &session{c, status.Minion.StartedAt}
	s.mu.Lock()
	former := s.current
	s.current, s.lastStart, s.gone = opened, opened.startedAt, false
	s.mu.Unlock()
	if former != nil {
		former.Close()
	}
	_ = level.Debug(s.logger).Log("event", "minion connected", "born", opened.startedAt.UnixMilli())
	return opened, status, nil
}

// closeSession closes a session, which is then no longer the current one.
func (s *sessionManager) closeSession(lost *session) {
	s.mu.Lock()
	if s.current == lost {
		s.current = nil
	}
	s.mu.Unlock()
	lost.Close()
}
