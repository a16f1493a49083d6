// Package ledger keeps the durable state of jobs as the newest record of each
// key in the platform's store. Every process folds the records into the same
// state; only the coordinator of a term writes the progress of jobs.
package ledger

import (
	"context"
	"errors"
	"time"
)

// Topic names a sequence of records in the store.
type Topic string

// Record is the newest value of a key. A record without a value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// StoredRecord is a record with its place in the topic.
type StoredRecord struct {
	Record
	Offset int64
}

// Page is a part of a topic in the order of its records.
type Page struct {
	Records []StoredRecord
	Next    int64 // Next is the offset after the last record that the page covers.
}

// Fence lets the store refuse the appends of a coordinator that was replaced.
type Fence struct {
	Writer   string
	Epoch    int64 // Epoch rises with each term.
	Sequence int64 // Sequence rises by one with each append of an epoch.
}

// Leadership is the answer to a candidate.
type Leadership struct {
	IsLeader   bool
	Generation int64 // Generation rises with each change of the holder.
}

// Errors of the store. After any other error it is open whether a write was
// done.
var (
	// ErrNotDone means that the store certainly did nothing.
	ErrNotDone = errors.New("the store did nothing")
	// ErrFenced means that a writer with a higher epoch was seen.
	ErrFenced = errors.New("a higher epoch was seen")
	// ErrExpired means that the records from the offset on are no longer kept.
	ErrExpired = errors.New("the records have expired")
)

// SequenceError is returned for an append that does not follow the last one.
type SequenceError struct {
	Expected int64 // Expected is the sequence number that the store takes next.
}

// Error implements error.
func (*SequenceError) Error() string { return "the append does not follow the last one" }

// Store is the platform's store. All calls are bounded by their context.
type Store interface {
	// Append stores the records, all or none.
	Append(ctx context.Context, topic Topic, records []Record) error
	// AppendFenced does so unless another writer has taken over. Without
	// records it only makes the epoch known.
	AppendFenced(ctx context.Context, topic Topic, fence Fence, records []Record) error
	// Read returns the records from an offset on. Without any it waits. Next of
	// the page is the offset to go on from.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key. Next of the page is an
	// offset from which reading finds all changes made meanwhile.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Campaign enters a candidate, which may move the leadership to it or to another
	// candidate, and keeps the leadership of its holder for the time to live.
	Campaign(ctx context.Context, topic Topic, candidate string, generation int64, timeToLive time.Duration) (Leadership, error)
	// Leader returns the candidate that holds the topic's leadership; empty when
	// nobody does.
	Leader(ctx context.Context, topic Topic) (string, error)
	// Resign takes a candidate, which may be another process that is gone, out of
	// the candidates, and the leadership from it.
	Resign(ctx context.Context, topic Topic, candidate string) error
}
