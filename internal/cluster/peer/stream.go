package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
)

const (
	readSnapshotPath = wire.PeerPathPrefix + "ReadSnapshot"
	protobufContent  = "application/protobuf"
	// streamPiece is the number of bytes of a state that are encoded before they
	// are sent.
	streamPiece = 64 << 10
	// Numbers of the fields of wire.ReadSnapshotReply.
	replyNextField  = 1
	replyStateField = 2
)

// errReply is returned for a reply that is not a wire.ReadSnapshotReply.
var errReply = errors.New("the reply of the peer cannot be read")

// NewHandler serves wire.Peer. The state of ReadSnapshot is sent while it is
// encoded, as the same bytes that Twirp sends, so it is never whole in memory
// and processes of versions that use Twirp for it can read it.
func NewHandler(s *Server) http.Handler {
	twirp := wire.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == readSnapshotPath && r.Header.Get("Content-Type") == protobufContent {
			s.streamSnapshot(w)
			return
		}
		twirp.ServeHTTP(w, r)
	})
}

// streamSnapshot ends early when the state cannot be encoded or sent. The
// length of the reply then shows that it was cut off.
func (s *Server) streamSnapshot(w http.ResponseWriter) {
	// A silent connection would keep the copy of the state for long.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(snapshotTimeout)) // Without a deadline it is sent all the same.
	c := s.journal.Capture()
	head := protowire.AppendTag(nil, replyNextField, protowire.VarintType)
	head = protowire.AppendVarint(head, uint64(c.Covers()))
	head = protowire.AppendTag(head, replyStateField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(c.Size()))
	w.Header().Set("Content-Type", protobufContent)
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+c.Size()))
	if _, err := w.Write(head); err != nil {
		return
	}
	for chunk, err := range c.Chunks(streamPiece) {
		if err != nil {
			return
		}
		if _, err := w.Write(chunk.State); err != nil {
			return
		}
	}
}

// Snapshot returns the folded state of the peer when it covers all offsets
// below least. The state is decoded while it arrives.
func (c *Client) Snapshot(ctx context.Context, least int64) (*journal.Restored, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	// An empty body is an empty wire.ReadSnapshotRequest.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+readSnapshotPath, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("read snapshot from peer: %w", err)
	}
	r.Header.Set("Content-Type", protobufContent)
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("read snapshot from peer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // The reply was read, or its error is known.
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read snapshot from peer: %s", resp.Status)
	}
	restored, err := readSnapshotReply(bufio.NewReader(resp.Body), least)
	if err != nil {
		return nil, fmt.Errorf("read snapshot from peer: %w", err)
	}
	return restored, nil
}

// readSnapshotReply reads the fields of the reply in the order in which they
// are sent.
func readSnapshotReply(body *bufio.Reader, least int64) (*journal.Restored, error) {
	next, err := readField(body, replyNextField, protowire.VarintType)
	if err != nil {
		return nil, err
	}
	if int64(next) < least {
		return nil, fmt.Errorf("it has folded up to %d, wanted %d: %w", int64(next), least, journal.ErrNoSnapshot)
	}
	size, err := readField(body, replyStateField, protowire.BytesType)
	if err != nil {
		return nil, err
	}
	if size > maxReply {
		return nil, fmt.Errorf("%w: a state of %d bytes", errReply, size)
	}
	d := journal.NewDecoder()
	if _, err := io.CopyN(d, body, int64(size)); err != nil {
		return nil, err
	}
	return d.Restored()
}

// readField returns the value of a number, or the length of bytes that follow.
func readField(body *bufio.Reader, number protowire.Number, kind protowire.Type) (uint64, error) {
	tag, err := binary.ReadUvarint(body)
	if err != nil {
		return 0, err
	}
	if tag != protowire.EncodeTag(number, kind) {
		return 0, fmt.Errorf("%w: found tag %d", errReply, tag)
	}
	return binary.ReadUvarint(body)
}
