package ledger_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

// Guards against a long delay before a record is folded. A store that drops its
// history immediately does not end a long poll; urgent jobs then waited for up to 2 s.
func TestReaderFoldsRecordsWithoutWakeUp(t *testing.T) {
	c := qt.New(t)
	const topic ledger.Topic = "fleet"
	store := fleetstore.New()
	reader, state := newReader(store, topic)
	g := group.New(context.Background())
	g.Go("reader", reader.Run)
	defer func() {
		g.Stop()
		c.Check(g.Wait(), qt.IsNil)
	}()
	<-reader.Loaded()
	store.SetFaults(fleetstore.Faults{DropHistory: true})
	// The first record waits for the end of a full poll, later ones of a short poll.
	for i, limit := range []time.Duration{800 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond} {
		record, err := ledger.EncodeMember(ledger.Member{Name: string(rune('a' + i)), Role: ledger.EntryRole})
		c.Assert(err, qt.IsNil)
		c.Assert(store.Append(context.Background(), topic, []ledger.Record{record}), qt.IsNil)
		start := time.Now()
		for len(state.Members(ledger.EntryRole)) <= i && time.Since(start) < 5*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		c.Check(time.Since(start) < limit, qt.IsTrue, qt.Commentf("record %d folded after %s", i, time.Since(start)))
	}
}

// Guards against a read that fails for a caller because another caller, whose read it
// shares, has given up.
func TestRefreshOutlivesOtherCallers(t *testing.T) {
	c := qt.New(t)
	store := fleetstore.New()
	reader, _ := newReader(store, "fleet")
	c.Assert(reader.Refresh(context.Background()), qt.IsNil)
	const readTime = 100 * time.Millisecond
	store.SetFaults(fleetstore.Faults{Delay: readTime})
	for range 5 {
		g := group.New(context.Background())
		refresh := func(limit time.Duration, patient bool) {
			g.Go("refresh", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				if err := reader.Refresh(ctx); err != nil && patient {
					return err
				}
				return nil
			})
		}
		refresh(10*readTime, true) // The others wait for the end of this read and share the next one.
		time.Sleep(readTime / 4)
		for range 8 {
			refresh(readTime, false)
		}
		refresh(10*readTime, true)
		c.Check(g.Wait(), qt.IsNil)
	}
}

func newReader(store ledger.Store, topic ledger.Topic) (*ledger.Reader, *ledger.State) {
	state := ledger.NewState()
	return ledger.NewReader(store, topic, state, 0, log.NewNopLogger()), state
}
