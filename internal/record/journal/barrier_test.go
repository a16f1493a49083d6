package journal_test

import (
	"context"
	"fmt"
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

// Guards against a barrier that returns before the records of others are
// folded, that costs a record for each caller, or that succeeds or blocks
// without the log.
func TestReadBarrier(t *testing.T) {
	c := qt.New(t)
	service, address := startService(t)
	client := platformlog.NewClient(address, nil)
	p := startProcess(t, "a@1", client)
	barrier := journal.NewReadBarrier(p.writer)
	g := group.New(context.Background())
	defer func() { g.Stop(); _ = g.Wait() }()
	g.Go(barrier.String(), barrier.Run)
	for i := range 20 {
		id := request.Identity{Organisation: "serido", ID: fmt.Sprint(i)}
		payload, err := journal.Encode(fmt.Sprint("b@", i), 1, time.Now(), journal.RequestClaimed{Identity: id})
		c.Assert(err, qt.IsNil)
		_, err = client.Append(t.Context(), payload)
		c.Assert(err, qt.IsNil)
		c.Assert(barrier.Wait(within(t, 4*time.Second)), qt.IsNil)
		_, claimed := p.journal.Request(id)
		c.Assert(claimed, qt.IsTrue)
	}
	const callers = 200
	var barriers atomic.Int64
	p.journal.Observe(func(_ string, _ uint64, r journal.Record, _ journal.Verdict) {
		if isBarrier(r) {
			barriers.Add(1)
		}
	})
	waits := group.New(context.Background())
	for range callers {
		waits.Go("caller", func(context.Context) error { return barrier.Wait(within(t, 4*time.Second)) })
	}
	c.Assert(waits.Wait(), qt.IsNil)
	c.Assert(barriers.Load() < callers/4, qt.IsTrue, qt.Commentf("%d barriers", barriers.Load()))
	service.SetFaults(logservice.Faults{Outage: true})
	c.Assert(barrier.Wait(within(t, 100*time.Millisecond)), qt.ErrorIs, context.DeadlineExceeded)
}

func isBarrier(r journal.Record) bool {
	_, ok := r.(journal.Barrier)
	return ok
}
