package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
)

// maxWait bounds how long a query waits for a change.
const maxWait = 10 * time.Second

// Table is the lease holder of this process. It implements Holder. Run is called
// once; queries block until then.
type Table struct {
	started chan struct{} // started is closed when group is set.
	group   *group.Group

	mu       sync.Mutex
	sessions map[SessionID]*session
	ended    bool // ended tables open no more sessions.
}

// NewTable returns a table without sessions.
func NewTable() *Table {
	return &Table{started: make(chan struct{}), sessions: map[SessionID]*session{}}
}

// String names the table in errors of its group.
func (t *Table) String() string { return "lease table" }

// Run renews the leases of all sessions until ctx ends. It does not release them:
// the next holder supersedes them, and the tasks keep running until then.
func (t *Table) Run(ctx context.Context) error {
	t.group = group.New(ctx)
	close(t.started)
	<-ctx.Done()
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	return t.group.Wait()
}

// Watch implements Holder.
func (t *Table) Watch(ctx context.Context, q Query) (Changes, error) {
	arrived := time.Now()
	select {
	case <-t.started:
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	}
	s, err := t.openSession(q)
	if err != nil {
		return Changes{}, err
	}
	s.mu.Lock()
	if arrived.After(s.deadline) {
		s.mu.Unlock()
		return Changes{}, ErrNoSession
	}
	if q.Extend {
		s.deadline = arrived.Add(s.times.SessionTTL)
	}
	s.dropAcknowledged(q.After)
	for _, a := range q.Abandoned {
		if r := s.renewers[a.Worker]; r != nil && r.lease.Epoch == a.Epoch {
			r.abandoned = true
		}
	}
	s.mu.Unlock()
	if q.Assignment != nil {
		s.assign(*q.Assignment)
	}
	q.Wait = min(q.Wait, maxWait)
	return s.watch(ctx, q, arrived), nil
}

// openSession returns the session of the query. It creates one for an extending
// query that has an assignment and no position, and ends the earlier sessions of
// the same owner and data centre.
func (t *Table) openSession(q Query) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[q.Session]; s != nil {
		return s, nil
	}
	if t.ended || q.Assignment == nil || q.After > 0 || !q.Extend {
		return nil, ErrNoSession
	}
	for id, s := range t.sessions {
		if id.Owner != q.Session.Owner || id.DataCentre != q.Session.DataCentre {
			continue
		}
		if id.Number > q.Session.Number {
			return nil, ErrNoSession // A later session exists, so the query was delayed.
		}
		s.group.Stop()
	}
	s := newSession(t.group.Context(), q.Session, *q.Assignment)
	t.sessions[q.Session] = s
	t.group.Go("lease session", func(ctx context.Context) error {
		s.stopAtExpiry(ctx)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.sessions, s.id)
		return nil
	})
	return s, nil
}

// Do implements Holder.
func (t *Table) Do(ctx context.Context, c Call) (worker.Task, error) {
	t.mu.Lock()
	s := t.sessions[c.Session]
	t.mu.Unlock()
	if s == nil || !s.alive() {
		return worker.Task{}, worker.ErrStaleLease
	}
	s.mu.Lock()
	r := s.renewers[c.Worker]
	if r == nil || r.lease.Epoch != c.Epoch {
		s.mu.Unlock()
		return worker.Task{}, worker.ErrStaleLease
	}
	client := worker.LeasedClient{Client: r.client, Lease: r.lease}
	s.mu.Unlock()
	switch c.Kind {
	case Start:
		return client.Start(ctx, c.Spec)
	case Throttle:
		return client.Throttle(ctx, c.Task, c.Cores)
	case Stop:
		return client.Stop(ctx, c.Task)
	case Checkpoint:
		return client.Checkpoint(ctx, c.Task, c.CheckpointTimeout)
	}
	return worker.Task{}, fmt.Errorf("%w: unknown kind of call %d", worker.ErrRefused, c.Kind)
}
