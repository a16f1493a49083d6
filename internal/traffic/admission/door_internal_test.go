package admission

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/run/metrics"
)

// Guards against clients that are closed for the time for which the process itself was
// suspended.
func TestSuspensionDoesNotCount(t *testing.T) {
	for name, tt := range map[string]struct {
		late time.Duration // late is how late the check comes.
		open int
	}{
		"suspended": {2 * DefaultHeaderTimeout, 1},
		"running":   {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New(Options{Name: "test", Share: ClientShare, Registry: metrics.For(t.Name()), Log: limitedlog.New(log.NewNopLogger())})
			server, client := net.Pipe()
			c.Cleanup(func() { _ = client.Close() })
			conn := &connection{Conn: server, door: d.door}
			c.Assert(d.admit(conn), qt.IsTrue)
			conn.since = time.Now().Add(-2 * DefaultHeaderTimeout)
			d.nextCheck = time.Now().Add(-tt.late)
			d.check(time.Now())
			c.Check(d.connections, qt.HasLen, tt.open)
		})
	}
}

// Guards against clients with connections to spare that are reported as slow.
func TestReasonOfOverdueConnections(t *testing.T) {
	for name, tt := range map[string]struct {
		phase phase
		want  Reason
	}{
		"nothing sent":        {connected, Unused},
		"no further request":  {idle, Unused},
		"part of a header":    {heading, SlowHeader},
		"answer not taken":    {answering, SlowReader},
		"rest not taken back": {closing, SlowReader},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := New(Options{Name: "test", Share: ClientShare, Registry: metrics.For(t.Name()), Log: limitedlog.New(log.NewNopLogger())})
			server, client := net.Pipe()
			c.Cleanup(func() { _ = client.Close() })
			conn := &connection{Conn: server, door: d.door}
			c.Assert(d.admit(conn), qt.IsTrue)
			conn.phase = tt.phase
			conn.since = time.Now().Add(-time.Hour)
			d.check(time.Now())
			c.Check(d.connections, qt.HasLen, 0)
			c.Check(d.counters[tt.want].Value(), qt.Equals, int64(1))
		})
	}
}
