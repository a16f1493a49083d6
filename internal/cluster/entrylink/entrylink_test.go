package entrylink_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/entrylink"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/role/gateway"
)

// Guards against a forwarded call that counts as not sent although the other entry
// may have applied it.
func TestOnlyRefusedConnectionIsNotSent(t *testing.T) {
	for name, tt := range map[string]struct {
		handler http.HandlerFunc // handler serves the call; nil if nothing listens.
		notSent bool
	}{
		"nothing listens": {nil, true},
		"no answer in time": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // The context of an unread request does not end.
			<-r.Context().Done()
		}, false},
		"connection lost":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		"error of a server": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			client := entrylink.NewClient(address(c, tt.handler), transport.New(nil, nil).Fresh())
			_, err := client.Forward(ctx, gateway.Call{Method: gateway.Submit, Wait: time.Second})
			c.Assert(err, qt.IsNotNil)
			c.Check(errors.Is(err, gateway.ErrNotSent), qt.Equals, tt.notSent, qt.Commentf("%v", err))
		})
	}
}

// address returns the address of a server of the handler, or one on which nothing
// listens.
func address(c *qt.C, handler http.HandlerFunc) netip.AddrPort {
	if handler != nil {
		s := httptest.NewServer(handler)
		c.Cleanup(s.Close)
		return netip.MustParseAddrPort(s.Listener.Addr().String())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	return netip.MustParseAddrPort(l.Addr().String())
}
