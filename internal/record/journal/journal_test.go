package journal_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/traffic/request"
)

type process struct {
	journal *journal.Journal
	writer  *journal.Writer
}

func startService(t *testing.T) (*logservice.Service, netip.AddrPort) {
	t.Helper()
	service := logservice.New(logservice.DefaultLimits())
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, netip.MustParseAddrPort(server.Listener.Addr().String())
}

func startProcess(t *testing.T, name string, log platformlog.Log) process {
	t.Helper()
	options := journal.DefaultWriterOptions()
	options.Spacing = 5 * time.Millisecond
	options.Backoff = 20 * time.Millisecond
	j := journal.New()
	p := process{journal: j, writer: journal.NewWriter(name, log, j, options)}
	g := group.New(context.Background())
	g.Go("writer", p.writer.Run)
	g.Go("follower", journal.NewFollower(j, log, nil).Run)
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait()
	})
	return p
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

var tally = request.Identity{Organisation: "serido", ID: "tally-1"}

// Guards against two processes that both believe they may run a request.
func TestFirstClaimWins(t *testing.T) {
	c := qt.New(t)
	_, address := startService(t)
	g := group.New(context.Background())
	var winners atomic.Int32
	for _, name := range []string{"a@1", "b@1", "c@1", "d@1"} {
		p := startProcess(t, name, platformlog.NewClient(address, nil))
		g.Go(name, func(ctx context.Context) error {
			verdict, err := p.writer.Append(ctx, journal.RequestClaimed{Identity: tally, Deadline: time.Now().Add(time.Minute)})
			if verdict.Valid {
				winners.Add(1)
			}
			return err
		})
	}
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(winners.Load(), qt.Equals, int32(1))
}

// lossyLog reports a lost answer for the first append, after or without the
// effect.
type lossyLog struct {
	platformlog.Log
	effect bool
	calls  atomic.Int32
}

var errLost = errors.New("answer lost")

func (l *lossyLog) Append(ctx context.Context, payload []byte) (int64, error) {
	if l.calls.Add(1) > 1 {
		return l.Log.Append(ctx, payload)
	}
	if l.effect {
		_, _ = l.Log.Append(ctx, payload)
	}
	return 0, errLost
}

// Guards against a lost answer being taken for a refusal or for a success.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	tests := map[string]struct {
		effect bool
		valid  bool
	}{
		"appended":     {effect: true, valid: true},
		"not appended": {effect: false, valid: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, address := startService(t)
			p := startProcess(t, "a@1", &lossyLog{Log: platformlog.NewClient(address, nil), effect: tt.effect})
			verdict, err := p.writer.Append(within(t, 4*time.Second), journal.RequestClaimed{Identity: tally})
			_, claimed := p.journal.Request(tally)
			c.Assert(claimed, qt.Equals, tt.valid)
			c.Assert(verdict.Valid, qt.Equals, tt.valid)
			c.Assert(errors.Is(err, journal.ErrNotAppended), qt.Equals, !tt.valid)
		})
	}
}

// Guards against an append that arrives after its writer has declared it
// absent: the fold must ignore it.
func TestLateAppendIsIgnored(t *testing.T) {
	c := qt.New(t)
	_, address := startService(t)
	client := platformlog.NewClient(address, nil)
	held := &heldLog{Log: client}
	p := startProcess(t, "a@1", held)
	ctx := within(t, 4*time.Second)
	_, err := p.writer.Append(ctx, journal.RequestClaimed{Identity: tally})
	c.Assert(errors.Is(err, journal.ErrNotAppended), qt.IsTrue)
	offset, err := client.Append(ctx, held.payload.Load().([]byte))
	c.Assert(err, qt.IsNil)
	for p.journal.Next() <= offset {
		select {
		case <-p.journal.Watch():
		case <-ctx.Done():
			c.Fatal("the late record was not read")
		}
	}
	_, claimed := p.journal.Request(tally)
	c.Assert(claimed, qt.IsFalse)
}

// heldLog keeps the first payload back and reports its answer as lost.
type heldLog struct {
	platformlog.Log
	payload atomic.Value
}

func (l *heldLog) Append(ctx context.Context, payload []byte) (int64, error) {
	if l.payload.CompareAndSwap(nil, payload) {
		return 0, errLost
	}
	return l.Log.Append(ctx, payload)
}

// Guards against records that are lost or doubled by an outage of the log.
func TestRecordWaitsOutAnOutage(t *testing.T) {
	c := qt.New(t)
	service, address := startService(t)
	p := startProcess(t, "a@1", platformlog.NewClient(address, nil))
	service.SetFaults(logservice.Faults{Outage: true})
	_, err := p.writer.Append(within(t, 100*time.Millisecond), journal.RequestClaimed{Identity: tally})
	c.Assert(errors.Is(err, journal.ErrNotAppended), qt.IsTrue)
	service.SetFaults(logservice.Faults{})
	verdict, err := p.writer.Append(within(t, 4*time.Second), journal.RequestClaimed{Identity: tally})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Valid, qt.IsTrue)
}

// Guards against a stale edit replacing a newer configuration.
func TestStaleConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	_, address := startService(t)
	p := startProcess(t, "a@1", platformlog.NewClient(address, nil))
	ctx := within(t, 4*time.Second)
	first, err := p.writer.Append(ctx, journal.ConfigurationPublished{Base: 0})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Valid, qt.IsTrue)
	stale, err := p.writer.Append(ctx, journal.ConfigurationPublished{Base: 0})
	c.Assert(err, qt.IsNil)
	c.Assert(stale.Valid, qt.IsFalse)
	c.Assert(stale.Reason, qt.Matches, "based on version 0, but version .* is in force")
	c.Assert(p.journal.Configuration().Version, qt.Equals, first.Offset)
}
