package journal

import (
	"sync"

	"wasabihoist/internal/traffic/request"
)

// Changes is what has changed since the last call of Take.
type Changes struct {
	All           bool // All says that any job may have changed, because the state was restored.
	Configuration bool // Configuration or the set of lost workers has changed.
	Jobs          []request.Identity
}

// Subscription collects the changes of jobs and of the configuration, so that
// a controller does work per change and not per job. It is safe for concurrent
// use.
type Subscription struct {
	journal *Journal

	mu            sync.Mutex
	state         *state // state was in force at the last call of Take.
	jobs          map[request.Identity]struct{}
	configuration bool
}

// Subscribe returns a subscription whose first Changes has All set.
func (j *Journal) Subscribe() *Subscription {
	s := &Subscription{journal: j, jobs: map[request.Identity]struct{}{}}
	j.Observe(s.observe)
	return s
}

// Take returns the changes since the last call. Journal.Watch tells when there
// may be new ones.
func (s *Subscription) Take() Changes {
	s.journal.mu.RLock()
	defer s.journal.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{All: s.state != s.journal.state, Configuration: s.configuration}
	for id := range s.jobs {
		c.Jobs = append(c.Jobs, id)
	}
	s.state, s.configuration = s.journal.state, false
	clear(s.jobs)
	return c
}

// Reset makes the next call of Take report that all has changed.
func (s *Subscription) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = nil
}

func (s *Subscription) observe(_ string, _ uint64, record Record, verdict Verdict) {
	if !verdict.Valid {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r := record.(type) {
	case ConfigurationPublished, WorkerReported:
		s.configuration = true
	case JobSubmitted:
		s.jobs[r.Job.Identity] = struct{}{}
	case JobClaimed:
		s.jobs[r.Identity] = struct{}{}
	case JobRunning:
		s.jobs[r.Identity] = struct{}{}
	case JobReleased:
		s.jobs[r.Identity] = struct{}{}
	case JobEnded:
		s.jobs[r.Identity] = struct{}{}
	case JobCancelled:
		s.jobs[r.Identity] = struct{}{}
	}
}
