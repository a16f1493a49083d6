// Package relay appends the batches of several processes to the platform's log
// together, so that the number of appends grows with the data centres and not
// with the processes.
package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// ErrUnavailable is returned together with platformlog.ErrNotAppended when the
// relay did not try to append, because it is stopping or full.
var ErrUnavailable = errors.New("relay takes no batches")

// Options bound what a relay sends and holds.
type Options struct {
	Spacing    time.Duration // Spacing is the least time between two appends.
	Backoff    time.Duration // Backoff after a failed append.
	MaxBytes   int           // MaxBytes of one append; a larger batch is sent alone.
	MaxPending int           // MaxPending bounds the bytes of the batches that wait or are in flight.
}

// Default returns the settings for production.
func Default() Options {
	return Options{
		Spacing:    50 * time.Millisecond,
		Backoff:    250 * time.Millisecond,
		MaxBytes:   256 << 10,
		MaxPending: 8 << 20,
	}
}

// Relay appends batches for its callers. Batches that wait together share an
// append, and one append is in flight at a time. A refused append is not tried
// again; that is left to the writers, which know which records still matter.
type Relay struct {
	Counters Counters
	options  Options
	log      platformlog.Log

	mu       sync.Mutex
	waiting  []*submission
	held     int // held is the bytes of the batches that wait or are in flight.
	maxBytes int // maxBytes is MaxBytes or less when the log refuses that much.
	stopped  bool
	wake     chan struct{}
}

// submission is the batch of one caller.
type submission struct {
	payload []byte
	sent    bool // sent batches may be in the log.
	result  chan result
}

type result struct {
	offset int64
	err    error
}

// New returns a relay to the log. It appends nothing until Run.
func New(options Options, log platformlog.Log) *Relay {
	return &Relay{options: options, log: log, maxBytes: options.MaxBytes, wake: make(chan struct{}, 1)}
}

// String names the controller.
func (r *Relay) String() string { return "log relay" }

// Append adds a batch to the log and returns its offset. An error that wraps
// platformlog.ErrNotAppended means that the batch certainly is not in the log.
func (r *Relay) Append(ctx context.Context, payload []byte) (int64, error) {
	s := &submission{payload: payload, result: make(chan result, 1)}
	if err := r.enqueue(s); err != nil {
		return 0, err
	}
	select {
	case res := <-s.result:
		return res.offset, res.err
	case <-ctx.Done():
		return r.withdraw(s, ctx.Err())
	}
}

func (r *Relay) enqueue(s *submission) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.held+len(s.payload) > r.options.MaxPending {
		r.Counters.Refused.Add(1)
		return fmt.Errorf("%w: %w", ErrUnavailable, platformlog.ErrNotAppended)
	}
	r.held += len(s.payload)
	r.waiting = append(r.waiting, s)
	r.signal()
	return nil
}

// withdraw gives up on a batch. One that was not sent yet is taken out.
func (r *Relay) withdraw(s *submission, cause error) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case res := <-s.result:
		return res.offset, res.err
	default:
	}
	if s.sent {
		return 0, fmt.Errorf("append through the relay: %w", cause)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(waiting *submission) bool { return waiting == s })
	r.held -= len(s.payload)
	return 0, fmt.Errorf("append through the relay: %w: %w", cause, platformlog.ErrNotAppended)
}

func (r *Relay) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run appends until ctx ends. Batches that still wait then are refused.
func (r *Relay) Run(ctx context.Context) error {
	defer r.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		for list := r.next(); len(list) > 0; list = r.next() {
			pause := r.options.Spacing
			if !r.send(ctx, list) {
				pause = r.options.Backoff
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause):
			}
		}
	}
}

func (r *Relay) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.settle(r.waiting, result{err: fmt.Errorf("%w: %w", ErrUnavailable, platformlog.ErrNotAppended)})
	r.waiting = nil
}

// next takes the batches for one append.
func (r *Relay) next() []*submission {
	r.mu.Lock()
	defer r.mu.Unlock()
	size, count := 0, 0
	for _, s := range r.waiting {
		size += len(s.payload) + journal.BundleOverhead
		if count > 0 && size > r.maxBytes {
			break
		}
		s.sent = true
		count++
	}
	list := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return list
}

// send appends a list of batches and reports whether the log took them.
func (r *Relay) send(ctx context.Context, list []*submission) bool {
	payload, err := join(list)
	offset := int64(0)
	if err == nil {
		offset, err = r.log.Append(ctx, payload)
	} else {
		err = fmt.Errorf("%w: %w", platformlog.ErrNotAppended, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, platformlog.ErrTooLarge) && len(list) > 1 {
		r.maxBytes = max(1, min(r.maxBytes, len(payload))/2)
		r.putBack(list)
		return true
	}
	r.Counters.Appends.Add(1)
	r.Counters.Batches.Add(int64(len(list)))
	if err != nil {
		r.Counters.Failed.Add(1)
	}
	r.settle(list, result{offset, err})
	return err == nil
}

// join returns the payload of one append. A single batch needs no bundle.
func join(list []*submission) ([]byte, error) {
	if len(list) == 1 {
		return list[0].payload, nil
	}
	payloads := make([][]byte, 0, len(list))
	for _, s := range list {
		payloads = append(payloads, s.payload)
	}
	return journal.EncodeBundle(payloads)
}

// putBack returns batches that are certainly not in the log to the front. It
// needs the mutex.
func (r *Relay) putBack(list []*submission) {
	for _, s := range list {
		s.sent = false
	}
	r.waiting = append(list, r.waiting...)
}

// settle answers the callers of batches. It needs the mutex.
func (r *Relay) settle(list []*submission, res result) {
	for _, s := range list {
		r.held -= len(s.payload)
		s.result <- res
	}
}
