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

// minQuerySpacing bounds the queries to a holder whose workers change all the
// time.
const minQuerySpacing = 20 * time.Millisecond

// link is the connection to one agent that holds leases for the term.
type link struct {
	term   *term
	name   string
	holder lease.Holder
	cancel context.CancelFunc

	mu        sync.Mutex
	wanted    []lease.WorkerAssignment
	version   int // version counts the changes of wanted and abandoned.
	abandoned []lease.Abandoned
	interrupt context.CancelFunc // interrupt ends a waiting query; nil between queries.
	answered  time.Time          // answered is when the last answer arrived, or when the link began.
	avoided   bool               // avoided is set while the holder gives no answers.
}

// String names the controller.
func (l *link) String() string { return "lease holder " + l.name }

// assign replaces the workers of the link.
func (l *link) assign(wanted []lease.WorkerAssignment) {
	l.change(func() { l.wanted = wanted })
}

// abandon lets a lease lapse. It is repeated with each query, so that it is not
// lost with one.
func (l *link) abandon(worker string, epoch int64) {
	l.change(func() { l.abandoned = append(l.abandoned, lease.Abandoned{Worker: worker, Epoch: epoch}) })
}

// change interrupts a waiting query, so that the holder is told at once.
func (l *link) change(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.version++
	if l.interrupt != nil {
		l.interrupt()
	}
}

// heldUntil is the latest time at which a lease of the link can be in force. A
// query whose answer is lost may still arrive, and extend the session once.
func (l *link) heldUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.term.limits
	return l.answered.Add(2*limits.session() + limits.TTL + limits.CallTimeout)
}

// conversation is the state of a session with the holder.
type conversation struct {
	session    lease.SessionID
	after      uint64
	begun      bool
	assigned   int  // assigned is the version of the assignment that the holder has.
	unanswered bool // unanswered is set when the last query was not answered.
}

// Run asks the holder for changes until ctx ends or another scheduler has taken
// a lease.
func (l *link) Run(ctx context.Context) error {
	c := l.begin()
	for ctx.Err() == nil {
		sent := time.Now()
		changes, version, err := l.ask(ctx, c)
		switch {
		case err == nil:
			c.after, c.assigned, c.begun, c.unanswered = changes.Next, version, true, false
			if err := l.take(ctx, c.session, sent, changes); err != nil {
				return err
			}
			sleep(ctx, minQuerySpacing)
		case errors.Is(err, lease.ErrNoSession) && c.begun:
			c = l.begin()
		case errors.Is(err, lease.ErrNoSession):
			// The first query was lost, or the holder takes no sessions yet.
			c = l.begin()
			l.fail(ctx, version)
		default:
			c.unanswered = true
			l.fail(ctx, version)
		}
	}
	return nil
}

func (l *link) begin() conversation {
	o := l.term.options
	return conversation{assigned: -1, session: lease.SessionID{Owner: o.Holder, DataCentre: o.DataCentre, Number: l.term.sessions.Add(1)}}
}

// ask sends a query and returns the version of what it told the holder.
func (l *link) ask(ctx context.Context, c conversation) (lease.Changes, int, error) {
	limits := l.term.limits
	q := lease.Query{Session: c.session, After: c.after, Extend: !c.unanswered}
	if !c.unanswered {
		q.Wait = limits.RenewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait+limits.CallTimeout)
	defer cancel()
	l.mu.Lock()
	version := l.version
	l.interrupt = cancel
	if c.assigned != version {
		q.Assignment = &lease.Assignment{Version: int64(version), Times: l.term.times(), Workers: l.withEpochs()}
		l.abandoned = slices.DeleteFunc(l.abandoned, func(a lease.Abandoned) bool {
			return l.term.seats[a.Worker].highestEpoch() != a.Epoch
		})
		q.Abandoned = slices.Clone(l.abandoned)
	}
	l.mu.Unlock()
	changes, err := l.holder.Watch(ctx, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interrupt = nil
	if err == nil {
		l.answered = time.Now()
	}
	return changes, version, err
}

// withEpochs returns the wanted workers with the epochs that the term had. l.mu
// is held.
func (l *link) withEpochs() []lease.WorkerAssignment {
	wanted := slices.Clone(l.wanted)
	for i, w := range wanted {
		wanted[i].Epoch = l.term.seats[w.Worker.Name].highestEpoch()
	}
	return wanted
}

// isCurrent says whether a change is about the worker's present assignment.
func (l *link) isCurrent(c lease.WorkerChange) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.wanted, func(w lease.WorkerAssignment) bool {
		return w.Worker.Name == c.Worker && w.Generation == c.Generation
	})
}

// take passes an answer on to the loop.
func (l *link) take(ctx context.Context, session lease.SessionID, sent time.Time, changes lease.Changes) error {
	for _, c := range changes.Workers {
		if c.State == lease.Superseded && l.isCurrent(c) {
			return fmt.Errorf("%s: %w", c.Worker, ErrSuperseded)
		}
	}
	l.mu.Lock()
	avoided := l.avoided
	l.avoided = false
	l.mu.Unlock()
	if avoided {
		l.term.post(ctx, func(t *term) { t.shares = nil })
	}
	received := time.Now()
	l.term.postReport(ctx, func(t *term) { t.holderChanges(l, session, sent, received, changes) })
	return nil
}

// fail waits before the next query, unless there is something to tell the
// holder. A holder that has not answered for as long as its session lasts is
// avoided.
func (l *link) fail(ctx context.Context, version int) {
	l.mu.Lock()
	interrupted := l.version != version
	avoid := !l.avoided && time.Since(l.answered) > l.term.limits.session()
	l.avoided = l.avoided || avoid
	l.mu.Unlock()
	if avoid {
		l.term.post(ctx, func(t *term) { t.shares = nil })
	}
	if !interrupted {
		sleep(ctx, l.term.limits.RetryDelay)
	}
}

func (l *link) isAvoided() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.avoided
}
