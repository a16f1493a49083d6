package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
)

const (
	// renewalWait is how long the reply to a renewal may wait for a change at
	// the minion.
	renewalWait = time.Second
	// renewalRetryDelay is the delay after a failed renewal.
	renewalRetryDelay = 150 * time.Millisecond
	// durableTimeout bounds how long the next renewal waits until the ended
	// runs in the last status report are durable. A renewal sent before that
	// would return them again at once.
	durableTimeout = 400 * time.Millisecond
	// silentRetryDelay is the delay after a failed renewal of a host that has
	// been silent for longSilence.
	silentRetryDelay = time.Second
	longSilence      = 10 * time.Second
)

// startSession renews the leases of a host until the session or the term ends.
func (t *term) startSession(h *hostState, client host.Client, session *group.Group) {
	session.Go("renewals", func(ctx context.Context) error {
		return t.renew(ctx, h, client)
	})
	t.group.Go("session of "+h.name, func(context.Context) error { return session.Wait() })
}

// renew renews the leases of a host and handles its status reports until ctx
// ends.
func (t *term) renew(ctx context.Context, h *hostState, client host.Client) error {
	for ctx.Err() == nil {
		request, ok := t.prepareRenewal(ctx, h)
		if !ok {
			return nil
		}
		sent := now()
		report, err := client.RenewLease(ctx, request)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		next, ok := callLoop(ctx, t, func() renewalDelay { return t.handleRenewalReply(h, client, report, err, sent) })
		if !ok {
			return nil
		}
		next.wait(ctx, h.endedRunsDurable)
	}
	return nil
}

// renewalDelay is the time until the next renewal of a host is due.
type renewalDelay struct {
	delay        time.Duration
	untilDurable bool // untilDurable ends the delay as soon as the ended runs in the last status report are durable.
}

func (d renewalDelay) wait(ctx context.Context, durable <-chan struct{}) {
	if d.delay == 0 {
		return
	}
	if !d.untilDurable {
		durable = nil
	}
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-durable:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handleRenewalReply handles the reply to a renewal in the loop of the term.
func (t *term) handleRenewalReply(h *hostState, client host.Client, report host.StatusReport, err error, sent time.Duration) renewalDelay {
	if h.client != client {
		return renewalDelay{delay: renewalRetryDelay} // A newer session has replaced this one.
	}
	pendingEndedRuns := false
	if err != nil {
		t.handleRenewalError(h, err)
	} else {
		pendingEndedRuns = t.handleStatusReport(h, report, sent)
	}
	switch {
	case (err != nil || !h.incarnationKnown) && now()-max(h.lastContact, h.sessionStart) > longSilence:
		return renewalDelay{delay: silentRetryDelay}
	case err != nil || !h.incarnationKnown:
		return renewalDelay{delay: renewalRetryDelay}
	case pendingEndedRuns:
		return renewalDelay{durableTimeout, true}
	default:
		return renewalDelay{}
	}
}

// prepareRenewal builds the next renewal in the loop of the term.
func (t *term) prepareRenewal(ctx context.Context, h *hostState) (host.RenewLeaseRequest, bool) {
	return callLoop(ctx, t, func() host.RenewLeaseRequest { return t.renewalRequest(h) })
}

// renewalRequest returns the next renewal of a host. While leases may not be renewed
// there, the request fetches the status report only, so that the next term knows when
// the leases expire.
func (t *term) renewalRequest(h *hostState) host.RenewLeaseRequest {
	r := host.RenewLeaseRequest{Token: t.token, AcknowledgedSequence: h.acknowledgedSequence, Wait: renewalWait}
	switch {
	case !h.incarnationKnown || h.gone || h.silent:
		r.Wait = 0
	case h.needsThrottling() || h.listed || !t.leases.written:
		r.Wait = sharedRenewalWait
	}
	if h.incarnationKnown {
		r.Incarnation = h.incarnation()
	}
	if h.incarnationKnown && t.mayRenew(h) {
		r.LeaseUntil = h.minionClock + t.settings().MaxLease
		h.leaseExpiry = max(h.leaseExpiry, h.lastContact+maxLeaseDuration(t.settings().MaxLease))
	}
	return r
}

func (t *term) handleRenewalError(h *hostState, err error) {
	if errors.Is(err, host.ErrOtherIncarnation) {
		h.incarnationKnown = false // The next call accepts any incarnation.
		return
	}
	if !h.silent {
		h.silent = true
		_ = level.Warn(t.logger).Log("event", "host silent", "host", h.name, "last-contact", h.contactAge(), "runs", len(h.runs), "reason", err)
	}
}
