package transport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/transport"
)

// Guards against bytes of the billed region link that are counted in the wrong
// direction or not at all: both ends of a connection must agree.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	tests := map[string]struct{ remote bool }{"region link": {true}, "local": {false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(w, r.Body)
			}))
			var in, out atomic.Int64
			server.Listener = transport.CountListener(server.Listener, &in, &out)
			server.Start()
			t.Cleanup(server.Close)
			tr := transport.New(func(netip.AddrPort) bool { return tt.remote }, nil)
			request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", 5000)))
			c.Assert(err, qt.IsNil)
			resp, err := tr.Fresh().RoundTrip(request)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			traffic := tr.Traffic()
			sent, received, other := &traffic.LocalOut, &traffic.LocalIn, traffic.LinkOut.Load()+traffic.LinkIn.Load()
			if tt.remote {
				sent, received, other = &traffic.LinkOut, &traffic.LinkIn, traffic.LocalOut.Load()+traffic.LocalIn.Load()
			}
			// A write is counted after it, when the other end may have answered.
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if sent.Load() > 5000 && sent.Load() == in.Load() && received.Load() == out.Load() {
					break
				}
			}
			c.Assert(sent.Load() > 5000, qt.IsTrue)
			c.Assert(sent.Load(), qt.Equals, in.Load())
			c.Assert(received.Load(), qt.Equals, out.Load())
			c.Assert(other, qt.Equals, int64(0))
		})
	}
}
