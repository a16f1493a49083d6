package transport_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/transport"
)

// Guards against a call that counts as not sent although its connection was open.
func TestOpenConnectionIsNotRefused(t *testing.T) {
	failure := func(operation string, number syscall.Errno) error {
		return &url.Error{Op: "Post", URL: "http://10.0.0.1:1", Err: &net.OpError{Op: operation, Net: "tcp", Err: os.NewSyscallError("connect", number)}}
	}
	for name, tt := range map[string]struct {
		err  error
		want bool
	}{
		"refused":              {failure("dial", syscall.ECONNREFUSED), true},
		"refused and wrapped":  {fmt.Errorf("append: %w", failure("dial", syscall.ECONNREFUSED)), true},
		"rejected when open":   {failure("read", syscall.ECONNREFUSED), false},
		"reset":                {failure("read", syscall.ECONNRESET), false},
		"host cannot be found": {failure("dial", syscall.EHOSTUNREACH), false},
		"no error":             {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, transport.ConnectionRefused(tt.err), qt.Equals, tt.want)
		})
	}
}

// Guards against a refused connection that is not recognised behind an HTTP client.
func TestRefusedConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	client := &http.Client{Transport: transport.New(nil, nil).Fresh()}
	resp, err := client.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("x"))
	if err == nil {
		_ = resp.Body.Close()
	}
	c.Check(transport.ConnectionRefused(err), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(transport.Refused(t.Context(), netip.MustParseAddrPort(l.Addr().String())), qt.IsTrue)
}
