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

	lease            worker.Lease
	state            State
	position         uint64        // position of the last change of this worker.
	acquiredPosition uint64        // acquiredPosition is the position at which the present lease was acquired.
	abandoned        bool          // abandoned leases are no longer renewed, so that they lapse.
	silent           bool          // silent is set while the last renewal is unanswered.
	renewedAt        time.Time     // renewedAt is when the last answered renewal was sent.
	incarnation      int64         // incarnation of the worker; see worker.Report.
	completeFor      time.Duration // completeFor: all tasks that ended within this time before reportedAt are known.
	reportedAt       time.Time     // reportedAt is when the report that granted the lease arrived.
	tasks            map[string]changedTask
	usage            map[string]reportedUsage
}

// changedTask is a task and the position of its last change.
type changedTask struct {
	worker.Task
	position uint64
}

// String names the renewer by its worker.
func (r *renewer) String() string { return "lease renewer of " + r.assignment.Worker.Name }

// Run acquires and renews the lease until ctx or the session ends, or another
// holder supersedes it. It returns nil in all cases.
func (r *renewer) Run(ctx context.Context) error {
	defer r.client.Close()
	times := r.session.times
	silentSince, lostAfter, knownEpoch := time.Now(), times.FirstContactTimeout, r.assignment.Epoch
	lostReported, lapsesAt := false, time.Time{}
	for ctx.Err() == nil && r.session.alive() {
		sentAt, report, seenEpoch, err := r.acquire(ctx, knownEpoch)
		knownEpoch = max(knownEpoch, seenEpoch)
		switch {
		case errors.Is(err, errSuperseded):
			r.setState(Superseded)
			return nil
		case err != nil:
			if !sentAt.IsZero() && mayHaveRenewed(err) {
				lapsesAt = sentAt.Add(times.TTL + times.CallTimeout)
			}
			if !lostReported && time.Since(silentSince) > lostAfter {
				sleep(ctx, time.Until(lapsesAt))
				lostReported = true
				r.setState(Lost)
			}
			sleep(ctx, times.RetryDelay)
			continue
		}
		knownEpoch = r.currentLease().Epoch
		stale := r.renewUntilLost(ctx, sentAt, report)
		silentSince, lostAfter, lostReported = time.Now(), times.TTL+times.CallTimeout, false
		if !stale && ctx.Err() == nil && r.session.alive() {
			lostReported = true
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
// sentAt is when the renewal was sent, zero if none was. After a failed renewal, seenEpoch is the
// epoch that the worker listed before, otherwise 0. It raises knownEpoch, so that
// the next attempt does not supersede a scheduler that acquires the lease meanwhile.
func (r *renewer) acquire(ctx context.Context, knownEpoch int64) (sentAt time.Time, report worker.Report, seenEpoch int64, err error) {
	listing, err := r.client.List(ctx)
	if err != nil {
		return sentAt, report, 0, err
	}
	owner, generation := parseHolderName(listing.Lease.Holder)
	if owner == r.session.id.Owner && generation > r.assignment.Generation ||
		owner != r.session.id.Owner && knownEpoch > 0 && listing.Lease.Epoch > knownEpoch {
		return sentAt, report, 0, errSuperseded
	}
	lease := worker.Lease{
		Holder: holderName(r.session.id.Owner, r.assignment.Generation),
		Epoch:  max(listing.Lease.Epoch, r.currentLease().Epoch, knownEpoch) + 1,
		TTL:    r.session.times.TTL,
	}
	if !r.session.alive() {
		return sentAt, report, 0, ErrNoSession
	}
	sentAt = time.Now()
	report, err = r.client.Renew(ctx, lease, 0, 0)
	receivedAt := time.Now()
	if err != nil {
		return sentAt, report, listing.Lease.Epoch, err
	}
	r.session.update(r, func() {
		r.lease, r.state, r.abandoned, r.silent = lease, Held, false, false
		r.acquiredPosition = r.session.position
		r.renewedAt, r.incarnation = sentAt, report.Incarnation
		r.completeFor, r.reportedAt = report.CompleteFor, receivedAt
		r.tasks = map[string]changedTask{}
		r.storeTasks(report)
	})
	return sentAt, report, 0, nil
}

// mayHaveRenewed reports whether a renewal that failed with err may have granted
// the lease, so that the tasks of the worker go on.
func mayHaveRenewed(err error) bool {
	return !errors.Is(err, worker.ErrUnreachable) && !errors.Is(err, worker.ErrStaleLease) && !errors.Is(err, worker.ErrRefused)
}

// storeTasks stores the tasks of a report under the present position. session.mu is
// held.
func (r *renewer) storeTasks(report worker.Report) {
	for _, task := range report.Tasks {
		r.tasks[task.Name] = changedTask{task, r.session.position}
	}
}

// renewUntilLost renews the lease until it has certainly lapsed, the worker has
// restarted, or the worker rejects the lease as stale. It reports whether the
// lease is stale. A lease that is abandoned or whose worker is silent has
// certainly lapsed after TTL plus CallTimeout, counted from the last renewal that
// may have reached the worker.
func (r *renewer) renewUntilLost(ctx context.Context, sentAt time.Time, report worker.Report) bool {
	times, lease := r.session.times, r.currentLease()
	incarnation, after := report.Incarnation, report.Next
	lapsesAt := sentAt.Add(times.TTL + times.CallTimeout)
	lastRenewalAnswered := true
	for ctx.Err() == nil && r.session.alive() {
		if r.isAbandoned() {
			sleep(ctx, time.Until(lapsesAt))
			return false
		}
		if !lastRenewalAnswered {
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
		if !lastRenewalAnswered {
			wait = 0
		}
		sentAt := time.Now()
		report, err := r.client.Renew(ctx, lease, after, wait)
		if !errors.Is(err, worker.ErrUnreachable) {
			lapsesAt = sentAt.Add(times.TTL + times.CallTimeout)
		}
		if errors.Is(err, worker.ErrStaleLease) {
			return true
		}
		lastRenewalAnswered = err == nil
		if err != nil {
			r.recordFailure()
			sleep(ctx, times.RetryDelay)
			continue
		}
		if report.Incarnation != incarnation {
			return false
		}
		after = report.Next
		r.recordRenewal(sentAt, report)
		sleep(ctx, minRenewInterval)
	}
	return false
}

// recordRenewal records an answered renewal. It is reported at once when tasks have
// changed or when the worker had been reported silent.
func (r *renewer) recordRenewal(sentAt time.Time, report worker.Report) {
	r.session.mu.Lock()
	defer r.session.mu.Unlock()
	if len(report.Tasks) > 0 || r.silent {
		r.session.recordChange(r)
	}
	r.renewedAt, r.silent = sentAt, false
	r.storeTasks(report)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
