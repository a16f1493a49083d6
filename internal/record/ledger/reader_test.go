package ledger_test

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
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

// pagedStore returns one record in each page.
type pagedStore struct {
	*fleetstore.Store
	stalled bool // stalled makes pages empty.
}

func (s *pagedStore) Read(ctx context.Context, topic ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, topic, from, wait)
	page.End = page.Next
	switch {
	case s.stalled:
		page.Records, page.Next = nil, from
	case len(page.Records) > 1:
		page.Records, page.Next = page.Records[:1], page.Records[0].Offset+1
	}
	return page, err
}

// flakyKeyStore returns one key in each page of the newest records, and fails once
// before the second one.
type flakyKeyStore struct {
	*fleetstore.Store
	asked []string // asked holds the keys after which pages were asked for.
	last  string   // last replaces the last key of each page if it is set.
}

func (s *flakyKeyStore) Newest(ctx context.Context, topic ledger.Topic, after string) (ledger.KeyPage, error) {
	s.asked = append(s.asked, after)
	if len(s.asked) == 2 {
		return ledger.KeyPage{}, errors.New("no answer")
	}
	page, err := s.Store.Newest(ctx, topic, after)
	if len(page.Records) > 1 {
		page.Records, page.Last, page.More = page.Records[:1], page.Records[0].Key, true
	}
	page.Last = cmp.Or(s.last, page.Last)
	return page, err
}

// Guards against a load that starts anew after each failure. It transfers the same
// pages again and again over a link that is too slow for all of them, or it misses
// records that were stored while the load was interrupted.
func TestLoadGoesOnAfterAFailure(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &flakyKeyStore{Store: fleetstore.New()}
	for _, name := range []string{"a", "b", "c"} {
		c.Assert(store.Append(ctx, topic, []ledger.Record{memberRecord(c, name)}), qt.IsNil)
	}
	reader, state := newReader(store, topic)
	c.Check(reader.Refresh(ctx), qt.ErrorMatches, "no answer")
	c.Assert(store.Append(ctx, topic, []ledger.Record{memberRecord(c, "0"), ledger.Tombstone(ledger.MemberKind, "a")}), qt.IsNil)
	c.Assert(reader.Refresh(ctx), qt.IsNil)
	c.Check(store.asked, qt.DeepEquals, []string{"", "member/a", "member/a", "member/b"})
	names := collection.NewSet[string]()
	for name := range state.Members(ledger.AgentRole) {
		names.Add(name)
	}
	c.Check(names.Sorted(), qt.DeepEquals, []string{"0", "b", "c"})
}

// Guards against a load that never ends because the store returns the same page again.
func TestLoadEndsWhenAPageRepeats(t *testing.T) {
	c := qt.New(t)
	store := &flakyKeyStore{Store: fleetstore.New(), asked: []string{"", ""}, last: "member/a"}
	for _, name := range []string{"a", "b", "c"} {
		c.Assert(store.Append(context.Background(), topic, []ledger.Record{memberRecord(c, name)}), qt.IsNil)
	}
	reader, _ := newReader(store, topic)
	c.Check(reader.Refresh(context.Background()), qt.ErrorMatches, `the store returned the page after key "member/a" again`)
}

// countingStore counts the reads that return records.
type countingStore struct {
	*fleetstore.Store
	reads atomic.Int64
}

func (s *countingStore) Read(ctx context.Context, topic ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, topic, from, wait)
	if len(page.Records) > 0 {
		s.reads.Add(1)
	}
	return page, err
}

// Guards against calls to the store that grow with the number of entries times the
// number of appends: 55 entries made 105,000 calls on a quiet day.
func TestReadIntervalBoundsTheCalls(t *testing.T) {
	c := qt.New(t)
	store := &countingStore{Store: fleetstore.New()}
	reader, state := newReader(store, topic)
	const interval, duration, appendInterval = 100 * time.Millisecond, time.Second, 5 * time.Millisecond
	reader.SetReadInterval(interval)
	g := group.New(context.Background())
	g.Go("reader", reader.Run)
	<-reader.Loaded()
	appends := int64(0)
	for start := time.Now(); time.Since(start) < duration; time.Sleep(appendInterval) {
		c.Assert(store.Append(context.Background(), topic, []ledger.Record{memberRecord(c, "m")}), qt.IsNil)
		appends++
	}
	time.Sleep(2 * interval)
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
	c.Check(state.Next(), qt.Equals, appends)
	// One read each interval, and two at the ends of the period.
	c.Check(store.reads.Load() <= int64(duration/interval)+2, qt.IsTrue, qt.Commentf("%d reads", store.reads.Load()))
}

// Guards against a refresh that returns after the first page of a long backlog. A
// coordinator then starts a term without the last decisions of the former one.
func TestRefreshReadsAllPages(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &pagedStore{Store: fleetstore.New()}
	reader, state := newReader(store, topic)
	c.Assert(reader.Refresh(ctx), qt.IsNil)
	const members = 5
	for i := range members {
		c.Assert(store.Append(ctx, topic, []ledger.Record{memberRecord(c, string(rune('a'+i)))}), qt.IsNil)
	}
	asOf := reader.AsOf()
	store.stalled = true
	c.Check(reader.Refresh(ctx), qt.ErrorMatches, `the store returned no records from 0 on, and has those up to 5`)
	c.Check(reader.AsOf(), qt.Equals, asOf)
	store.stalled = false
	c.Assert(reader.Refresh(ctx), qt.IsNil)
	c.Check(state.Members(ledger.AgentRole), qt.HasLen, members)
	c.Check(reader.AsOf().After(asOf), qt.IsTrue)
}
