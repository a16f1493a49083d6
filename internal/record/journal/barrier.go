package journal

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// barrierTimeout bounds one barrier, so that the waiters after it do not wait
// for the end of an outage of the log.
const barrierTimeout = time.Second

// ReadBarrier proves that the journal has folded everything that was on the log
// at a point of time. Callers that wait together share a record. It is safe for
// concurrent use.
type ReadBarrier struct {
	writer *Writer
	wake   chan struct{}

	mu      sync.Mutex
	waiting *barrierRound // waiting has the callers of the next record; nil for none.
}

type barrierRound struct {
	done chan struct{}
	err  error // err is set before done is closed.
}

// NewReadBarrier returns a barrier on the journal that writer learns from.
func NewReadBarrier(w *Writer) *ReadBarrier {
	return &ReadBarrier{writer: w, wake: make(chan struct{}, 1)}
}

// String names the controller.
func (b *ReadBarrier) String() string { return "read barrier" }

// Wait returns nil once the journal holds all records that were on the log when
// it was called.
func (b *ReadBarrier) Wait(ctx context.Context) error {
	b.mu.Lock()
	if b.waiting == nil {
		b.waiting = &barrierRound{done: make(chan struct{})}
	}
	r := b.waiting
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("read barrier: %w", ctx.Err())
	}
}

// Run appends barriers until ctx ends.
func (b *ReadBarrier) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
		b.mu.Lock()
		r := b.waiting
		b.waiting = nil
		b.mu.Unlock()
		if r != nil {
			r.err = b.append(ctx)
			close(r.done)
		}
	}
}

func (b *ReadBarrier) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if _, err := b.writer.Append(ctx, Barrier{}); err != nil {
		return fmt.Errorf("read barrier: %w", err)
	}
	return nil
}
