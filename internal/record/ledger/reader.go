package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
)

const (
	// longPollWait limits a long poll, so that a dead connection is noticed. A
	// record that the store drops immediately does not end a poll.
	longPollWait = 500 * time.Millisecond
	// shortPollWait limits long polls while the store drops records, because an
	// urgent job can wait only about a second.
	shortPollWait = 100 * time.Millisecond
	// shortPollPeriod is how long polls stay short after records expired unread. A
	// store that drops its history does so for several seconds.
	shortPollPeriod = 10 * time.Second
	// readTimeoutMargin is the time that a read may take in addition to its wait.
	readTimeoutMargin = time.Second
	// retryInterval limits the load on a failing store.
	retryInterval = 100 * time.Millisecond
)

// Fold builds state from the records of a topic.
type Fold interface {
	// Next returns the offset of the next record to read.
	Next() int64
	// Apply folds consecutive records and returns the errors of those it skips.
	Apply(page Page) error
	// Replace folds a page with the newest record of each key. It reports false and
	// changes nothing when the page is older than the state.
	Replace(page Page) (bool, error)
}

// Reader keeps a fold up to date with a topic. It is safe for concurrent use.
type Reader struct {
	store  Store
	topic  Topic
	fold   Fold
	wait   time.Duration
	logger log.Logger
	odd    *limitedlog.Logger // odd logs records that can't be read.

	mu           sync.Mutex
	loaded       bool          // loaded is set once the newest records of all keys are folded.
	asOf         time.Time     // asOf is the start of the latest successful read.
	expiredAt    time.Time     // expiredAt is when records last expired unread.
	failing      bool          // failing is set while reads fail; only changes are logged.
	inFlight     *refreshCall  // inFlight is the refresh in progress, nil if none.
	loadedSignal chan struct{} // loadedSignal is closed when loaded is set.
}

// refreshCall is a refresh that concurrent callers share.
type refreshCall struct {
	done      chan struct{}
	err       error
	abandoned bool // abandoned is set when the caller that reads has given up. Then err says nothing about the store.
}

// NewReader returns a reader of a topic. wait limits its long polls; 0 is the
// default of 500 ms.
func NewReader(store Store, topic Topic, fold Fold, wait time.Duration, logger log.Logger) *Reader {
	if wait == 0 {
		wait = longPollWait
	}
	logger = log.With(logger, "topic", topic)
	return &Reader{store: store, topic: topic, fold: fold, wait: wait, logger: logger, odd: limitedlog.New(logger), loadedSignal: make(chan struct{})}
}

// String returns the name used in logs.
func (r *Reader) String() string { return "reader of " + string(r.topic) }

// AsOf returns the time up to which all stored records are folded, zero before the
// first load.
func (r *Reader) AsOf() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// Loaded returns a channel that is closed once the fold has all keys.
func (r *Reader) Loaded() <-chan struct{} { return r.loadedSignal }

// Run reads until ctx ends. It retries failed reads.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.readAndFold(ctx, r.pollWait()) != nil { // The failure is already logged.
			_ = group.Pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// pollWait returns the limit of the next long poll.
func (r *Reader) pollWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.expiredAt) < shortPollPeriod {
		return min(r.wait, shortPollWait)
	}
	return r.wait
}

// Refresh folds all records stored before the call. Concurrent calls share reads.
func (r *Reader) Refresh(ctx context.Context) error {
	r.mu.Lock()
	former := r.inFlight
	r.mu.Unlock()
	if former != nil { // That read may have started before this call: wait for the next one.
		if err := former.wait(ctx); err != nil {
			return err
		}
	}
	for {
		r.mu.Lock()
		call := r.inFlight
		if call == nil || call == former {
			call = &refreshCall{done: make(chan struct{})}
			r.inFlight = call
			r.mu.Unlock()
			return r.refresh(ctx, call)
		}
		r.mu.Unlock()
		if err := call.wait(ctx); err != nil {
			return err
		}
		if !call.abandoned {
			return call.err
		}
	}
}

// wait waits until the call is done. It returns an error only if ctx ends.
func (c *refreshCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// refresh reads for all callers that share the call.
func (r *Reader) refresh(ctx context.Context, call *refreshCall) error {
	call.err = r.readAndFold(ctx, 0)
	call.abandoned = call.err != nil && ctx.Err() != nil
	r.mu.Lock()
	if r.inFlight == call {
		r.inFlight = nil
	}
	r.mu.Unlock()
	close(call.done)
	return call.err
}

// readAndFold reads the next page and folds it. If the store had more records when it
// answered, it reads them too. It loads the newest record of each key when nothing is
// loaded or the next records have expired.
func (r *Reader) readAndFold(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	loaded := r.loaded
	r.mu.Unlock()
	start := time.Now()
	if !loaded {
		return r.load(ctx, wait, start)
	}
	for end := int64(0); ; wait = 0 {
		from := r.fold.Next()
		page, err := r.readPage(ctx, from, wait)
		switch {
		case errors.Is(err, ErrExpired):
			r.mu.Lock()
			r.expiredAt = time.Now()
			r.mu.Unlock()
			_ = level.Info(r.logger).Log("event", "records expired", "next", from, "outcome", "reload the newest record of each key")
			return r.load(ctx, wait, start)
		case err != nil:
			return r.handleReadFailure(ctx, err)
		}
		if err := r.fold.Apply(page); err != nil {
			r.logSkipped(err)
		}
		end = cmp.Or(end, page.End)
		if page.Next >= end {
			r.handleReadSuccess(start)
			return nil
		}
		if page.Next <= from {
			return r.handleReadFailure(ctx, fmt.Errorf("the store returned no records from %d on, and has those up to %d", from, end))
		}
	}
}

func (r *Reader) readPage(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return r.store.Read(ctx, r.topic, from, wait)
}

// maxReasonBytes bounds the errors of skipped records in a log line. They may quote
// the records.
const maxReasonBytes = 1000

func (r *Reader) logSkipped(err error) {
	r.odd.Warn("event", "unreadable records skipped", "reason", fmt.Sprintf("%.*s", maxReasonBytes, err.Error()))
}

// load reads the newest record of each key and replaces the folded state by them. It
// may take as long as a read with the given wait.
func (r *Reader) load(ctx context.Context, wait time.Duration, start time.Time) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	page, err := r.store.Newest(callCtx, r.topic)
	if err != nil {
		return r.handleReadFailure(ctx, err)
	}
	applied, err := r.fold.Replace(page)
	if err != nil {
		r.logSkipped(err)
	}
	if !applied {
		return r.handleReadFailure(ctx, errors.New("the store returned an older state"))
	}
	r.mu.Lock()
	if !r.loaded {
		r.loaded = true
		close(r.loadedSignal)
	}
	r.mu.Unlock()
	r.handleReadSuccess(start)
	return nil
}

// handleReadFailure marks the reader as failing, logs the first failure of a series
// and returns err.
func (r *Reader) handleReadFailure(ctx context.Context, err error) error {
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

// handleReadSuccess advances asOf to the start of a successful read and logs the end
// of a series of failures.
func (r *Reader) handleReadSuccess(start time.Time) {
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
