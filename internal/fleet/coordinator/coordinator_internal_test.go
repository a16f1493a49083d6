package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleetstore"
)

// waitUntil waits until a condition holds that a loaded machine may delay.
func waitUntil(c *qt.C, holds func() bool) {
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatal("not within 10 s")
		}
	}
}

// claimedStore answers claims with a script.
type claimedStore struct {
	*fleetstore.Store
	claim ledger.Leadership
}

// Campaign implements ledger.Store.
func (s *claimedStore) Campaign(context.Context, ledger.Topic, string, int64, time.Duration) (ledger.Leadership, error) {
	return s.claim, nil
}

// Guards against a term that counts as the newest although another one has begun and
// ended since, or still may: the leadership may have come back to this process meanwhile,
// and the fence of the other one may come late.
func TestClaimAfterChangeOfLeaderIsNoConfirmation(t *testing.T) {
	const token = 1
	for name, tt := range map[string]struct {
		generation int64 // generation is that of the claims after the first.
		fenced     bool  // fenced is set if another term has begun.
		confirmed  bool
	}{
		"no change":                        {token, false, true},
		"another candidate came and went":  {token + 2, false, true},
		"another term has begun and ended": {token + 2, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			store := &claimedStore{fleetstore.New(), ledger.Leadership{IsLeader: true, Generation: token}}
			co := &Coordinator{
				reader: ledger.NewReader(store, "", ledger.NewState(), 0, log.NewNopLogger()),
				logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), store: store, state: ledger.NewState(),
				vacancy: vacancy{removed: collection.NewSet[string]()}, generation: token, confirmedClaimAt: now(),
			}
			co.Apply(Options{Name: "one"})
			tm := newTerm(co, token, now(), group.New(ctx))
			job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
			tm.adoptJob(ledger.JobEntry{Job: job, Accepted: true})
			co.term = &runningTerm{tm, tm.group}
			defer co.endTerm("the test ends")
			confirmed := func() bool { return tm.confirmedAt.Load() > 0 }
			if tt.fenced {
				c.Assert(store.AppendFenced(ctx, "", ledger.Fence{Writer: writerName, Epoch: token + 1}, nil), qt.IsNil)
			}
			store.claim.Generation = tt.generation
			tm.confirmedAt.Store(0)
			co.campaign(ctx)
			c.Check(confirmed(), qt.Equals, tt.generation == token)
			co.campaign(ctx) // The generation is the same as before now.
			c.Check(confirmed(), qt.Equals, tt.generation == token)
			tm.group.Go("loop", func(ctx context.Context) error {
				for {
					tm.flush()
					select {
					case event := <-tm.events:
						event()
					case <-ctx.Done():
						return nil
					case <-time.After(5 * time.Millisecond):
					}
				}
			})
			waitUntil(c, func() bool { return confirmed() || tm.group.Context().Err() != nil })
			c.Check(tm.group.Context().Err() != nil, qt.Equals, tt.fenced)
			c.Check(confirmed(), qt.Equals, tt.confirmed)
			if tt.confirmed {
				time.Sleep(50 * time.Millisecond) // Further appends would follow.
				appends, ok := callLoop(ctx, tm, func() int64 { return tm.writer.sequence })
				c.Check(ok, qt.IsTrue)
				c.Check(appends <= 1, qt.IsTrue, qt.Commentf("%d appends", appends))
				tm.confirmedAt.Store(0)
				co.campaign(ctx)
				waitUntil(c, confirmed)
				further, ok := callLoop(ctx, tm, func() int64 { return tm.writer.sequence })
				c.Check(ok, qt.IsTrue)
				c.Check(further > appends, qt.Equals, tt.generation != token) // No claim confirms it after a change.
			}
		})
	}
}

// Guards against a new term that counts as confirmed by a claim after which another
// process may have led.
func TestTakeoverIsNotConfirmedAfterChangeOfLeader(t *testing.T) {
	for name, generation := range map[string]int64{"no change": 1, "change": 3} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store := &claimedStore{fleetstore.New(), ledger.Leadership{IsLeader: true, Generation: generation}}
			co := &Coordinator{logger: log.NewNopLogger(), store: store, generation: 1, takeover: &takeover{token: 1, group: group.New(context.Background()), ready: make(chan bool)}}
			co.Apply(Options{})
			co.campaign(context.Background())
			co.stopTakeover()
			c.Check(co.confirmedClaimAt != 0, qt.Equals, generation == 1)
		})
	}
}
