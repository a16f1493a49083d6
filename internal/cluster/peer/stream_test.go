package peer

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// foldedJournal has a state of several pieces.
func foldedJournal(c *qt.C) *journal.Journal {
	c.Helper()
	j := journal.New()
	for i := range int64(200) {
		payload, err := journal.Encode("a@1", uint64(i+1), time.Unix(i, 0), journal.Audit{Before: string(make([]byte, 1000))})
		c.Assert(err, qt.IsNil)
		page := platformlog.Page{Entries: []platformlog.Entry{{Offset: i + 1, Payload: payload}}, Next: i + 2}
		c.Assert(j.Apply(i+1, page), qt.IsNil)
	}
	return j
}

func serve(c *qt.C, handler http.Handler) (*httptest.Server, netip.AddrPort) {
	c.Helper()
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	return server, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against a state that processes before or after streaming cannot give
// to each other, or that differs from the one of the peer.
func TestStreamedStateIsThatOfTwirp(t *testing.T) {
	c := qt.New(t)
	j := foldedJournal(c)
	want, next, err := j.Snapshot()
	c.Assert(err, qt.IsNil)
	server := NewServer(j, nil)
	for name, handler := range map[string]http.Handler{"streamed": NewHandler(server), "twirp": wire.NewPeerServer(server)} {
		c.Run(name, func(c *qt.C) {
			web, address := serve(c, handler)
			reply, err := wire.NewPeerProtobufClient(web.URL, web.Client()).ReadSnapshot(context.Background(), &wire.ReadSnapshotRequest{})
			c.Assert(err, qt.IsNil)
			c.Assert(reply.GetNext(), qt.Equals, next)
			c.Assert(bytes.Equal(reply.GetState(), want), qt.IsTrue)
			client := NewClient(address, nil)
			restored, err := client.Snapshot(context.Background(), next)
			c.Assert(err, qt.IsNil)
			other := journal.New()
			c.Assert(other.Adopt(restored), qt.IsNil)
			got, _, err := other.Snapshot()
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, want), qt.IsTrue)
			_, err = client.Snapshot(context.Background(), next+1)
			c.Assert(err, qt.ErrorIs, journal.ErrNoSnapshot)
		})
	}
}

// Guards against a reply that is cut off or damaged being taken for a state.
func TestDamagedReplyIsRefused(t *testing.T) {
	c := qt.New(t)
	state, next, err := foldedJournal(c).Snapshot()
	c.Assert(err, qt.IsNil)
	whole, err := proto.Marshal(&wire.ReadSnapshotReply{Next: next, State: state})
	c.Assert(err, qt.IsNil)
	read := func(data []byte) error {
		_, err := readSnapshotReply(bufio.NewReader(bytes.NewReader(data)), 1)
		return err
	}
	c.Assert(read(whole), qt.IsNil)
	for i := range 200 {
		at := i * len(whole) / 200
		c.Assert(read(whole[:at]), qt.IsNotNil, qt.Commentf("cut off at %d", at))
		damaged := bytes.Clone(whole)
		damaged[max(at, len(whole)-len(state))] ^= 1
		c.Assert(read(damaged), qt.ErrorIs, journal.ErrDamaged, qt.Commentf("damaged at %d", at))
	}
}
