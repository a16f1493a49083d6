package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
)

const (
	exchangeSlack   = time.Second
	snapshotTimeout = 5 * time.Second
)

// Client reads the journal of one peer.
type Client struct {
	peer wire.Peer
}

// NewClient returns a client of the peer at address.
func NewClient(address netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{peer: wire.NewPeerProtobufClient("http://"+address.String(), &http.Client{Transport: transport})}
}

// Read returns records from the window of the peer.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+exchangeSlack)
	defer cancel()
	reply, err := c.peer.ReadRecords(ctx, &wire.ReadRecordsRequest{From: from, Max: int32(limit), WaitMillis: wait.Milliseconds()})
	if err != nil {
		return platformlog.Page{}, readError(err)
	}
	return pageFromWire(reply.GetEntries(), reply.GetNext(), reply.GetEarliest()), nil
}

func readError(err error) error {
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.OutOfRange {
		return fmt.Errorf("read from peer: %w", platformlog.ErrExpired)
	}
	return fmt.Errorf("read from peer: %w", err)
}

// Snapshot returns the folded state of the peer.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply, err := c.peer.ReadSnapshot(ctx, &wire.ReadSnapshotRequest{})
	if err != nil {
		return nil, fmt.Errorf("read snapshot from peer: %w", err)
	}
	return reply.GetState(), nil
}

// Push hands a page that was read from an offset to the peer and returns the
// first offset that the peer has not folded afterwards.
func (c *Client) Push(ctx context.Context, from int64, page platformlog.Page) (int64, error) {
	reply, err := c.peer.PushRecords(ctx, &wire.PushRecordsRequest{From: from, Entries: entriesToWire(page.Entries), Next: page.Next})
	if err != nil {
		return 0, fmt.Errorf("push records to peer: %w", err)
	}
	return reply.GetApplied(), nil
}
