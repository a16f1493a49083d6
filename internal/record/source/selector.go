// Package source chooses where a process reads the records of the log: from
// the log service, from the reader of its region, or from any peer while the
// log is down.
package source

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// Peer is a process whose journal can be read.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Directory tells which peers there are.
type Directory interface {
	// RegionReader returns the peer that reads the log for this region, unless
	// this process reads the log itself.
	RegionReader() (Peer, bool)
	// Fallbacks returns the peers to try while the log cannot be read, the
	// closest first.
	Fallbacks() []Peer
}

// Dial returns a reader of the journal of a peer.
type Dial func(Peer) PeerReader

// PeerReader reads the journal of a peer.
type PeerReader interface {
	journal.Reader
	journal.SnapshotSource
	// Watch returns the first offset that the peer has not folded, as soon as it
	// is above from or when wait has passed. It is below from when the peer is
	// behind.
	Watch(ctx context.Context, from int64, wait time.Duration) (int64, error)
}

const (
	// maxFallbacks bounds the peers that are asked in one read.
	maxFallbacks = 3
	// peerSnapshotTimeout keeps a silent peer from using up the time for others.
	peerSnapshotTimeout = 3 * time.Second
)

// Selector implements journal.Reader and journal.SnapshotSource.
type Selector struct {
	log       platformlog.Log
	scan      journal.SnapshotSource
	directory Directory
	dial      Dial
	now       func() time.Time
	avoided   avoidance
}

// NewSelector returns a selector. scan finds snapshots on the log itself.
func NewSelector(log platformlog.Log, scan journal.SnapshotSource, directory Directory, dial Dial) *Selector {
	return &Selector{log: log, scan: scan, directory: directory, dial: dial, now: time.Now}
}

// Read implements journal.Reader.
func (s *Selector) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	if reader, ok := s.directory.RegionReader(); ok && !s.avoided.avoids(reader, s.now()) {
		if page, err := s.readFromReader(ctx, reader, from, limit, wait); err == nil {
			return page, nil
		}
	}
	page, err := s.log.Read(ctx, from, limit, wait)
	if err == nil || errors.Is(err, platformlog.ErrExpired) || ctx.Err() != nil {
		return page, err
	}
	return s.readFromPeers(ctx, from, limit, err)
}

// readFromReader reads from the reader of the region. After a failure the next
// read does not wait for new records, so that a reader that is still silent
// costs less time.
func (s *Selector) readFromReader(ctx context.Context, reader Peer, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	if s.avoided.doubtful(reader) {
		wait = 0
	}
	page, err := s.dial(reader).Read(ctx, from, limit, wait)
	switch {
	case err == nil:
		s.avoided.worked()
	case !errors.Is(err, platformlog.ErrExpired) && ctx.Err() == nil:
		s.avoided.failed(reader, s.now())
	}
	return page, err
}

func (s *Selector) readFromPeers(ctx context.Context, from int64, limit int, cause error) (platformlog.Page, error) {
	for i, p := range s.directory.Fallbacks() {
		if i == maxFallbacks {
			break
		}
		page, err := s.dial(p).Read(ctx, from, limit, 0)
		if err == nil && page.Next > from {
			return page, nil
		}
		if errors.Is(err, platformlog.ErrExpired) {
			cause = err
		}
	}
	return platformlog.Page{}, fmt.Errorf("no source of records: %w", cause)
}

// Snapshot implements journal.SnapshotSource: peers first, because their state
// is newer and costs the log nothing.
func (s *Selector) Snapshot(ctx context.Context, least int64) (*journal.Restored, error) {
	for i, p := range s.directory.Fallbacks() {
		if i == maxFallbacks {
			break
		}
		if restored, err := s.peerSnapshot(ctx, p, least); err == nil {
			return restored, nil
		}
	}
	return s.scan.Snapshot(ctx, least)
}

func (s *Selector) peerSnapshot(ctx context.Context, p Peer, least int64) (*journal.Restored, error) {
	ctx, cancel := context.WithTimeout(ctx, peerSnapshotTimeout)
	defer cancel()
	return s.dial(p).Snapshot(ctx, least)
}
