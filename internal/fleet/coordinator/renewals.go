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
	// holdWait is how long a renewal may wait for a change at the minion.
	holdWait = time.Second
	// holdPause follows a failed renewal.
	holdPause = 150 * time.Millisecond
	// settleWait bounds how long the next renewal waits until the ends in the
	// last listing are durable, because the minion lists them again at once.
	settleWait = 400 * time.Millisecond
	// farPause follows a failed renewal of a host that has been silent for
	// farSilence.
	farPause   = time.Second
	farSilence = 10 * time.Second
)

// startSession renews the leases of a host until the session or the term ends.
func (t *term) startSession(h *hostState, client host.Client, session *group.Group) {
	session.Go("renewals", func(ctx context.Context) error {
		return t.renew(ctx, h, client)
	})
	t.group.Go("session of "+h.name, func(context.Context) error { return session.Wait() })
}

// renew renews the leases of a host and takes its listings until ctx ends.
func (t *term) renew(ctx context.Context, h *hostState, client host.Client) error {
	for ctx.Err() == nil {
		request, ok := t.prepareHold(ctx, h)
		if !ok {
			return nil
		}
		sent := now()
		listing, err := client.RenewLease(ctx, request)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		next, ok := ask(ctx, t, func() pace { return t.takeReply(h, client, listing, err, sent) })
		if !ok {
			return nil
		}
		next.wait(ctx, h.wake)
	}
	return nil
}

// pace says when the next renewal of a host is due.
type pace struct {
	pause  time.Duration
	settle bool // settle ends the pause as soon as the ends in the last listing are durable.
}

func (p pace) wait(ctx context.Context, settled <-chan struct{}) {
	if p.pause == 0 {
		return
	}
	if !p.settle {
		settled = nil
	}
	timer := time.NewTimer(p.pause)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeReply works on the reply to a renewal in the loop of the term.
func (t *term) takeReply(h *hostState, client host.Client, l host.StatusReport, err error, sent time.Duration) pace {
	if h.client != client {
		return pace{pause: holdPause} // The session ends.
	}
	unsettled := false
	if err != nil {
		t.lostContact(h, err)
	} else {
		unsettled = t.take(h, l, sent)
	}
	switch {
	case (err != nil || !h.listed) && now()-max(h.contact, h.found) > farSilence:
		return pace{pause: farPause}
	case err != nil || !h.listed:
		return pace{pause: holdPause}
	case unsettled:
		return pace{settleWait, true}
	default:
		return pace{}
	}
}

// prepareHold builds the next renewal in the loop of the term. A term that has
// not been confirmed for a while looks, but renews nothing, so that the next
// term knows when the leases end.
func (t *term) prepareHold(ctx context.Context, h *hostState) (host.RenewLeaseRequest, bool) {
	return ask(ctx, t, func() host.RenewLeaseRequest {
		r := host.RenewLeaseRequest{Token: t.token, AcknowledgedSequence: h.acknowledged, Wait: holdWait}
		switch {
		case !h.listed || h.gone || h.silent:
			r.Wait = 0
		case h.shared():
			r.Wait = paceWait
		}
		if h.listed {
			r.Incarnation = h.minion.Incarnation()
		}
		if h.listed && t.mayRenew() {
			r.LeaseUntil = h.clock + t.settings().MaxLease
			h.lapse = max(h.lapse, h.contact+lapseTime(t.settings().MaxLease))
		}
		return r
	})
}

func (t *term) mayRenew() bool { return now()-time.Duration(t.confirmed.Load()) < confirmTime }

func (t *term) lostContact(h *hostState, err error) {
	if errors.Is(err, host.ErrOtherIncarnation) {
		h.listed = false // The next call takes whichever incarnation answers.
		return
	}
	if !h.silent {
		h.silent = true
		_ = level.Warn(t.logger).Log("event", "host silent", "host", h.name, "last-contact", ago(h.contact), "runs", len(h.runs), "reason", err)
	}
}
