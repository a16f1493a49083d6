package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// minSpacing bounds the renewals of one worker whose tasks change all the time.
const minSpacing = 20 * time.Millisecond

// keeper holds the lease of one worker and passes on its reports.
type keeper struct {
	term   *term
	worker worker.Worker
	client *worker.Client

	mu        sync.Mutex
	session   worker.Session
	abandoned bool
}

// leased is the worker under the lease that was in force when the gang was
// assembled. It implements gang.Host.
type leased struct {
	worker.Session
	keeper *keeper
}

// Abandon implements gang.Host.
func (l leased) Abandon() {
	l.keeper.mu.Lock()
	defer l.keeper.mu.Unlock()
	if l.keeper.session.Lease == l.Lease {
		l.keeper.abandoned = true
	}
}

func (k *keeper) host() leased {
	k.mu.Lock()
	defer k.mu.Unlock()
	return leased{k.session, k}
}

func (k *keeper) isAbandoned() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.abandoned
}

// String names the controller.
func (k *keeper) String() string { return "lease keeper of " + k.worker.Name }

// Run holds the lease until ctx ends or another holder supersedes it.
func (k *keeper) Run(ctx context.Context) error {
	defer k.client.Close()
	silent := time.Now()
	reported := false
	for ctx.Err() == nil {
		sent, report, err := k.acquire(ctx)
		if errors.Is(err, worker.ErrStaleLease) {
			return ErrSuperseded
		}
		if err != nil {
			if !reported && time.Since(silent) > k.term.limits.TTL+k.term.limits.Call {
				reported = true
				k.term.post(ctx, func(t *term) { t.workerLost(k.worker.Name) })
			}
			sleep(ctx, k.term.limits.Retry)
			continue
		}
		k.term.post(ctx, func(t *term) { t.workerUp(k.worker.Name, sent, report) })
		if err := k.hold(ctx, sent, report); err != nil {
			return err
		}
		k.term.post(ctx, func(t *term) { t.workerLost(k.worker.Name) })
		silent, reported = time.Now(), true
	}
	return nil
}

// acquire takes the lease with the epoch after the highest that was seen.
func (k *keeper) acquire(ctx context.Context) (time.Time, worker.Report, error) {
	listing, err := k.client.List(ctx)
	if err != nil {
		return time.Time{}, worker.Report{}, err
	}
	lease := worker.Lease{
		Holder: k.term.options.Holder,
		Epoch:  max(listing.Lease.Epoch, k.host().Lease.Epoch) + 1,
		TTL:    k.term.limits.TTL,
	}
	sent := time.Now()
	report, err := k.client.Renew(ctx, lease, 0, 0)
	if err != nil {
		return time.Time{}, worker.Report{}, err
	}
	k.mu.Lock()
	k.session, k.abandoned = worker.Session{Client: k.client, Lease: lease}, false
	k.mu.Unlock()
	return sent, report, nil
}

// hold renews the lease until it has certainly lapsed, the worker has
// restarted or another holder has superseded it. Only the last is an error.
func (k *keeper) hold(ctx context.Context, sent time.Time, report worker.Report) error {
	incarnation, after := report.Incarnation, report.Next
	lapse := sent.Add(k.term.limits.TTL + k.term.limits.Call)
	reachable := true
	for ctx.Err() == nil {
		if k.isAbandoned() {
			sleep(ctx, time.Until(lapse))
			return ctx.Err()
		}
		if !reachable {
			// A renewal whose answer is lost prolongs the lease, so a silent
			// worker is asked for its list before the next renewal.
			_, err := k.client.List(ctx)
			if err != nil && time.Now().After(lapse) {
				return ctx.Err()
			}
			if err != nil {
				sleep(ctx, k.term.limits.Retry)
				continue
			}
		}
		wait := k.term.limits.Renew
		if !reachable {
			wait = 0
		}
		sent := time.Now()
		report, err := k.client.Renew(ctx, k.host().Lease, after, wait)
		if !errors.Is(err, worker.ErrUnreachable) {
			lapse = sent.Add(k.term.limits.TTL + k.term.limits.Call)
		}
		if errors.Is(err, worker.ErrStaleLease) {
			return fmt.Errorf("%s: %w", k.worker.Name, ErrSuperseded)
		}
		reachable = err == nil
		if err != nil {
			sleep(ctx, k.term.limits.Retry)
			continue
		}
		if report.Incarnation != incarnation {
			return nil
		}
		after = report.Next
		k.term.postReport(ctx, func(t *term) { t.workerReport(k.worker.Name, sent, report) })
		sleep(ctx, minSpacing)
	}
	return ctx.Err()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
