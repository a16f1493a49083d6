package process

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/logservice"
)

// Guards against a process that stays up without ever learning a plan, and
// against an error that does not say what cannot be reached.
func TestStartFailsWithoutLogAndSeeds(t *testing.T) {
	c := qt.New(t)
	s := testSettings(settings.Entry)
	s.LogAddress = netip.MustParseAddrPort("127.0.0.1:9")
	entry, err := NewEntry(s, Environment{Logger: log.NewNopLogger(), Listen: anyPort})
	c.Assert(err, qt.IsNil)
	entry.startLimit = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = entry.Run(ctx)
	c.Assert(err, qt.ErrorMatches, `start check: log-address: 127\.0\.0\.1:9 cannot be read within 300ms, .*`)
}

// Guards against an entry that refuses callers as unknown because it has not
// read the plans yet.
func TestEntryTakesCallsOnceTheLogIsRead(t *testing.T) {
	c := qt.New(t)
	service := logservice.New(logservice.DefaultLimits())
	service.SetFaults(logservice.Faults{Outage: true})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	s := testSettings(settings.Entry)
	s.LogAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	entry, err := NewEntry(s, Environment{Logger: log.NewNopLogger(), Listen: anyPort})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	g := group.New(context.Background())
	g.Go("entry", func(context.Context) error { return entry.Run(ctx) })
	health := "http://" + entry.callers.listener.Addr().String() + "/healthz"
	c.Assert(status(c, health), qt.Equals, http.StatusServiceUnavailable)
	service.SetFaults(logservice.Faults{})
	for end := time.Now().Add(10 * time.Second); status(c, health) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	stop()
	c.Assert(g.Wait(), qt.IsNil)
}

func status(c *qt.C, url string) int {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get(url)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}
