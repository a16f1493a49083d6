package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/relay"
)

// fakeLog takes appends after a delay, up to a size.
type fakeLog struct {
	platformlog.Log
	delay time.Duration
	limit int
	err   error

	mu       sync.Mutex
	payloads [][]byte
}

func (l *fakeLog) Append(ctx context.Context, payload []byte) (int64, error) {
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(l.delay):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.err != nil:
		return 0, l.err
	case l.limit > 0 && len(payload) > l.limit:
		return 0, fmt.Errorf("%w: %w", platformlog.ErrTooLarge, platformlog.ErrNotAppended)
	}
	l.payloads = append(l.payloads, payload)
	return int64(len(l.payloads)), nil
}

// run calls check with a relay that runs in a bubble with a fake clock.
func run(t *testing.T, log *fakeLog, options relay.Options, check func(c *qt.C, r *relay.Relay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := relay.New(options, log)
		g := group.New(t.Context())
		g.Go("relay", r.Run)
		check(qt.New(t), r)
		g.Stop()
		qt.Assert(t, g.Wait(), qt.IsNil)
	})
}

// appendAll appends one batch for each payload at the same time.
func appendAll(r *relay.Relay, payloads ...[]byte) []error {
	results := make([]error, len(payloads))
	g := group.New(context.Background())
	for i, payload := range payloads {
		g.Go("append", func(ctx context.Context) error {
			_, results[i] = r.Append(ctx, payload)
			return nil
		})
	}
	_ = g.Wait()
	return results
}

func batchOf(size int) []byte { return bytes.Repeat([]byte{0x0a}, size) }

// Guards against a relay that sends each batch on its own, which would exceed
// what the log takes.
func TestBatchesShareAppends(t *testing.T) {
	log := &fakeLog{delay: 5 * time.Millisecond}
	run(t, log, relay.Default(), func(c *qt.C, r *relay.Relay) {
		payloads := make([][]byte, 400)
		for i := range payloads {
			payloads[i] = batchOf(100)
		}
		start := time.Now()
		for _, err := range appendAll(r, payloads...) {
			c.Assert(err, qt.IsNil)
		}
		c.Assert(time.Since(start) < time.Second, qt.IsTrue)
		c.Assert(len(log.payloads) <= 2, qt.IsTrue, qt.Commentf("%d appends", len(log.payloads)))
		c.Assert(r.Counters.Batches.Value(), qt.Equals, int64(400))
	})
}

// Guards against an error that tells a writer the wrong fate of its batch.
func TestErrorsTellTheFate(t *testing.T) {
	tests := map[string]struct {
		log         *fakeLog
		options     func(*relay.Options)
		payload     int
		timeout     time.Duration
		notAppended bool
		unavailable bool
		tooLarge    bool
	}{
		"refused by the log":  {log: &fakeLog{err: platformlog.ErrNotAppended}, payload: 10, notAppended: true},
		"lost answer":         {log: &fakeLog{err: errors.New("connection reset")}, payload: 10},
		"too large alone":     {log: &fakeLog{limit: 100}, payload: 200, notAppended: true, tooLarge: true},
		"caller left in time": {log: &fakeLog{delay: time.Second}, payload: 10, timeout: 10 * time.Millisecond},
		"relay full":          {log: &fakeLog{}, options: func(o *relay.Options) { o.MaxPending = 5 }, payload: 10, notAppended: true, unavailable: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			options := relay.Default()
			if tt.options != nil {
				tt.options(&options)
			}
			run(t, tt.log, options, func(c *qt.C, r *relay.Relay) {
				ctx := context.Background()
				if tt.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tt.timeout)
					defer cancel()
				}
				_, err := r.Append(ctx, batchOf(tt.payload))
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.Is(err, platformlog.ErrNotAppended), qt.Equals, tt.notAppended, qt.Commentf("%v", err))
				c.Assert(errors.Is(err, relay.ErrUnavailable), qt.Equals, tt.unavailable)
				c.Assert(errors.Is(err, platformlog.ErrTooLarge), qt.Equals, tt.tooLarge)
			})
		})
	}
}

// Guards against a batch that reaches the log after its caller was told that it
// was not appended.
func TestWithdrawnBatchIsNotAppended(t *testing.T) {
	log := &fakeLog{delay: time.Second}
	run(t, log, relay.Default(), func(c *qt.C, r *relay.Relay) {
		g := group.New(context.Background())
		g.Go("first", func(ctx context.Context) error {
			_, err := r.Append(ctx, batchOf(1))
			return err
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := r.Append(ctx, batchOf(2))
		c.Assert(errors.Is(err, platformlog.ErrNotAppended), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(g.Wait(), qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Assert(len(log.payloads), qt.Equals, 1)
	})
}

// Guards against batches that are lost when a full bundle is more than the log
// takes at once.
func TestBundleShrinksToTheLimitOfTheLog(t *testing.T) {
	log := &fakeLog{limit: 500}
	run(t, log, relay.Default(), func(c *qt.C, r *relay.Relay) {
		payloads := make([][]byte, 40)
		for i := range payloads {
			payloads[i] = batchOf(100)
		}
		for _, err := range appendAll(r, payloads...) {
			c.Assert(err, qt.IsNil)
		}
		c.Assert(r.Counters.Batches.Value(), qt.Equals, int64(40))
	})
}

// Guards against callers that wait for ever on a relay that has stopped.
func TestStoppedRelayRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := relay.New(relay.Default(), &fakeLog{delay: time.Second})
		g := group.New(t.Context())
		g.Go("relay", r.Run)
		callers := group.New(t.Context())
		callers.Go("in flight", func(ctx context.Context) error {
			_, err := r.Append(ctx, batchOf(1))
			c.Check(errors.Is(err, platformlog.ErrNotAppended), qt.IsFalse)
			return nil
		})
		synctest.Wait()
		callers.Go("waiting", func(ctx context.Context) error {
			_, err := r.Append(ctx, batchOf(1))
			c.Check(errors.Is(err, relay.ErrUnavailable), qt.IsTrue)
			return nil
		})
		synctest.Wait()
		g.Stop()
		c.Assert(callers.Wait(), qt.IsNil)
		c.Assert(g.Wait(), qt.IsNil)
		_, err := r.Append(t.Context(), batchOf(1))
		c.Assert(errors.Is(err, relay.ErrUnavailable), qt.IsTrue)
	})
}
