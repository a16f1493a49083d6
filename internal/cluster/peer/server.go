// Package peer lets the processes read each other's journal, so that records
// cross the region link once and stay readable during an outage of the log.
package peer

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

const (
	maxEntries = 500
	maxWait    = 10 * time.Second
)

// Prober answers the probes of membership.
type Prober interface {
	HandleProbe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error)
}

// Server implements wire.Peer.
type Server struct {
	journal *journal.Journal
	prober  Prober
}

// NewServer returns a server over the journal of this process.
func NewServer(j *journal.Journal, prober Prober) *Server {
	return &Server{journal: j, prober: prober}
}

// Probe implements wire.Peer.
func (s *Server) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.prober.HandleProbe(ctx, r)
}

// ReadRecords implements wire.Peer. It waits for the first entry as the log
// service does.
func (s *Server) ReadRecords(ctx context.Context, r *wire.ReadRecordsRequest) (*wire.ReadRecordsReply, error) {
	limit := min(maxEntries, max(1, int(r.GetMax())))
	// Bounded before the conversion, which could overflow.
	millis := min(max(0, r.GetWaitMillis()), maxWait.Milliseconds())
	wait := time.Duration(millis) * time.Millisecond
	timeout := time.After(wait)
	for {
		changed := s.journal.Watch()
		page, err := s.page(r, limit)
		if errors.Is(err, platformlog.ErrExpired) {
			return nil, twirp.NewError(twirp.OutOfRange, err.Error())
		}
		if err != nil {
			return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
		}
		if len(page.Entries) > 0 || page.Next > r.GetFrom() {
			return pageToWire(page), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return pageToWire(page), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the reader has left")
		}
	}
}

// page returns what the process has from the offset on.
func (s *Server) page(r *wire.ReadRecordsRequest, limit int) (platformlog.Page, error) {
	if r.GetOffsetsOnly() {
		return platformlog.Page{Next: s.journal.Next()}, nil
	}
	return s.journal.Page(r.GetFrom(), limit)
}

// ReadSnapshot implements wire.Peer.
func (s *Server) ReadSnapshot(context.Context, *wire.ReadSnapshotRequest) (*wire.ReadSnapshotReply, error) {
	data, next, err := s.journal.Snapshot()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.ReadSnapshotReply{Next: next, State: data}, nil
}

// PushRecords implements wire.Peer. Records are taken only when they continue
// what this process has folded.
func (s *Server) PushRecords(_ context.Context, r *wire.PushRecordsRequest) (*wire.PushRecordsReply, error) {
	if err := s.journal.Apply(r.GetFrom(), pageFromWire(r.GetEntries(), r.GetNext(), 0)); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &wire.PushRecordsReply{Applied: s.journal.Next()}, nil
}

func pageToWire(page platformlog.Page) *wire.ReadRecordsReply {
	return &wire.ReadRecordsReply{Entries: entriesToWire(page.Entries), Next: page.Next, Earliest: page.Earliest}
}

func entriesToWire(entries []platformlog.Entry) []*wire.LogEntry {
	result := make([]*wire.LogEntry, 0, len(entries))
	for _, e := range entries {
		result = append(result, &wire.LogEntry{Offset: e.Offset, Payload: e.Payload})
	}
	return result
}

func pageFromWire(entries []*wire.LogEntry, next, earliest int64) platformlog.Page {
	page := platformlog.Page{Next: next, Earliest: earliest}
	for _, e := range entries {
		page.Entries = append(page.Entries, platformlog.Entry{Offset: e.GetOffset(), Payload: e.GetPayload()})
	}
	return page
}
