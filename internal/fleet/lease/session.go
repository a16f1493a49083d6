package lease

import (
	"context"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
)

// session holds the leases that one scheduler has assigned to this holder.
type session struct {
	id    SessionID
	times Times
	group *group.Group

	mu              sync.Mutex
	deadline        time.Time // deadline is when the session expires and its leases are no longer renewed.
	assignedVersion int64     // assignedVersion is the version of the last assignment.
	ended           bool      // ended sessions start no more renewers.
	position        uint64    // position is that of the last change; see Query.
	renewers        map[string]*renewer
	changed         chan struct{} // changed is closed at the next change and then replaced.
}

func newSession(parent context.Context, id SessionID, a Assignment) *session {
	s := &session{
		id:       id,
		times:    a.Times,
		group:    group.New(parent),
		deadline: time.Now().Add(a.Times.SessionTTL),
		renewers: map[string]*renewer{},
		changed:  make(chan struct{}),
	}
	s.group.Go("usage", s.pollUsage)
	return s
}

// alive reports whether the leases may be renewed. It compares the deadline with
// the clock, so a process that was paused notices that the session has expired.
func (s *session) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.deadline) && s.group.Context().Err() == nil
}

// stopAtExpiry waits until the session expires or is stopped, then stops its
// renewers.
func (s *session) stopAtExpiry(ctx context.Context) {
	for ctx.Err() == nil && s.alive() {
		s.mu.Lock()
		left := time.Until(s.deadline)
		s.mu.Unlock()
		sleep(s.group.Context(), left)
		if s.group.Context().Err() != nil {
			break
		}
	}
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.group.Stop()
	_ = s.group.Wait()
}

// update changes a renewer and wakes the waiting queries.
func (s *session) update(r *renewer, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordChange(r)
	change()
}

// recordChange gives the renewer the next position and wakes the waiting queries,
// which see all changes made before s.mu is released. s.mu is held.
func (s *session) recordChange(r *renewer) {
	s.position++
	r.position = s.position
	s.notify()
}

// notify wakes the waiting queries. s.mu is held.
func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// assign starts and stops renewers to match the assignment. A worker with a new
// generation gets a new renewer.
func (s *session) assign(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || a.Version <= s.assignedVersion {
		return
	}
	s.assignedVersion = a.Version
	wanted := map[string]WorkerAssignment{}
	for _, w := range a.Workers {
		wanted[w.Worker.Name] = w
	}
	for name, r := range s.renewers {
		if w, ok := wanted[name]; !ok || w.Generation != r.assignment.Generation {
			r.cancel()
			delete(s.renewers, name)
		}
	}
	for name, w := range wanted {
		if s.renewers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(s.group.Context())
		r := &renewer{
			session: s, assignment: w, cancel: cancel,
			client: worker.NewClient(w.Worker.Address, s.times.CallTimeout),
			tasks:  map[string]changedTask{},
			usage:  map[string]reportedUsage{},
		}
		s.renewers[name] = r
		s.group.Go(r.String(), func(context.Context) error { return r.Run(ctx) })
	}
}

// watch waits for changes after the position of the query. It returns the present
// state when q.Wait, ctx or the session ends first.
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
		case <-s.group.Context().Done():
			waiting = false
		}
	}
}

// changes collects the changes after a position. s.mu is held.
func (s *session) changes(after uint64, arrived time.Time) Changes {
	c := Changes{Next: s.position}
	now := time.Now()
	for name, r := range s.renewers {
		if r.state == Held && !r.silent {
			c.Renewed = min(c.Renewed, r.renewedAt.Sub(arrived))
		}
		if r.state == Held && r.silent {
			c.Silent = append(c.Silent, name)
		}
		if r.position <= after {
			continue
		}
		w := WorkerChange{
			Worker: name, Generation: r.assignment.Generation, State: r.state, Epoch: r.lease.Epoch,
			Renewed: r.renewedAt.Sub(arrived), Incarnation: r.incarnation, CompleteFor: r.completeFor + now.Sub(r.reportedAt),
		}
		for _, t := range r.tasks {
			if r.acquiredPosition > after || t.position > after {
				w.Tasks = append(w.Tasks, t.Task)
			}
		}
		c.Workers = append(c.Workers, w)
		c.Usage = append(c.Usage, r.usageAfter(after, now)...)
	}
	return c
}

// dropAcknowledged removes the ended tasks that the scheduler has received, as the
// position of its query shows. s.mu is held.
func (s *session) dropAcknowledged(after uint64) {
	for _, r := range s.renewers {
		if r.acquiredPosition > after {
			continue
		}
		for name, t := range r.tasks {
			if t.position <= after && !t.State.Live() {
				delete(r.tasks, name)
				delete(r.usage, name)
			}
		}
	}
}
