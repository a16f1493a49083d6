package fleethost

import (
	"context"
	"math/rand/v2"
	"time"

	"wasabihoist/internal/fleet/host"
)

// life is a client of one life of a minion, as a connection is that ends with
// the minion's process.
type life struct {
	*Minion
	born time.Time
}

// IncarnationClient returns a client of the incarnation that started at a time.
func (m *Minion) IncarnationClient(born time.Time) host.Client { return life{m, born} }

// lateOrder is an order that was not answered and is carried out later.
type lateOrder struct {
	due   time.Time
	carry func(late bool) error
}

// carryOutLate carries out the late orders that are due. What a refusal says
// reaches nobody.
func (m *Minion) carryOutLate() {
	var due []lateOrder
	rest := m.late[:0]
	for _, o := range m.late {
		if time.Now().After(o.due) {
			due = append(due, o)
		} else {
			rest = append(rest, o)
		}
	}
	m.late = rest
	for _, o := range due {
		_ = o.carry(true)
	}
}

// RenewLease implements host.Client.
func (l life) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	report, err := l.holdUntil(ctx, l.born, r, false)
	l.mu.Lock()
	mute := l.faults.Silent || rand.Float64() < l.faults.Mute
	l.mu.Unlock()
	if mute {
		<-ctx.Done()
		return host.StatusReport{}, errSilent
	}
	return report, err
}

// Start implements host.Client.
func (l life) Start(ctx context.Context, r host.StartRequest) error {
	l.mu.Lock()
	unhealthy := rand.Float64() < l.faults.Unhealthy
	l.mu.Unlock()
	if unhealthy {
		return host.ErrUnhealthy
	}
	return l.order(ctx, func(late bool) error { return l.start(r, late) })
}

// Stop implements host.Client.
func (l life) Stop(ctx context.Context, r host.StopRequest) error {
	return l.order(ctx, func(bool) error { return l.stop(r) })
}

// Throttle implements host.Client.
func (l life) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	return l.order(ctx, func(bool) error { return l.setPace(r) })
}

// order carries an order out unless the life has ended. A call without an answer
// returns when its caller has given up.
func (l life) order(ctx context.Context, carry func(late bool) error) error {
	err, answered := l.tryOrder(carry)
	if !answered {
		<-ctx.Done()
	}
	return err
}

func (l life) tryOrder(carry func(late bool) error) (err error, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.born.Equal(l.report.StartedAt) {
		return errSilent, true
	}
	switch {
	case l.faults.Silent:
		return errSilent, false
	case rand.Float64() < l.faults.Late:
		due := time.Now().Add(l.faults.LateBy - rand.N(1+l.faults.LateBy/2))
		l.late = append(l.late, lateOrder{due, carry})
		return errSilent, false
	case rand.Float64() < l.faults.Mute:
		_ = carry(false) // What a refusal says reaches nobody.
		return errSilent, false
	default:
		return carry(false), true
	}
}
