package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/fleet/lease"
)

// minQuerySpacing bounds the rate of queries to a lease holder whose workers
// change all the time.
const minQuerySpacing = 20 * time.Millisecond

// holderClient talks to one agent that holds leases for the term.
type holderClient struct {
	term   *term
	name   string
	holder lease.Holder
	cancel context.CancelFunc

	mu         sync.Mutex
	wanted     []lease.WorkerAssignment
	version    int // version counts the changes of wanted and abandoned.
	abandoned  []lease.AbandonedLease
	interrupt  context.CancelFunc // interrupt cancels the query in progress; nil between queries.
	lastAnswer time.Time          // lastAnswer is when the last answer arrived, at first when the client was created.
	avoided    bool               // avoided is set while the holder does not answer.
}

// String names the lease holder.
func (hc *holderClient) String() string { return "lease holder " + hc.name }

// assign sets the workers whose leases the holder is to hold.
func (hc *holderClient) assign(wanted []lease.WorkerAssignment) {
	hc.change(func() { hc.wanted = wanted })
}

// abandon makes the holder stop renewing a lease, so that it expires. Each
// assignment repeats the request, because a query may be lost.
func (hc *holderClient) abandon(worker string, epoch int64) {
	hc.change(func() { hc.abandoned = append(hc.abandoned, lease.AbandonedLease{Worker: worker, Epoch: epoch}) })
}

// change changes the wanted or abandoned leases and cancels the query in progress,
// so that the next query carries the change at once.
func (hc *holderClient) change(change func()) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	change()
	hc.version++
	if hc.interrupt != nil {
		hc.interrupt()
	}
}

// leaseEndBound is the latest time at which a lease of the holder can be in
// force. A query whose answer was lost may still have extended the session once.
// The bound therefore covers two sessions, then the last renewal (CallTimeout) and
// its lease (TTL).
func (hc *holderClient) leaseEndBound() time.Time {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	timing := hc.term.timing
	return hc.lastAnswer.Add(2*timing.sessionTTL() + timing.TTL + timing.CallTimeout)
}

// sessionState is the state of a session with the lease holder.
type sessionState struct {
	id              lease.SessionID
	afterChange     uint64 // afterChange is the position of the last change that was received; 0 for none.
	established     bool   // established is set once the holder has answered in this session.
	assignedVersion int    // assignedVersion is the version of the assignment that the holder has.
	unanswered      bool   // unanswered is set when the last query was not answered.
}

// Run queries the holder for changes until ctx ends. It returns ErrSuperseded
// when another scheduler has acquired a lease.
func (hc *holderClient) Run(ctx context.Context) error {
	s := hc.newSession()
	for ctx.Err() == nil {
		sent := time.Now()
		changes, version, err := hc.query(ctx, s)
		switch {
		case err == nil:
			s.afterChange, s.assignedVersion, s.established, s.unanswered = changes.Next, version, true, false
			if err := hc.handleAnswer(ctx, s.id, sent, changes); err != nil {
				return err
			}
			sleep(ctx, minQuerySpacing)
		case errors.Is(err, lease.ErrNoSession) && s.established:
			// The session has expired, or the holder has restarted.
			s = hc.newSession()
		case errors.Is(err, lease.ErrNoSession):
			// The first query was lost, or the holder does not accept sessions yet.
			s = hc.newSession()
			hc.handleFailure(ctx, version)
		default:
			s.unanswered = true
			hc.handleFailure(ctx, version)
		}
	}
	return nil
}

// newSession returns the state of a session that begins with the next query.
func (hc *holderClient) newSession() sessionState {
	o := hc.term.options
	return sessionState{assignedVersion: -1, id: lease.SessionID{Owner: o.Holder, DataCentre: o.DataCentre, Number: hc.term.sessionCount.Add(1)}}
}

// query sends one query and returns the changes and the version of the
// assignment that it carried. After an unanswered query it does not wait for
// changes, and it does not extend the session, which leaseEndBound relies on.
func (hc *holderClient) query(ctx context.Context, s sessionState) (lease.Changes, int, error) {
	timing := hc.term.timing
	q := lease.Query{Session: s.id, After: s.afterChange, Extend: !s.unanswered}
	if !s.unanswered {
		q.Wait = timing.RenewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait+timing.CallTimeout)
	defer cancel()
	hc.mu.Lock()
	version := hc.version
	hc.interrupt = cancel
	if s.assignedVersion != version {
		q.Assignment = &lease.Assignment{Version: int64(version), Times: hc.term.leaseTimes(), Workers: hc.withEpochs()}
		// A request about an earlier lease than the last one is obsolete.
		hc.abandoned = slices.DeleteFunc(hc.abandoned, func(a lease.AbandonedLease) bool {
			return hc.term.routes[a.Worker].lastLeaseEpoch() != a.Epoch
		})
		q.Abandoned = slices.Clone(hc.abandoned)
	}
	hc.mu.Unlock()
	changes, err := hc.holder.Watch(ctx, q)
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.interrupt = nil
	if err == nil {
		hc.lastAnswer = time.Now()
	}
	return changes, version, err
}

// withEpochs returns the wanted workers with the last epoch that the term had of
// each. The caller holds hc.mu.
func (hc *holderClient) withEpochs() []lease.WorkerAssignment {
	wanted := slices.Clone(hc.wanted)
	for i, w := range wanted {
		wanted[i].Epoch = hc.term.routes[w.Worker.Name].lastLeaseEpoch()
	}
	return wanted
}

// isCurrent reports whether a change is about the present assignment of its
// worker.
func (hc *holderClient) isCurrent(c lease.WorkerChange) bool {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	return slices.ContainsFunc(hc.wanted, func(w lease.WorkerAssignment) bool {
		return w.Worker.Name == c.Worker && w.Generation == c.Generation
	})
}

// handleAnswer passes an answer on to the loop. It returns ErrSuperseded when
// another scheduler has acquired a lease of the present assignment.
func (hc *holderClient) handleAnswer(ctx context.Context, session lease.SessionID, sent time.Time, changes lease.Changes) error {
	for _, c := range changes.Workers {
		if c.State == lease.Superseded && hc.isCurrent(c) {
			return fmt.Errorf("%s: %w", c.Worker, ErrSuperseded)
		}
	}
	hc.mu.Lock()
	avoided := hc.avoided
	hc.avoided = false
	hc.mu.Unlock()
	if avoided {
		hc.term.post(ctx, func(t *term) { t.holderByRack = nil })
	}
	received := time.Now()
	hc.term.postWithoutStep(ctx, func(t *term) { t.handleChanges(hc, session, sent, received, changes) })
	return nil
}

// handleFailure waits RetryDelay before the next query, unless there is a change to
// send. A holder that has not answered for longer than sessionTTL is avoided: the
// loop assigns its workers to others until it answers again.
func (hc *holderClient) handleFailure(ctx context.Context, version int) {
	hc.mu.Lock()
	interrupted := hc.version != version
	avoid := !hc.avoided && time.Since(hc.lastAnswer) > hc.term.timing.sessionTTL()
	hc.avoided = hc.avoided || avoid
	hc.mu.Unlock()
	if avoid {
		hc.term.post(ctx, func(t *term) { t.holderByRack = nil })
	}
	if !interrupted {
		sleep(ctx, hc.term.timing.RetryDelay)
	}
}

// isAvoided reports whether the holder is to get no workers at the next assignment.
func (hc *holderClient) isAvoided() bool {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	return hc.avoided
}
