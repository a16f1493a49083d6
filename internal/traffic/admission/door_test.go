package admission_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/traffic/admission"
)

// small is a machine whose door for clients has room for 9 connections and 512 KiB of
// bodies.
var small = admission.Machine{Memory: 4 << 20, Descriptors: 1000}

// entrance is a door in front of a server that echoes bodies.
type entrance struct {
	*admission.Door
	address string
}

func open(c *qt.C, limits admission.Limits) entrance {
	door := admission.New(admission.Options{
		Name: "test", Machine: small, Share: admission.Share{Connections: 0.225, Bodies: 1. / 8, Sockets: 1, SocketBuffer: 16 << 10},
		Limits: limits, Registry: metrics.For(c.Name()), Log: limitedlog.New(log.NewNopLogger()),
	})
	l, err := door.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	server := door.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unknown" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		data, err := io.ReadAll(r.Body)
		if status, refused := admission.Status(err); refused {
			w.WriteHeader(status)
			return
		}
		_, _ = w.Write(data)
	}))
	g := group.New(context.Background())
	g.Go("serve", func(ctx context.Context) error { return webserver.Serve(ctx, server, l) })
	g.Go("door", func(ctx context.Context) error { return admission.Run(ctx, door) })
	c.Cleanup(func() { g.Stop(); c.Check(g.Wait(), qt.IsNil) })
	return entrance{door, l.Addr().String()}
}

// send opens a connection and sends text on it. The crowd may be refused meanwhile.
func (e entrance) send(c *qt.C, text string) net.Conn {
	conn, err := net.Dial("tcp", e.address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil) // Without it answers stay in a larger buffer.
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text)
	return conn
}

// status reads the status of an answer, 0 if the connection is closed without one. It
// reports whether the answer is the last one of the connection.
func status(c *qt.C, conn net.Conn) (code int, last bool) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, true
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	c.Check(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode, resp.Close
}

// awaitAnswer sends a request until it is served or 20 s are over, as a client that is
// refused may have to try again. It returns the last status.
func (e entrance) awaitAnswer(c *qt.C, text string) int {
	code := 0
	for end := time.Now().Add(20 * time.Second); code != http.StatusOK && time.Now().Before(end); {
		code, _ = status(c, e.send(c, text))
	}
	return code
}

func request(path string, length, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
}

// Guards against crowds that use up the connections or the memory of a process, so that
// ordinary clients are not answered.
func TestOrdinaryCallDuringCrowd(t *testing.T) {
	for name, tt := range map[string]struct{ text string }{
		"nothing":              {""},
		"part of a header":     {"GET / HTTP/1.1\r\nHost: h\r\n"},
		"bodies without end":   {request("/", 200_000, 199_990)},
		"bodies without route": {request("/unknown", 200_000, 199_990)},
		"chunks without end":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 40)},
		"calls without reader": {strings.Repeat(request("/", 8_000, 8_000), 40)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := open(c, admission.Limits{})
			for range 40 {
				conn := e.send(c, "")
				crowd := group.New(context.Background())
				crowd.Go("client", func(context.Context) error { _, _ = io.WriteString(conn, tt.text); return nil })
				c.Cleanup(func() { _ = conn.Close(); _ = crowd.Wait() })
			}
			c.Check(e.awaitAnswer(c, request("/", 5_000, 5_000)), qt.Equals, http.StatusOK)
		})
	}
}

// Guards against large bodies that are held without bound, or that keep out others by
// stopping short of their end.
func TestOldBodyGivesWay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := open(c, admission.Limits{})
	old := e.send(c, request("/", 200_000, 199_990))
	c.Check(e.awaitAnswer(c, request("/", 200_000, 200_000)), qt.Equals, http.StatusOK)
	code, last := status(c, old)
	c.Check(code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(last, qt.IsTrue)
}

// Guards against limits that are not applied, or that ordinary clients meet.
func TestLimits(t *testing.T) {
	limits := admission.Limits{MaxBodyBytes: 100_000, MaxHeaderBytes: 4000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	for name, tt := range map[string]struct {
		text string
		want int
	}{
		"ordinary":         {request("/", 100_000, 100_000), http.StatusOK},
		"large body":       {request("/", 100_001, 0), http.StatusRequestEntityTooLarge},
		"large chunks":     {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat("x", 100_001) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"no route":         {request("/unknown", 100_000, 50_000), http.StatusNotFound},
		"asks first":       {strings.Replace(request("/unknown", 100_000, 0), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1), http.StatusNotFound},
		"large header":     {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 4000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"many fields":      {"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 200), http.StatusRequestHeaderFieldsTooLarge},
		"header in pieces": {"GET / HTTP/1.1\r\nHost: h\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := open(c, admission.Limits{})
			e.Apply(limits)
			conn := e.send(c, tt.text)
			code, last := status(c, conn)
			c.Check(code, qt.Equals, tt.want)
			c.Check(last, qt.Equals, tt.want != http.StatusOK)
			_, err := conn.Read(make([]byte, 1)) // No timeout of the reader, so the connection was closed.
			var timeout net.Error
			c.Check(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("%v", err))
		})
	}
}

// Guards against a connection that is closed although its client keeps to the limits.
func TestConnectionStaysOpen(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := open(c, admission.Limits{})
	conn := e.send(c, "")
	r := bufio.NewReader(conn)
	for _, text := range []string{request("/", 9, 9), request("/unknown", 5000, 5000), request("/", 70_000, 70_000), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		_, err := io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Check(resp.Close, qt.IsFalse)
		time.Sleep(discardWait) // The rest of a body that nobody reads has less time.
	}
}

const discardWait = 700 * time.Millisecond
