package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// stallTimeout ends a transfer of which nothing has arrived for this time. A
	// transfer that makes progress goes on, because its repetition would take a busy
	// link even longer.
	stallTimeout = time.Second
	// maxTransferTime bounds a transfer that makes progress. What has arrived of a
	// page by then is folded.
	maxTransferTime = 10 * time.Second
)

var errStalled = errors.New("the transfer has stalled")

type arrivalKey struct{}

// watchTransfer returns a context that ends when the reply to a call has not begun
// to arrive after a time, or when nothing more of it arrives for stallTimeout.
func watchTransfer(ctx context.Context, begin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTimeout := context.WithTimeout(ctx, begin+maxTransferTime)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(begin, func() { cancel(errStalled) })
	ctx = context.WithValue(ctx, arrivalKey{}, func() { timer.Reset(stallTimeout) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
		cancelTimeout()
	}
}

// Arrived tells the caller of a Store that a part of the reply to a call with this
// context has arrived, so that the call is not ended as stalled.
func Arrived(ctx context.Context) {
	if arrived, ok := ctx.Value(arrivalKey{}).(func()); ok {
		arrived()
	}
}

// describeStall adds to an error that the transfer with this context has stalled, if
// it has.
func describeStall(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return fmt.Errorf("%w: %w", errStalled, err)
	}
	return err
}
