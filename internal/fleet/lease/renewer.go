package lease

import (
	"context"
	"errors"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// minRenewInterval bounds the renewal rate of a worker whose tasks change
// constantly.
const minRenewInterval = 20 * time.Millisecond

var errSuperseded = errors.New("lease was acquired by another holder")

// renewer acquires and renews the lease of one worker. The fields after cancel
// are guarded by the mutex of the session.
type renewer struct {
	session    *session
	assignment WorkerAssignment
	client     *worker.Client
	cancel     context.CancelFunc

	lease           worker.Lease
	state           State
	version         uint64 // version of the last change of this worker.
	acquiredVersion uint64 // acquiredVersion is the version at which the present lease was acquired.
	abandoned       bool
	silent          bool      // silent is set while the last renewal is unanswered.
	renewedAt       time.Time // renewedAt is when the last answered renewal was sent.
	incarnation     int64
	completeFor     time.Duration // completeFor is how far back from listedAt the list of ended tasks is complete.
	listedAt        time.Time
	tasks           map[string]versionedTask
	usage           map[string]reportedUsage
}

// versionedTask is a task and the version of the session at its last change.
type versionedTask struct {
	worker.Task
	version uint64
}

// String names the renewer by its worker.
func (r *renewer) String() string { return "lease renewer of " + r.assignment.Worker.Name }

// Run acquires and renews the lease until ctx or the session ends, or another
// holder supersedes it. It returns nil in all cases.
func (r *renewer) Run(ctx context.Context) error {
	defer r.client.Close()
	times := r.session.times
	silentSince, lostAfter, knownEpoch := time.Now(), times.FirstContactTimeout, r.assignment.Epoch
	reported := false
	for ctx.Err() == nil && r.session.alive() {
		sent, report, seenEpoch, err := r.acquire(ctx, knownEpoch)
		knownEpoch = max(knownEpoch, seenEpoch)
		switch {
		case errors.Is(err, errSuperseded):
			r.setState(Superseded)
			return nil
		case err != nil:
			if !reported && time.Since(silentSince) > lostAfter {
				reported = true
				r.setState(Lost)
			}
			sleep(ctx, times.RetryDelay)
			continue
		}
		knownEpoch = r.currentLease().Epoch
		stale := r.renewUntilLost(ctx, sent, report)
		silentSince, lostAfter, reported = time.Now(), times.TTL+times.CallTimeout, false
		if !stale && ctx.Err() == nil && r.session.alive() {
			reported = true
			r.setState(Lost)
		}
	}
	return nil
}

func (r *renewer) currentLease() worker.Lease {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	return r.lease
}

func (r *renewer) isAbandoned() bool {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	return r.abandoned
}

func (r *renewer) setState(state State) { r.session.update(r, func() { r.state = state }) }

// recordFailure records an unanswered renewal. The first one is reported at once,
// because urgent work may depend on the worker.
func (r *renewer) recordFailure() {
	r.session.mu.Lock()
	silent := r.silent
	r.session.mu.Unlock()
	if !silent {
		r.session.update(r, func() { r.silent = true })
	}
}

// acquire acquires the lease with an epoch above the highest known one. It returns
// errSuperseded when another scheduler holds a lease with an epoch above
// knownEpoch, or when this scheduler has assigned the worker to another agent with
// a higher generation. With a knownEpoch of 0 it supersedes any other scheduler.
// After a failed request to the worker, seenEpoch is the highest epoch that was
// listed, or 0; it raises knownEpoch for the next attempt.
func (r *renewer) acquire(ctx context.Context, knownEpoch int64) (sent time.Time, report worker.Report, seenEpoch int64, err error) {
	listing, err := r.client.List(ctx)
	if err != nil {
		return sent, report, 0, err
	}
	owner, generation := parseHolderName(listing.Lease.Holder)
	if owner == r.session.id.Owner && generation > r.assignment.Generation ||
		owner != r.session.id.Owner && knownEpoch > 0 && listing.Lease.Epoch > knownEpoch {
		return sent, report, 0, errSuperseded
	}
	lease := worker.Lease{
		Holder: holderName(r.session.id.Owner, r.assignment.Generation),
		Epoch:  max(listing.Lease.Epoch, r.currentLease().Epoch, knownEpoch) + 1,
		TTL:    r.session.times.TTL,
	}
	if !r.session.alive() {
		return sent, report, 0, ErrNoSession
	}
	sent = time.Now()
	report, err = r.client.Renew(ctx, lease, 0, 0)
	listed := time.Now()
	if err != nil {
		return sent, report, listing.Lease.Epoch, err
	}
	r.session.update(r, func() {
		r.lease, r.state, r.abandoned, r.silent = lease, Held, false, false
		r.acquiredVersion = r.session.version
		r.renewedAt, r.incarnation = sent, report.Incarnation
		r.completeFor, r.listedAt = report.CompleteFor, listed
		r.tasks = map[string]versionedTask{}
		r.storeTasks(report)
	})
	return sent, report, 0, nil
}

// storeTasks stores the tasks of a report under the present version. session.mu is
// held.
func (r *renewer) storeTasks(report worker.Report) {
	for _, task := range report.Tasks {
		r.tasks[task.Name] = versionedTask{task, r.session.version}
	}
}

// renewUntilLost renews the lease until it has certainly lapsed, the worker has
// restarted, or the worker rejects the lease as stale. It reports whether the
// lease is stale. A lease that is abandoned or whose worker is silent has
// certainly lapsed after TTL plus CallTimeout, counted from the last renewal that
// may have reached the worker.
func (r *renewer) renewUntilLost(ctx context.Context, sent time.Time, report worker.Report) bool {
	times, lease := r.session.times, r.currentLease()
	incarnation, after := report.Incarnation, report.Next
	lapsesAt := sent.Add(times.TTL + times.CallTimeout)
	reachable := true
	for ctx.Err() == nil && r.session.alive() {
		if r.isAbandoned() {
			sleep(ctx, time.Until(lapsesAt))
			return false
		}
		if !reachable {
			// A renewal whose answer is lost extends the lease, so a silent worker
			// is probed with a list request before the next renewal.
			_, err := r.client.List(ctx)
			if err != nil && time.Now().After(lapsesAt) {
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
		report, err := r.client.Renew(ctx, lease, after, wait)
		if !errors.Is(err, worker.ErrUnreachable) {
			lapsesAt = sent.Add(times.TTL + times.CallTimeout)
		}
		if errors.Is(err, worker.ErrStaleLease) {
			return true
		}
		reachable = err == nil
		if err != nil {
			r.recordFailure()
			sleep(ctx, times.RetryDelay)
			continue
		}
		if report.Incarnation != incarnation {
			return false
		}
		after = report.Next
		r.recordRenewal(sent, report)
		sleep(ctx, minRenewInterval)
	}
	return false
}

// recordRenewal records an answered renewal. It is reported at once when tasks have
// changed or when the worker had been reported silent.
func (r *renewer) recordRenewal(sent time.Time, report worker.Report) {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	if len(report.Tasks) > 0 || r.silent {
		r.session.bumpVersion(r)
	}
	r.renewedAt, r.silent = sent, false
	r.storeTasks(report)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
