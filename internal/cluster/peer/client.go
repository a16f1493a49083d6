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
	// maxReply bounds what is read of one reply. Snapshots are the largest.
	maxReply = 64 << 20
)

// Client reads the journal of one peer.
type Client struct {
	peer wire.Peer
	base string // base is the URL without a path.
	http *http.Client
}

// NewClient returns a client of the peer at address.
func NewClient(address netip.AddrPort, transport http.RoundTripper) *Client {
	base, client := "http://"+address.String(), &http.Client{Transport: boundedBody{transport}}
	return &Client{peer: wire.NewPeerProtobufClient(base, client), base: base, http: client}
}

// boundedBody cuts replies that are too large. Twirp reads whole replies into
// memory.
type boundedBody struct{ next http.RoundTripper }

func (b boundedBody) RoundTrip(r *http.Request) (*http.Response, error) {
	next := b.next
	if next == nil {
		next = http.DefaultTransport
	}
	resp, err := next.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReply)
	}
	return resp, err
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

// Watch returns the first offset that the peer has not folded, as soon as it is
// above from or when wait has passed. It is below from when the peer is behind.
// It costs no payloads.
func (c *Client) Watch(ctx context.Context, from int64, wait time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+exchangeSlack)
	defer cancel()
	reply, err := c.peer.ReadRecords(ctx, &wire.ReadRecordsRequest{From: from, WaitMillis: wait.Milliseconds(), OffsetsOnly: true})
	if err != nil {
		return 0, readError(err)
	}
	return reply.GetNext(), nil
}

func readError(err error) error {
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.OutOfRange {
		return fmt.Errorf("read from peer: %w", platformlog.ErrExpired)
	}
	return fmt.Errorf("read from peer: %w", err)
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
