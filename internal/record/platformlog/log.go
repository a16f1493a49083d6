// Package platformlog is the client of the platform's append-only log service.
package platformlog

import (
	"context"
	"errors"
	"time"
)

// Entry is one appended payload.
type Entry struct {
	Offset  int64
	Payload []byte
}

// Page is the result of a read.
type Page struct {
	Entries  []Entry // Entries are in ascending offset order.
	Next     int64   // Next is the offset to read from after this page.
	Earliest int64   // Earliest is the first offset that the log still keeps.
}

// ErrNotAppended marks errors after which the payload is certainly not in the
// log. Any other error of Append leaves that open.
var ErrNotAppended = errors.New("not appended")

// ErrTooLarge is returned together with ErrNotAppended when the log does not
// take a payload of this size.
var ErrTooLarge = errors.New("payload too large")

// ErrExpired is returned when a read starts below the earliest kept offset. The
// page that comes with it gives that offset in Earliest, or 0 when the source
// did not tell.
var ErrExpired = errors.New("offset is no longer kept")

// Log is the log service as the rest of the system uses it.
type Log interface {
	// Append adds a payload and returns its offset.
	Append(ctx context.Context, payload []byte) (int64, error)
	// Read returns entries from an offset on. It waits up to wait for the
	// first one when there is none yet.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
}
