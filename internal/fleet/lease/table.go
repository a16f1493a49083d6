package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
)

// maxWait bounds how long a query waits.
const maxWait = 10 * time.Second

// Table is the holder of this process. It implements Holder. Queries wait for
// Run, which is called once.
type Table struct {
	started chan struct{} // started is closed when work is set.
	work    *group.Group

	mu       sync.Mutex
	sessions map[SessionID]*session
	ended    bool // ended tables start nothing any more.
}

// NewTable returns a table without sessions.
func NewTable() *Table {
	return &Table{started: make(chan struct{}), sessions: map[SessionID]*session{}}
}

// String names the controller.
func (t *Table) String() string { return "lease table" }

// Run keeps the leases until ctx ends. They are not given back: a successor
// supersedes them, and the tasks go on meanwhile.
func (t *Table) Run(ctx context.Context) error {
	t.work = group.New(ctx)
	close(t.started)
	<-ctx.Done()
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	return t.work.Wait()
}

// Watch implements Holder.
func (t *Table) Watch(ctx context.Context, q Query) (Changes, error) {
	arrived := time.Now()
	select {
	case <-t.started:
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	}
	s, err := t.open(q)
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
	s.acknowledge(q.After)
	for _, a := range q.Abandoned {
		if k := s.keepers[a.Worker]; k != nil && k.lease.Epoch == a.Epoch {
			k.abandoned = true
		}
	}
	s.mu.Unlock()
	if q.Assignment != nil {
		s.assign(*q.Assignment)
	}
	q.Wait = min(q.Wait, maxWait)
	return s.watch(ctx, q, arrived), nil
}

// open finds the session. A session begins with a query that has an assignment
// and no position.
func (t *Table) open(q Query) (*session, error) {
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
			return nil, ErrNoSession // The query was delayed.
		}
		s.work.Stop()
	}
	s := newSession(t.work.Context(), q.Session, *q.Assignment)
	t.sessions[q.Session] = s
	t.work.Go("lease session", func(ctx context.Context) error {
		s.run(ctx)
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
	k := s.keepers[c.Worker]
	if k == nil || k.lease.Epoch != c.Epoch {
		s.mu.Unlock()
		return worker.Task{}, worker.ErrStaleLease
	}
	session := worker.Session{Client: k.client, Lease: k.lease}
	s.mu.Unlock()
	switch c.Kind {
	case Start:
		return session.Start(ctx, c.Spec)
	case Throttle:
		return session.Throttle(ctx, c.Task, c.Cores)
	case Stop:
		return session.Stop(ctx, c.Task)
	case Checkpoint:
		return session.Checkpoint(ctx, c.Task, c.Limit)
	}
	return worker.Task{}, fmt.Errorf("%w: unknown kind of call %d", worker.ErrRefused, c.Kind)
}
