package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
)

const (
	// longPollWait bounds a long poll, so that a connection that has become silent
	// is noticed. A poll is not woken by a record that the store drops at once.
	longPollWait = 500 * time.Millisecond
	// shortPollWait bounds long polls while the store drops records. An urgent job
	// can wait for about a second.
	shortPollWait = 100 * time.Millisecond
	// shortPollPeriod is how long after a loss of records the polls stay short; a
	// store that drops its history does it for several seconds.
	shortPollPeriod = 10 * time.Second
	// readTimeoutMargin is what a read may take beside its wait.
	readTimeoutMargin = time.Second
	// retryInterval keeps a process from flooding a store that fails.
	retryInterval = 100 * time.Millisecond
)

// Fold takes the records of a topic.
type Fold interface {
	Next() int64
	Apply(page Page) error
	// Replace reports false when the page is older than what was folded.
	Replace(page Page) (bool, error)
}

// Reader keeps a fold in step with a topic.
type Reader struct {
	store  Store
	topic  Topic
	fold   Fold
	wait   time.Duration
	logger log.Logger

	mu        sync.Mutex
	loaded    bool          // loaded is set once the newest records of all keys were folded.
	asOf      time.Time     // asOf is the start of the latest call that brought the fold up to date.
	expiredAt time.Time     // expired is when records were last dropped before they were read.
	failing   bool          // failing is set while reads fail; a change is logged.
	inFlight  *refreshCall  // flight is the refresh in progress.
	ready     chan struct{} // ready is closed when loaded is set.
}

type refreshCall struct {
	done chan struct{}
	err  error
}

// NewReader returns a reader of a topic whose long polls last for wait at most;
// 0 means the default.
func NewReader(store Store, topic Topic, fold Fold, wait time.Duration, logger log.Logger) *Reader {
	if wait == 0 {
		wait = longPollWait
	}
	return &Reader{store: store, topic: topic, fold: fold, wait: wait, logger: log.With(logger, "topic", topic), ready: make(chan struct{})}
}

// String names the reader.
func (r *Reader) String() string { return "reader of " + string(r.topic) }

// AsOf returns a time such that every record stored before it has been folded.
// It is zero before the first load.
func (r *Reader) AsOf() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// Loaded is closed once the fold holds all keys.
func (r *Reader) Loaded() <-chan struct{} { return r.ready }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.read(ctx, r.pollWait()) != nil { // It has logged why.
			_ = group.Pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// pollWait returns how long the next long poll may last.
func (r *Reader) pollWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.expiredAt) < shortPollPeriod {
		return min(r.wait, shortPollWait)
	}
	return r.wait
}

// Refresh folds all that was stored before the call. Calls that come together
// share one read.
func (r *Reader) Refresh(ctx context.Context) error {
	r.mu.Lock()
	call := r.inFlight
	r.mu.Unlock()
	if call != nil { // This read may have started before the call: wait for the next one.
		select {
		case <-call.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.mu.Lock()
	if r.inFlight != nil && r.inFlight != call {
		call = r.inFlight
		r.mu.Unlock()
		select {
		case <-call.done:
			return call.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	call = &refreshCall{done: make(chan struct{})}
	r.inFlight = call
	r.mu.Unlock()
	call.err = r.read(ctx, 0)
	r.mu.Lock()
	if r.inFlight == call {
		r.inFlight = nil
	}
	r.mu.Unlock()
	close(call.done)
	return call.err
}

// read folds one page. It loads all keys when there is no position to read
// from.
func (r *Reader) read(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	loaded := r.loaded
	r.mu.Unlock()
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	if !loaded {
		return r.load(callCtx, start)
	}
	page, err := r.store.Read(callCtx, r.topic, r.fold.Next(), wait)
	switch {
	case errors.Is(err, ErrExpired):
		r.mu.Lock()
		r.expiredAt = time.Now()
		r.mu.Unlock()
		_ = level.Info(r.logger).Log("event", "records expired", "next", r.fold.Next(), "outcome", "load the newest of each key")
		return r.load(callCtx, start)
	case err != nil:
		return r.recordFailure(ctx, err)
	}
	if err := r.fold.Apply(page); err != nil {
		_ = level.Warn(r.logger).Log("event", "records passed over", "reason", err)
	}
	r.recordSuccess(start)
	return nil
}

func (r *Reader) load(ctx context.Context, start time.Time) error {
	page, err := r.store.Newest(ctx, r.topic)
	if err != nil {
		return r.recordFailure(ctx, err)
	}
	current, err := r.fold.Replace(page)
	if err != nil {
		_ = level.Warn(r.logger).Log("event", "records passed over", "reason", err)
	}
	if !current {
		return r.recordFailure(ctx, errors.New("the store returned an older state"))
	}
	r.mu.Lock()
	if !r.loaded {
		r.loaded = true
		close(r.ready)
	}
	r.mu.Unlock()
	r.recordSuccess(start)
	return nil
}

func (r *Reader) recordFailure(ctx context.Context, err error) error {
	r.mu.Lock()
	first := !r.failing && ctx.Err() == nil
	r.failing = r.failing || first
	asOf := r.asOf
	r.mu.Unlock()
	if first {
		_ = level.Warn(r.logger).Log("event", "store lost", "as-of", asOf.UTC().Format(time.RFC3339Nano), "reason", err)
	}
	return err
}

func (r *Reader) recordSuccess(start time.Time) {
	r.mu.Lock()
	recovered := r.failing
	r.failing = false
	if start.After(r.asOf) {
		r.asOf = start
	}
	r.mu.Unlock()
	if recovered {
		_ = level.Info(r.logger).Log("event", "store regained", "next", r.fold.Next())
	}
}
