package lease

import (
	"context"
	"errors"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// minSpacing bounds the renewals of one worker whose tasks change all the time.
const minSpacing = 20 * time.Millisecond

var errSuperseded = errors.New("another holder has the lease")

// keeper holds the lease of one worker. The fields after client are guarded by
// the mutex of the session.
type keeper struct {
	session *session
	wanted  WorkerAssignment
	client  *worker.Client
	cancel  context.CancelFunc

	lease       worker.Lease
	state       State
	version     uint64 // version of the last change of the worker.
	acquired    uint64 // acquired is the version at which the lease in force began.
	abandoned   bool
	silent      bool
	renewed     time.Time // renewed is when the last answered renewal was sent.
	incarnation int64
	completeFor time.Duration // completeFor is how far back the list of ended tasks reached at listed.
	listed      time.Time
	tasks       map[string]versioned
	usage       map[string]observed
}

type versioned struct {
	worker.Task
	version uint64
}

// String names the controller.
func (k *keeper) String() string { return "lease keeper of " + k.wanted.Worker.Name }

// Run holds the lease until ctx ends or another holder supersedes it.
func (k *keeper) Run(ctx context.Context) error {
	defer k.client.Close()
	times := k.session.times
	silent, limit, known := time.Now(), times.FirstContactTimeout, k.wanted.Epoch
	reported := false
	for ctx.Err() == nil && k.session.alive() {
		sent, report, seen, err := k.acquire(ctx, known)
		known = max(known, seen)
		switch {
		case errors.Is(err, errSuperseded):
			k.set(Superseded)
			return nil
		case err != nil:
			if !reported && time.Since(silent) > limit {
				reported = true
				k.set(Lost)
			}
			sleep(ctx, times.RetryDelay)
			continue
		}
		known = k.current().Epoch
		stale := k.hold(ctx, sent, report)
		silent, limit, reported = time.Now(), times.TTL+times.CallTimeout, false
		if !stale && ctx.Err() == nil && k.session.alive() {
			reported = true
			k.set(Lost)
		}
	}
	return nil
}

func (k *keeper) current() worker.Lease {
	k.session.mu.Lock()
	defer k.session.mu.Unlock()
	return k.lease
}

func (k *keeper) isAbandoned() bool {
	k.session.mu.Lock()
	defer k.session.mu.Unlock()
	return k.abandoned
}

func (k *keeper) set(state State) { k.session.update(k, func() { k.state = state }) }

// fail records an unanswered renewal. The first one is reported at once, because
// urgent work may depend on the worker.
func (k *keeper) fail() {
	k.session.mu.Lock()
	silent := k.silent
	k.session.mu.Unlock()
	if !silent {
		k.session.update(k, func() { k.silent = true })
	}
}

// acquire takes the lease with the epoch after the highest that was seen. A
// lease that was held before is not taken back from another scheduler, nor a
// worker that was given to another agent since. seen is the epoch after which
// a foreign lease supersedes this one.
func (k *keeper) acquire(ctx context.Context, known int64) (sent time.Time, report worker.Report, seen int64, err error) {
	listing, err := k.client.List(ctx)
	if err != nil {
		return sent, report, 0, err
	}
	owner, generation := parseName(listing.Lease.Holder)
	if owner == k.session.id.Owner && generation > k.wanted.Generation ||
		owner != k.session.id.Owner && known > 0 && listing.Lease.Epoch > known {
		return sent, report, 0, errSuperseded
	}
	lease := worker.Lease{
		Holder: leaseName(k.session.id.Owner, k.wanted.Generation),
		Epoch:  max(listing.Lease.Epoch, k.current().Epoch, known) + 1,
		TTL:    k.session.times.TTL,
	}
	if !k.session.alive() {
		return sent, report, 0, ErrNoSession
	}
	sent = time.Now()
	report, err = k.client.Renew(ctx, lease, 0, 0)
	listed := time.Now()
	if err != nil {
		return sent, report, listing.Lease.Epoch, err
	}
	k.session.update(k, func() {
		k.lease, k.state, k.abandoned, k.silent = lease, Held, false, false
		k.acquired = k.session.version
		k.renewed, k.incarnation = sent, report.Incarnation
		k.completeFor, k.listed = report.CompleteFor, listed
		k.tasks = map[string]versioned{}
		k.take(report)
	})
	return sent, report, 0, nil
}

// take keeps the tasks of a report. session.mu is held.
func (k *keeper) take(report worker.Report) {
	for _, task := range report.Tasks {
		k.tasks[task.Name] = versioned{task, k.session.version}
	}
}

// hold renews the lease until it has certainly lapsed, the worker has
// restarted or another holder has it. It reports whether the lease is stale.
func (k *keeper) hold(ctx context.Context, sent time.Time, report worker.Report) bool {
	times, lease := k.session.times, k.current()
	incarnation, after := report.Incarnation, report.Next
	lapse := sent.Add(times.TTL + times.CallTimeout)
	reachable := true
	for ctx.Err() == nil && k.session.alive() {
		if k.isAbandoned() {
			sleep(ctx, time.Until(lapse))
			return false
		}
		if !reachable {
			// A renewal whose answer is lost prolongs the lease, so a silent
			// worker is asked for its list before the next renewal.
			_, err := k.client.List(ctx)
			if err != nil && time.Now().After(lapse) {
				return false
			}
			if err != nil {
				sleep(ctx, times.RetryDelay)
				continue
			}
		}
		wait := times.RenewInterval
		if !reachable {
			wait = 0
		}
		sent := time.Now()
		report, err := k.client.Renew(ctx, lease, after, wait)
		if !errors.Is(err, worker.ErrUnreachable) {
			lapse = sent.Add(times.TTL + times.CallTimeout)
		}
		if errors.Is(err, worker.ErrStaleLease) {
			return true
		}
		reachable = err == nil
		if err != nil {
			k.fail()
			sleep(ctx, times.RetryDelay)
			continue
		}
		if report.Incarnation != incarnation {
			return false
		}
		after = report.Next
		k.renew(sent, report)
		sleep(ctx, minSpacing)
	}
	return false
}

// renew records an answered renewal. It is reported at once when it brings
// changes of tasks, or when the worker has been reported silent.
func (k *keeper) renew(sent time.Time, report worker.Report) {
	k.session.mu.Lock()
	defer k.session.mu.Unlock()
	if len(report.Tasks) > 0 || k.silent {
		k.session.advance(k)
	}
	k.renewed, k.silent = sent, false
	k.take(report)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
