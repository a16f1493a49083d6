package logservice_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/standin/logservice"
)

func start(t *testing.T, limits logservice.Limits) (*logservice.Service, *platformlog.Client) {
	t.Helper()
	service := logservice.New(limits)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return service, platformlog.NewClient(address, nil)
}

// Guards against offsets that are not in append order.
func TestReadReturnsAppendsInOrder(t *testing.T) {
	c := qt.New(t)
	_, client := start(t, logservice.DefaultLimits())
	ctx := context.Background()
	first, err := client.Append(ctx, []byte("a"))
	c.Assert(err, qt.IsNil)
	second, err := client.Append(ctx, []byte("b"))
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	page, err := client.Read(ctx, first, 10, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Entries, qt.DeepEquals, []platformlog.Entry{{Offset: first, Payload: []byte("a")}, {Offset: second, Payload: []byte("b")}})
	c.Assert(page.Next, qt.Equals, second+1)
}

// Guards against a client that takes a lost answer for a refusal, or a refusal
// for a possible append.
func TestAppendErrorsTellWhetherItTookEffect(t *testing.T) {
	tests := map[string]struct {
		faults      logservice.Faults
		notAppended bool
		entries     int
	}{
		"outage":      {faults: logservice.Faults{Outage: true}, notAppended: true, entries: 0},
		"lost answer": {faults: logservice.Faults{LoseAnswer: 1}, notAppended: false, entries: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			service, client := start(t, logservice.DefaultLimits())
			service.SetFaults(tt.faults)
			_, err := client.Append(context.Background(), []byte("a"))
			c.Assert(err, qt.IsNotNil)
			c.Assert(errors.Is(err, platformlog.ErrNotAppended), qt.Equals, tt.notAppended)
			service.SetFaults(logservice.Faults{})
			page, err := client.Read(context.Background(), 1, 10, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Entries, qt.HasLen, tt.entries)
		})
	}
}

// Guards against silently skipping records that retention has removed.
func TestReadBelowRetentionFails(t *testing.T) {
	c := qt.New(t)
	limits := logservice.DefaultLimits()
	limits.KeepEntries = 2
	_, client := start(t, limits)
	for range 3 {
		_, err := client.Append(context.Background(), []byte("a"))
		c.Assert(err, qt.IsNil)
	}
	_, err := client.Read(context.Background(), 1, 10, 0)
	c.Assert(errors.Is(err, platformlog.ErrExpired), qt.IsTrue)
}
