package ledger_test

import (
	"context"
	"net/netip"
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
		record, err := ledger.EncodeMember(ledger.Member{Name: string(rune('a' + i)), Role: ledger.EntryRole, Address: netip.MustParseAddrPort("10.0.0.1:7000")})
		c.Assert(err, qt.IsNil)
		c.Assert(store.Append(context.Background(), topic, []ledger.Record{record}), qt.IsNil)
		start := time.Now()
		for len(state.Members(ledger.EntryRole)) <= i && time.Since(start) < 5*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		c.Check(time.Since(start) < limit, qt.IsTrue, qt.Commentf("record %d folded after %s", i, time.Since(start)))
	}
}

func newReader(store ledger.Store, topic ledger.Topic) (*ledger.Reader, *ledger.State) {
	state := ledger.NewState()
	return ledger.NewReader(store, topic, state, 0, log.NewNopLogger()), state
}
