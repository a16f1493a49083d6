package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/entrylink"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/standin/fleetstore"
)

// peerFunc is another entry that answers by a function.
type peerFunc func(ctx context.Context) (gateway.Answer, error)

func (p peerFunc) Forward(ctx context.Context, _ gateway.Call) (gateway.Answer, error) {
	return p(ctx)
}

// Guards against a call that is reported as refused although another entry, whose
// answer is late or lost, applies it.
func TestForwardedCallWithoutAnswerIsNotRefused(t *testing.T) {
	answers := func(o gateway.Outcome) peerFunc {
		return func(context.Context) (gateway.Answer, error) { return gateway.Answer{Outcome: o}, nil }
	}
	silent := peerFunc(func(ctx context.Context) (gateway.Answer, error) {
		<-ctx.Done()
		return gateway.Answer{}, ctx.Err()
	})
	late := func(o gateway.Outcome) peerFunc {
		return func(ctx context.Context) (gateway.Answer, error) {
			<-ctx.Done()
			return gateway.Answer{Outcome: o}, nil
		}
	}
	fails := peerFunc(func(context.Context) (gateway.Answer, error) { return gateway.Answer{}, errors.New("connection reset") })
	ended := entrylink.NewClient(unusedAddress(t), transport.New(nil, nil).Fresh())
	tests := map[string]struct {
		peers []gateway.Peer
		want  gateway.Outcome
	}{
		"time runs out at the first peer":      {[]gateway.Peer{silent, answers(gateway.Accepted)}, gateway.Undecided},
		"time runs out at a later peer":        {[]gateway.Peer{answers(gateway.Refused), silent}, gateway.Undecided},
		"a late acceptance":                    {[]gateway.Peer{late(gateway.Accepted)}, gateway.Accepted},
		"a late refusal":                       {[]gateway.Peer{late(gateway.Refused), answers(gateway.Accepted)}, gateway.Refused},
		"a late denial after a failure":        {[]gateway.Peer{fails, late(gateway.Unauthorised)}, gateway.Undecided},
		"a failure, then a refusal":            {[]gateway.Peer{fails, answers(gateway.Refused)}, gateway.Undecided},
		"a failure, then a denial":             {[]gateway.Peer{fails, answers(gateway.UnknownQueue)}, gateway.Undecided},
		"a failure, then an acceptance":        {[]gateway.Peer{fails, answers(gateway.Accepted)}, gateway.Accepted},
		"a peer cannot decide, then a refusal": {[]gateway.Peer{answers(gateway.Undecided), answers(gateway.Refused)}, gateway.Undecided},
		"a denial":                             {[]gateway.Peer{answers(gateway.Refused), answers(gateway.Unauthorised)}, gateway.Unauthorised},
		"all refuse":                           {[]gateway.Peer{answers(gateway.Refused), answers(gateway.Unavailable)}, gateway.Refused},
		"the only peer has ended":              {[]gateway.Peer{ended}, gateway.Refused},
		"a peer has ended, then a failure":     {[]gateway.Peer{ended, fails}, gateway.Undecided},
		"no other entry":                       {nil, gateway.Refused},
	}
	// causes are the reasons for which an entry forwards a call.
	causes := map[string]struct {
		method    gateway.Method
		job       string
		configAge time.Duration // configAge is the maximum age of the configuration.
	}{
		"submission, configuration cannot be confirmed":   {gateway.Submit, jobID, time.Nanosecond},
		"submission, append is refused":                   {gateway.Submit, jobID, time.Hour},
		"cancellation, configuration cannot be confirmed": {gateway.Cancel, scheduledJobID, time.Nanosecond},
		"cancellation, append is refused":                 {gateway.Cancel, scheduledJobID, time.Hour},
		"cancellation, ledger cannot be read":             {gateway.Cancel, jobID, time.Hour},
	}
	for name, tt := range tests {
		for cause, call := range causes {
			t.Run(name+"/"+cause, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.c.Assert(f.call(gateway.Submit, "/q/"+scheduledJobID, "key1", "timed").Outcome, qt.Equals, gateway.Accepted)
				f.c.Assert(f.call(gateway.Status, "/q/"+scheduledJobID, "key1", "").Outcome, qt.Equals, gateway.Known)
				f.peers = tt.peers
				f.store.SetFaults(fleetstore.Faults{Down: true})
				f.gateway.SetMaxConfigAge(call.configAge)
				answer := f.call(call.method, "/q/"+call.job, "key1", "")
				f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", answer))
			})
		}
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, l.Close(), qt.IsNil)
	return netip.MustParseAddrPort(l.Addr().String())
}

// unreliableStore is the view of an entry on a store: appends are refused, lost, or
// applied without an answer.
type unreliableStore struct {
	ledger.Store
	late *group.Group // late runs the appends that are applied after their caller has given up.

	mu     sync.Mutex
	random *rand.Rand
	down   bool // down is set when all appends are refused.
	cut    bool // cut is set when reads fail.
}

// draw returns a random number below n, or n if all appends are refused.
func (s *unreliableStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return n
	}
	return s.random.IntN(n)
}

func (s *unreliableStore) setFaults(down, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.cut = down, cut
}

// Append implements ledger.Store.
func (s *unreliableStore) Append(ctx context.Context, topic ledger.Topic, records []ledger.Record) error {
	apply := func(ctx context.Context) error { return s.Store.Append(context.WithoutCancel(ctx), topic, records) }
	switch s.draw(40) {
	case 0:
		return apply(ctx)
	case 1: // never applied
	case 2:
		if err := apply(ctx); err != nil {
			return err
		}
	case 3:
		s.late.Go("late append", func(ctx context.Context) error {
			time.Sleep(time.Duration(500+s.draw(1000)) * time.Millisecond)
			return apply(ctx)
		})
	default:
		return ledger.ErrNotDone
	}
	<-ctx.Done()
	return ctx.Err()
}

// Read implements ledger.Store.
func (s *unreliableStore) Read(ctx context.Context, topic ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		return ledger.Page{}, errors.New("no answer")
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// Guards against a submission that is refused or denied by an entry and stored by any
// attempt, of this entry or of another one.
func TestRefusedSubmissionIsNeverStored(t *testing.T) {
	const seeds = 48
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			late := group.New(context.Background())
			store := fleetstore.New()
			var entries []*fixture
			for i := range uint64(3) {
				view := &unreliableStore{Store: store, late: late, random: rand.New(rand.NewPCG(seed, 1+i))}
				entry := &fixture{c: c, store: store}
				entry.configure("1")
				entry.start(view)
				view.setFaults(random.IntN(2) == 0, random.IntN(2) == 0)
				if random.IntN(2) == 0 {
					entry.gateway.SetMaxConfigAge(time.Hour)
				}
				entries = append(entries, entry)
			}
			for _, peer := range entries[1:] {
				limit := time.Duration(50+random.IntN(700)) * time.Millisecond
				entries[0].peers = append(entries[0].peers, peerFunc(func(ctx context.Context) (gateway.Answer, error) {
					ctx, cancel := context.WithTimeout(ctx, limit)
					defer cancel()
					return forwardWithin(ctx, late, peer.gateway)
				}))
			}
			answer := entries[0].call(gateway.Submit, "/q/"+jobID, "key1", "")
			c.Assert(late.Wait(), qt.IsNil)
			page, err := store.Newest(context.Background(), topic, "")
			c.Assert(err, qt.IsNil)
			stored := len(page.Records) > 0
			if answer.Outcome != gateway.Accepted && answer.Outcome != gateway.Undecided {
				c.Check(stored, qt.IsFalse, qt.Commentf("%+v", answer))
			}
			t.Logf("%s, stored: %t", answer.Outcome, stored)
		})
	}
}

// forwardWithin serves a forwarded submission. The caller gives up when ctx ends, but
// the entry goes on.
func forwardWithin(ctx context.Context, running *group.Group, g *gateway.Gateway) (gateway.Answer, error) {
	answered := make(chan gateway.Answer, 1)
	running.Go("forwarded submission", func(ctx context.Context) error {
		answered <- g.Serve(ctx, gateway.Call{Method: gateway.Submit, Host: "h", Path: "/q/" + jobID, Key: "key1", Wait: 1200 * time.Millisecond, Forwarded: true})
		return nil
	})
	select {
	case answer := <-answered:
		return answer, nil
	case <-ctx.Done():
		return gateway.Answer{}, ctx.Err()
	}
}
