package lease

import (
	"context"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
)

// session is what one scheduler has asked this holder for.
type session struct {
	id    SessionID
	times Times
	work  *group.Group

	mu       sync.Mutex
	deadline time.Time // deadline is when the leases are no longer renewed.
	assigned int64     // assigned is the version of the last assignment.
	ended    bool      // ended sessions start nothing any more.
	version  uint64
	keepers  map[string]*keeper
	changed  chan struct{} // changed is closed at the next change and then replaced.
}

func newSession(parent context.Context, id SessionID, a Assignment) *session {
	s := &session{
		id:       id,
		times:    a.Times,
		work:     group.New(parent),
		deadline: time.Now().Add(a.Times.SessionTTL),
		keepers:  map[string]*keeper{},
		changed:  make(chan struct{}),
	}
	s.work.Go("usage", s.usageRun)
	return s
}

// alive reports whether the leases may be renewed. A holder that was paused
// notices here that its session has ended.
func (s *session) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.deadline) && s.work.Context().Err() == nil
}

// run ends the session when it has not been extended in time.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil && s.alive() {
		s.mu.Lock()
		left := time.Until(s.deadline)
		s.mu.Unlock()
		sleep(s.work.Context(), left)
		if s.work.Context().Err() != nil {
			break
		}
	}
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.work.Stop()
	_ = s.work.Wait()
}

// update changes a keeper and tells the waiting query.
func (s *session) update(k *keeper, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(k)
	change()
}

// advance gives the keeper a new version and tells the waiting query, which
// sees what is changed before s.mu is released. s.mu is held.
func (s *session) advance(k *keeper) {
	s.version++
	k.version = s.version
	s.notify()
}

func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// assign starts and ends keepers. A worker with a new generation gets a new
// keeper.
func (s *session) assign(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || a.Version <= s.assigned {
		return
	}
	s.assigned = a.Version
	wanted := map[string]WorkerAssignment{}
	for _, w := range a.Workers {
		wanted[w.Worker.Name] = w
	}
	for name, k := range s.keepers {
		if w, ok := wanted[name]; !ok || w.Generation != k.wanted.Generation {
			k.cancel()
			delete(s.keepers, name)
		}
	}
	for name, w := range wanted {
		if s.keepers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(s.work.Context())
		k := &keeper{
			session: s, wanted: w, cancel: cancel,
			client: worker.NewClient(w.Worker.Address, s.times.CallTimeout),
			tasks:  map[string]versioned{},
			usage:  map[string]observed{},
		}
		s.keepers[name] = k
		s.work.Go(k.String(), func(context.Context) error { return k.Run(ctx) })
	}
}

// watch waits for changes after the position of the query.
func (s *session) watch(ctx context.Context, q Query, arrived time.Time) Changes {
	timeout := time.After(q.Wait)
	for waiting := true; ; {
		s.mu.Lock()
		changes, changed := s.changes(q.After, arrived), s.changed
		s.mu.Unlock()
		if changes.Next > q.After || !waiting {
			return changes
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-s.work.Context().Done():
			waiting = false
		}
	}
}

// changes collects what has changed after a position. s.mu is held.
func (s *session) changes(after uint64, arrived time.Time) Changes {
	c := Changes{Next: s.version}
	now := time.Now()
	for name, k := range s.keepers {
		if k.state == Held && !k.silent {
			c.Renewed = min(c.Renewed, k.renewed.Sub(arrived))
		}
		if k.state == Held && k.silent {
			c.Silent = append(c.Silent, name)
		}
		if k.version <= after {
			continue
		}
		w := WorkerChange{
			Worker: name, Generation: k.wanted.Generation, State: k.state, Epoch: k.lease.Epoch,
			Renewed: k.renewed.Sub(arrived), Incarnation: k.incarnation, CompleteFor: k.completeFor + now.Sub(k.listed),
		}
		for _, t := range k.tasks {
			if k.acquired > after || t.version > after {
				w.Tasks = append(w.Tasks, t.Task)
			}
		}
		c.Workers = append(c.Workers, w)
		c.Usage = append(c.Usage, k.usageAfter(after, now)...)
	}
	return c
}

// acknowledge forgets ended tasks that the scheduler knows. s.mu is held.
func (s *session) acknowledge(after uint64) {
	for _, k := range s.keepers {
		if k.acquired > after {
			continue
		}
		for name, t := range k.tasks {
			if t.version <= after && !t.State.Live() {
				delete(k.tasks, name)
				delete(k.usage, name)
			}
		}
	}
}
