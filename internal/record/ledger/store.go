// Package ledger keeps the durable state of jobs in the platform's store, a log of
// records where the newest record of a key counts. Every process folds the records
// into the same state; only the coordinator of the current term writes the progress
// of jobs.
package ledger

import (
	"context"
	"errors"
	"time"
)

// Topic names a log of records in the store.
type Topic string

// Record sets the value of a key. A record without a value is a tombstone that
// deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// StoredRecord is a record with its offset in the topic.
type StoredRecord struct {
	Record
	Offset int64
}

// Page is a range of a topic in the order of its records.
type Page struct {
	Records []StoredRecord
	Next    int64 // Next is the offset after the last record that the page covers.
	End     int64 // End is the offset after the last record that the store has; 0 if it is not known.
}

// KeyPage is a part of the newest records of a topic, in the order of their keys.
type KeyPage struct {
	Records []StoredRecord
	Last    string // Last is the last key of the page.
	More    bool   // More is set if there are further keys.
	End     int64  // End is the offset after the last record that the topic has.
}

// Fence identifies an append so that the store can reject replaced coordinators and
// out-of-order appends.
type Fence struct {
	Writer   string
	Epoch    int64 // Epoch increases with each term.
	Sequence int64 // Sequence increases by one with each append of an epoch.
}

// Leadership is the result of Store.Campaign.
type Leadership struct {
	IsLeader   bool  // IsLeader is set when the candidate holds the leadership.
	Generation int64 // Generation increases with each change of leader.
}

// Errors of the store. After any other error a write may or may not have been
// applied.
var (
	// ErrNotDone means that the store definitely applied nothing.
	ErrNotDone = errors.New("the store did nothing")
	// ErrFenced means that the store has seen a writer with a higher epoch.
	ErrFenced = errors.New("a higher epoch was seen")
	// ErrExpired means that the store no longer keeps the records at the offset.
	ErrExpired = errors.New("the records have expired")
)

// SequenceError is returned for an append with an unexpected sequence number.
type SequenceError struct {
	Expected int64 // Expected is the sequence number that the store accepts next.
}

// Error implements error.
func (*SequenceError) Error() string { return "the append does not follow the last one" }

// Store is a client of the platform's store. Each call ends with its context. Read
// and Newest call Arrived for each part of a reply.
type Store interface {
	// Append stores all the records or none.
	Append(ctx context.Context, topic Topic, records []Record) error
	// AppendFenced is an Append that the store rejects with ErrFenced once a writer
	// with a higher epoch has taken over, and with SequenceError out of order. Without
	// records it only announces the epoch.
	AppendFenced(ctx context.Context, topic Topic, fence Fence, records []Record) error
	// Read returns the records from an offset on. If there are none, it waits for up
	// to the given time. Page.Next is the offset for the next call. If a reply breaks
	// off, the records that have arrived are returned.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key after the given one, empty for the
	// first page. The pages are not one snapshot: reading from the KeyPage.End of the
	// first one on finds all later changes.
	Newest(ctx context.Context, topic Topic, after string) (KeyPage, error)
	// Campaign registers a candidate, or renews the leadership of a leader, for the
	// time to live. It may move the leadership to this or another candidate.
	// generation is the last one that the candidate has received, 0 if none.
	Campaign(ctx context.Context, topic Topic, candidate string, generation int64, timeToLive time.Duration) (Leadership, error)
	// Leader returns the candidate that leads the topic, empty if none does.
	Leader(ctx context.Context, topic Topic) (string, error)
	// Resign removes a candidate and ends its leadership. The candidate may be a
	// process that has ended.
	Resign(ctx context.Context, topic Topic, candidate string) error
}
