package relay_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/relay"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/traffic/request"
)

// directory names the relay of a test.
type directory struct {
	mu      sync.Mutex
	address netip.AddrPort
}

func (d *directory) Relay() (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address, d.address.IsValid()
}

func (d *directory) set(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = address
}

// failingRelay answers all calls with one error.
type failingRelay struct{ err error }

func (f failingRelay) AppendBatch(context.Context, *wire.AppendBatchRequest) (*wire.AppendBatchReply, error) {
	return nil, f.err
}

var somewhere = netip.MustParseAddrPort("127.0.0.1:9")

var dial = relay.DialOver(&http.Transport{DisableKeepAlives: true})

// Guards against a batch that is appended a second time although the relay may
// have appended it, and against writers that are stuck with a relay that is gone.
func TestFallBackToTheLog(t *testing.T) {
	tests := map[string]struct {
		relay       error
		payload     int
		direct      bool // direct appends reach the log.
		notAppended bool
	}{
		"relay stopping":  {relay: twirp.NewError(twirp.Aborted, "stopping"), payload: 10, direct: true},
		"earlier version": {relay: twirp.NewError(twirp.BadRoute, "no such service"), payload: 10, direct: true},
		"answer lost":     {relay: errors.New("connection reset"), payload: 10},
		"log refused":     {relay: twirp.NewError(twirp.FailedPrecondition, "outage"), payload: 10, notAppended: true},
		"batch too large": {relay: twirp.NewError(twirp.OutOfRange, "size"), payload: 10, notAppended: true},
		"large batch":     {relay: errors.New("must not be called"), payload: 64 << 10, direct: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			log := &fakeLog{}
			d := &directory{address: somewhere}
			l := relay.NewLog(log, d, func(netip.AddrPort) wire.Relay { return failingRelay{tt.relay} }, nil, netip.AddrPort{})
			_, err := l.Append(t.Context(), batchOf(tt.payload))
			c.Assert(err == nil, qt.Equals, tt.direct, qt.Commentf("%v", err))
			c.Assert(len(log.payloads) == 1, qt.Equals, tt.direct)
			c.Assert(errors.Is(err, platformlog.ErrNotAppended), qt.Equals, tt.notAppended)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		c := qt.New(t)
		closed := httptest.NewServer(nil)
		address := netip.MustParseAddrPort(closed.Listener.Addr().String())
		closed.Close()
		log := &fakeLog{}
		l := relay.NewLog(log, &directory{address: address}, dial, nil, netip.AddrPort{})
		_, err := l.Append(t.Context(), batchOf(10))
		c.Assert(err, qt.IsNil)
		c.Assert(len(log.payloads), qt.Equals, 1)
	})
	t.Run("after a lost answer", func(t *testing.T) {
		c := qt.New(t)
		log := &fakeLog{}
		calls := 0
		l := relay.NewLog(log, &directory{address: somewhere}, func(netip.AddrPort) wire.Relay {
			calls++
			return failingRelay{errors.New("connection reset")}
		}, nil, netip.AddrPort{})
		_, err := l.Append(t.Context(), batchOf(10))
		c.Assert(err, qt.IsNotNil)
		_, err = l.Append(t.Context(), batchOf(10))
		c.Assert(err, qt.IsNil)
		c.Assert(calls, qt.Equals, 1)
	})
}

// host is a relay process.
type host struct {
	server *httptest.Server
	group  *group.Group
}

func startHost(t *testing.T, log platformlog.Log) *host {
	t.Helper()
	options := relay.Default()
	options.Spacing, options.Backoff = 5*time.Millisecond, 20*time.Millisecond
	r := relay.New(options, log)
	h := &host{server: httptest.NewServer(wire.NewRelayServer(relay.NewServer(r))), group: group.New(context.Background())}
	h.group.Go("relay", r.Run)
	t.Cleanup(h.kill)
	return h
}

func (h *host) address() netip.AddrPort {
	return netip.MustParseAddrPort(h.server.Listener.Addr().String())
}

// kill ends the relay in the middle of its calls.
func (h *host) kill() {
	_ = h.server.Listener.Close()
	h.server.CloseClientConnections()
	h.group.Stop()
	_ = h.group.Wait()
	h.server.Close()
}

// Guards against a writer that reports success for a record that another fold
// does not have, or absence for one that takes effect, when the relay is
// killed and replaced, two relays act at once, and the log loses answers. A
// fold that reads the whole log decides.
func TestVerdictsHoldWhenRelaysAreKilled(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testVerdicts(t, seed)
		})
	}
}

type attempt struct {
	writer   string
	identity request.Identity
	verdict  journal.Verdict
	err      error
}

func testVerdicts(t *testing.T, seed uint64) {
	c := qt.New(t)
	service := logservice.New(logservice.Limits{MaxPayload: 1 << 20})
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	client := platformlog.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	hosts := []*host{startHost(t, client), startHost(t, client), startHost(t, client)}
	processes := group.New(t.Context())
	callers := group.New(t.Context())
	results := make(chan attempt, 10_000)
	directories := []*directory{}
	const identities = 60
	for i := range 12 {
		// Members that disagree on the list use two relays at once.
		d := &directory{address: hosts[i%2].address()}
		directories = append(directories, d)
		j := journal.New()
		options := journal.DefaultWriterOptions()
		options.Spacing, options.Backoff = 5*time.Millisecond, 20*time.Millisecond
		w := journal.NewWriter(fmt.Sprintf("writer-%d@1", i), relay.NewLog(client, d, dial, nil, netip.AddrPort{}), j, options)
		processes.Go("writer", w.Run)
		processes.Go("follower", journal.NewFollower(j, client, nil).Run)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go("caller", func(ctx context.Context) error {
			for n := range identities {
				patience := 30 * time.Second
				if random.IntN(3) == 0 {
					patience = time.Duration(1+random.IntN(60)) * time.Millisecond
				}
				call, cancel := context.WithTimeout(ctx, patience)
				id := request.Identity{Organisation: "serido", ID: fmt.Sprint(n)}
				verdict, err := w.Append(call, journal.RequestClaimed{Identity: id})
				cancel()
				results <- attempt{w.Name(), id, verdict, err}
			}
			return nil
		})
	}
	service.SetFaults(logservice.Faults{LoseAnswer: 0.2})
	time.Sleep(150 * time.Millisecond)
	hosts[0].kill()
	time.Sleep(150 * time.Millisecond)
	for _, d := range directories {
		d.set(hosts[2].address())
	}
	time.Sleep(100 * time.Millisecond)
	hosts[2].kill()
	service.SetFaults(logservice.Faults{})
	c.Assert(callers.Wait(), qt.IsNil)
	fresh := journal.New()
	follow := group.New(t.Context())
	follow.Go("follower", journal.NewFollower(fresh, client, nil).Run)
	awaitEnd(c, client, fresh)
	close(results)
	valid := 0
	for a := range results {
		state, claimed := fresh.Request(a.identity)
		own := claimed && state.Writer == a.writer
		note := qt.Commentf("%+v, fold has %+v", a, state)
		switch {
		case a.err == nil && a.verdict.Valid:
			valid++
			c.Assert(own && state.Claim == a.verdict.Offset, qt.IsTrue, note)
		case a.err == nil:
			c.Assert(claimed && !own, qt.IsTrue, note)
		case errors.Is(a.err, journal.ErrNotAppended):
			c.Assert(own, qt.IsFalse, note)
		default:
			c.Assert(errors.Is(a.err, journal.ErrUnsettled), qt.IsTrue, note)
		}
	}
	c.Assert(valid > 0, qt.IsTrue)
	follow.Stop()
	processes.Stop()
	c.Assert(errors.Join(follow.Wait(), processes.Wait()), qt.IsNil)
}

// awaitEnd waits until a journal has folded the whole log.
func awaitEnd(c *qt.C, client *platformlog.Client, j *journal.Journal) {
	c.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		page, err := client.Read(context.Background(), j.Next(), 1, 0)
		if err == nil && len(page.Entries) == 0 {
			return
		}
	}
	c.Fatal("the log is not folded within 10 s")
}
