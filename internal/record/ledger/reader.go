package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/boottime"
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

	transfer     chan struct{} // transfer has one element while a caller reads a backlog or the newest records.
	load         *keyLoad      // load is the load in progress, nil if none. The holder of transfer uses it.
	clock        func() time.Duration
	readInterval atomic.Int64 // readInterval is the minimum time between two reads of Run, in nanoseconds.

	mu           sync.Mutex
	loaded       bool          // loaded is set once the newest records of all keys are folded.
	mustLoad     bool          // mustLoad is set until the newest records are folded, at first and after records have expired.
	asOf         instant       // asOf is the start of the latest successful read.
	expiredAt    time.Time     // expiredAt is when records last expired unread.
	failing      bool          // failing is set while reads fail; only changes are logged.
	inFlight     *refreshCall  // inFlight is the refresh in progress, nil if none.
	loadedSignal chan struct{} // loadedSignal is closed when loaded is set.
}

// instant is a point in time.
type instant struct {
	wall    time.Time
	reading time.Duration // reading is that of the clock of the reader.
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
	return &Reader{
		store: store, topic: topic, fold: fold, wait: wait, logger: logger, odd: limitedlog.New(logger),
		clock: boottime.Now, transfer: make(chan struct{}, 1), mustLoad: true, loadedSignal: make(chan struct{}),
	}
}

// SetClock replaces the clock, which is boottime.Now. It must be called before any
// other method.
func (r *Reader) SetClock(clock func() time.Duration) { r.clock = clock }

// Now reads the clock of ReadAt.
func (r *Reader) Now() time.Duration { return r.clock() }

func (r *Reader) instant() instant { return instant{time.Now(), r.clock()} }

// SetReadInterval sets the minimum time between the starts of two reads of Run. The
// default is none: each record is then read as soon as it is stored.
func (r *Reader) SetReadInterval(d time.Duration) { r.readInterval.Store(int64(d)) }

// String returns the name used in logs.
func (r *Reader) String() string { return "reader of " + string(r.topic) }

// AsOf returns the time up to which all stored records are folded, zero before the
// first load. Its age says nothing after a suspend or a step of the wall clock; see
// ReadAt.
func (r *Reader) AsOf() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf.wall
}

// ReadAt returns AsOf as a reading of Now, 0 before the first load.
func (r *Reader) ReadAt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf.reading
}

// Failing reports whether the last read has failed.
func (r *Reader) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

// Loaded returns a channel that is closed once the fold has all keys.
func (r *Reader) Loaded() <-chan struct{} { return r.loadedSignal }

// Run reads until ctx ends. It retries failed reads.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start := time.Now()
		pause := time.Duration(r.readInterval.Load())
		if r.readAndFold(ctx, r.pollWait()) != nil { // The failure is already logged.
			start, pause = time.Now(), retryInterval
		}
		if pause -= time.Since(start); pause > 0 {
			_ = group.Pause(ctx, pause)
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

// readAndFold folds all records that the store has at the time of its answer. If the
// fold is up to date, it waits for new ones for up to the given time.
func (r *Reader) readAndFold(ctx context.Context, wait time.Duration) error {
	if wait > 0 && r.upToDate() {
		start := r.instant()
		page, err := r.readPage(ctx, r.fold.Next(), wait)
		switch {
		case errors.Is(err, ErrExpired):
			r.handleExpiry()
		case err != nil:
			return r.handleReadFailure(ctx, err)
		default:
			r.apply(page)
			if page.Next >= page.End {
				r.handleReadSuccess(start)
				return nil
			}
		}
	}
	return r.catchUp(ctx)
}

// upToDate reports whether nothing is known to be missing from the fold.
func (r *Reader) upToDate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.mustLoad && !r.failing
}

// catchUp folds all records that were stored before the call. It keeps what it has
// folded when it fails, and only one caller transfers records at a time, so that a
// backlog crosses the link once.
func (r *Reader) catchUp(ctx context.Context) error {
	start := r.instant()
	select {
	case r.transfer <- struct{}{}:
		defer func() { <-r.transfer }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for end := int64(0); ; {
		if r.needsLoad() {
			resumed := r.load != nil
			if err := r.loadAll(ctx); err != nil {
				return r.handleReadFailure(ctx, err)
			}
			if !resumed { // Otherwise the end of the topic is that of an earlier call.
				break
			}
		}
		from := r.fold.Next()
		page, err := r.readPage(ctx, from, 0)
		if errors.Is(err, ErrExpired) {
			r.handleExpiry()
			continue
		}
		if err != nil {
			return r.handleReadFailure(ctx, err)
		}
		r.apply(page)
		end = cmp.Or(end, page.End)
		if page.Next >= end {
			break
		}
		if page.Next <= from {
			return r.handleReadFailure(ctx, fmt.Errorf("the store returned no records from %d on, and has those up to %d", from, end))
		}
	}
	r.handleReadSuccess(start)
	return nil
}

func (r *Reader) readPage(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := watchTransfer(ctx, wait+stallTimeout)
	defer cancel()
	page, err := r.store.Read(ctx, r.topic, from, wait)
	return page, describeStall(ctx, err)
}

func (r *Reader) apply(page Page) {
	if err := r.fold.Apply(page); err != nil {
		r.logSkipped(err)
	}
}

// handleExpiry notes that the next records to read have expired, so that the newest
// record of each key has to be loaded.
func (r *Reader) handleExpiry() {
	r.mu.Lock()
	r.expiredAt = time.Now()
	first := !r.mustLoad
	r.mustLoad = true
	r.mu.Unlock()
	if first {
		_ = level.Info(r.logger).Log("event", "records expired", "next", r.fold.Next(), "outcome", "reload the newest record of each key")
	}
}

func (r *Reader) needsLoad() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mustLoad
}

// maxReasonBytes bounds the errors of skipped records in a log line. They may quote
// the records.
const maxReasonBytes = 1000

func (r *Reader) logSkipped(err error) {
	r.odd.Warn("event", "unreadable records skipped", "reason", fmt.Sprintf("%.*s", maxReasonBytes, err.Error()))
}

// keyLoad is a load of the newest record of each key that is in progress.
type keyLoad struct {
	records []StoredRecord
	after   string // after is the last key that has been loaded.
	end     int64  // end is the end of the topic when the load began; 0 before the first page.
}

// loadAll loads the newest record of each key and replaces the folded state by them.
// If it fails, the next call continues after the last page. The caller holds
// transfer.
func (r *Reader) loadAll(ctx context.Context) error {
	if r.load == nil {
		r.load = &keyLoad{}
	}
	l := r.load
	for more := true; more; {
		page, err := r.newestPage(ctx, l.after)
		if err != nil {
			return err
		}
		if l.end == 0 {
			l.end = page.End
		}
		l.records = append(l.records, page.Records...)
		if more = page.More; more && page.Last == l.after {
			r.load = nil
			return fmt.Errorf("the store returned the page after key %q again", l.after)
		}
		l.after = page.Last
	}
	r.load = nil
	applied, err := r.fold.Replace(Page{Records: l.records, Next: l.end, End: l.end})
	if err != nil {
		r.logSkipped(err)
	}
	if !applied {
		return errors.New("the store returned an older state")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mustLoad = false
	if !r.loaded {
		r.loaded = true
		close(r.loadedSignal)
	}
	return nil
}

func (r *Reader) newestPage(ctx context.Context, after string) (KeyPage, error) {
	ctx, cancel := watchTransfer(ctx, stallTimeout)
	defer cancel()
	page, err := r.store.Newest(ctx, r.topic, after)
	return page, describeStall(ctx, err)
}

// handleReadFailure marks the reader as failing, logs the first failure of a series
// and returns err.
func (r *Reader) handleReadFailure(ctx context.Context, err error) error {
	r.mu.Lock()
	first := !r.failing && ctx.Err() == nil
	r.failing = r.failing || first
	asOf := r.asOf.wall
	r.mu.Unlock()
	if first {
		_ = level.Warn(r.logger).Log("event", "store lost", "as-of", asOf.UTC().Format(time.RFC3339Nano), "reason", err)
	}
	return err
}

// handleReadSuccess advances asOf to the start of a successful read and logs the end
// of a series of failures.
func (r *Reader) handleReadSuccess(start instant) {
	r.mu.Lock()
	recovered := r.failing
	r.failing = false
	if start.reading > r.asOf.reading {
		r.asOf = start
	}
	r.mu.Unlock()
	if recovered {
		_ = level.Info(r.logger).Log("event", "store regained", "next", r.fold.Next())
	}
}
