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

// Connection is a client of a minion over one connection. Its calls fail with
// host.ErrDisconnected once that is gone or in use.
type Connection interface {
	host.Client
	Close()
}

// Connect returns a connection that opens with its first call.
type Connect func() Connection

// sessions keeps a connection to the present life of the minion. A minion does
// not tell which life a renewal is meant for, and forgets ends of its own that
// the renewal acknowledges for a former life. A connection ends with the life
// that it was made to.
type sessions struct {
	connect Connect
	logger  log.Logger

	mu      sync.Mutex
	current *session // current is nil while no life is known to answer.
}

// session is a connection to one life of the minion.
type session struct {
	Connection
	born time.Time // born is when that life started.
}

// Hold passes a renewal on to the life that it is meant for. Any other life is
// only asked for its listing.
func (s *sessions) Hold(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	if current != nil {
		l, err := s.ask(ctx, current, r)
		if !errors.Is(err, host.ErrDisconnected) {
			return l, err
		}
	}
	current, l, err := s.open(ctx, r.Token)
	if err != nil || current == nil || !host.IncarnationStartedAt(r.Incarnation, current.born) {
		return l, err
	}
	return s.ask(ctx, current, r)
}

// ask passes a renewal on over a session, without what is meant for another
// life. A session on which that fails is given up.
func (s *sessions) ask(ctx context.Context, on *session, r host.RenewLeaseRequest) (host.StatusReport, error) {
	if !host.IncarnationStartedAt(r.Incarnation, on.born) {
		r = host.RenewLeaseRequest{Token: r.Token}
	}
	l, err := on.RenewLease(ctx, r)
	if err != nil && !errors.Is(err, host.ErrFenced) {
		s.drop(on)
	}
	return l, err
}

// open makes a new connection and asks which life answers on it. The session is
// nil when no minion is there.
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
	_ = level.Debug(s.logger).Log("event", "minion connected", "born", opened.born.UnixMilli())
	return opened, l, nil
}

func (s *sessions) drop(lost *session) {
	s.mu.Lock()
	if s.current == lost {
		s.current = nil
	}
	s.mu.Unlock()
	lost.Close()
}
