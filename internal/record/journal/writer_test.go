package journal_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/traffic/request"
)

// attempt is one claim and what its writer reported.
type attempt struct {
	writer   string
	identity request.Identity
	verdict  journal.Verdict
	err      error
}

// contend lets processes claim the same identities. Each identity is claimed
// once by each process, and about half of the callers give up early.
func contend(processes map[string]process, identities int, seed uint64) []attempt {
	var mu sync.Mutex
	var attempts []attempt
	g := group.New(context.Background())
	for name, p := range processes {
		for lane := range 8 {
			random := rand.New(rand.NewPCG(seed, uint64(lane)))
			g.Go(name, func(ctx context.Context) error {
				for i := lane; i < identities; i += 8 {
					patience := time.Duration(1+random.IntN(60)) * time.Millisecond
					if random.IntN(2) == 0 {
						patience = 10 * time.Second
					}
					call, cancel := context.WithTimeout(ctx, patience)
					id := request.Identity{Organisation: "serido", ID: fmt.Sprint(i)}
					verdict, err := p.writer.Append(call, journal.RequestClaimed{Identity: id})
					cancel()
					mu.Lock()
					attempts = append(attempts, attempt{p.writer.Name(), id, verdict, err})
					mu.Unlock()
				}
				return nil
			})
		}
	}
	_ = g.Wait()
	return attempts
}

// Guards against a writer that reports success for a record that another fold
// does not have, or absence for one that takes effect later. A fold that reads
// the finished log from the start decides.
func TestVerdictsHoldUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			log := newFaultyLog(seed)
			processes := map[string]process{}
			for _, name := range []string{"a@1", "b@1", "c@1"} {
				processes[name] = startProcess(t, name, log)
			}
			attempts := contend(processes, 160, seed)
			time.Sleep(100 * time.Millisecond)
			end := log.heal()
			fresh := journal.New()
			c.Assert(fresh.Apply(1, log.page(1, int(end))), qt.IsNil)
			counts := map[string]int{}
			for _, a := range attempts {
				state, claimed := fresh.Request(a.identity)
				own := claimed && state.Writer == a.writer
				note := qt.Commentf("%+v, fold has %+v", a, state)
				switch {
				case a.err == nil && a.verdict.Valid:
					counts["valid"]++
					c.Assert(own && state.Claim == a.verdict.Offset, qt.IsTrue, note)
				case a.err == nil:
					counts["invalid"]++
					c.Assert(claimed && !own, qt.IsTrue, note)
				case errors.Is(a.err, journal.ErrNotAppended):
					counts["not appended"]++
					c.Assert(own, qt.IsFalse, note)
				default:
					counts["unsettled"]++
					c.Assert(errors.Is(a.err, journal.ErrUnsettled), qt.IsTrue, note)
				}
			}
			t.Log(counts)
			for _, outcome := range []string{"valid", "invalid", "not appended"} {
				c.Assert(counts[outcome] > 0, qt.IsTrue, qt.Commentf("no attempt ended as %s", outcome))
			}
		})
	}
}

// Guards against an outcome that cannot be recorded because the back end gave
// a reason that is not valid text.
func TestOutcomeWithBadReasonIsRecorded(t *testing.T) {
	c := qt.New(t)
	p := startProcess(t, "a@1", newLimitedLog(50_000))
	ctx := within(t, 5*time.Second)
	_, err := p.writer.Append(ctx, journal.RequestClaimed{Identity: tally})
	c.Assert(err, qt.IsNil)
	_, err = p.writer.Append(ctx, journal.RequestFinished{Identity: tally, Outcome: request.Failed, Reason: "bad \xff"})
	c.Assert(err, qt.IsNil)
	state, _ := p.journal.Request(tally)
	c.Assert(state.Outcome, qt.Equals, request.Failed)
	c.Assert(state.Reason, qt.Equals, "bad \uFFFD")
}

// limitedLog refuses payloads above a size and counts records by append.
type limitedLog struct {
	*faultyLog
	limit   int
	largest atomic.Int64
}

func newLimitedLog(limit int) *limitedLog {
	l := &limitedLog{faultyLog: newFaultyLog(1), limit: limit}
	l.heal()
	return l
}

func (l *limitedLog) Append(ctx context.Context, payload []byte) (int64, error) {
	if len(payload) > l.limit {
		return 0, fmt.Errorf("%w: %w", platformlog.ErrTooLarge, platformlog.ErrNotAppended)
	}
	l.largest.Store(max(l.largest.Load(), int64(len(payload))))
	return l.faultyLog.Append(ctx, payload)
}

// finished returns an outcome whose body does not get shorter when compressed.
func finished(id, size int) journal.RequestFinished {
	identity := request.Identity{Organisation: "serido", ID: fmt.Sprint(id)}
	body := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(id)}).Read(body)
	return journal.RequestFinished{Identity: identity, Outcome: request.Done, Body: body}
}

// Guards against one record that the log does not take, or that cannot be
// encoded, holding up or failing the records beside it.
func TestBadRecordDoesNotAffectOthers(t *testing.T) {
	tests := map[string]journal.Record{
		"larger than the log takes": finished(0, 100_000),
		"not text":                  journal.RequestAbandoned{Identity: request.Identity{ID: "\xff"}},
		"outcome not final":         journal.RequestFinished{Identity: tally, Outcome: request.Pending},
		"impossible shape":          journal.JobSubmitted{},
	}
	for name, bad := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := startProcess(t, "a@1", newLimitedLog(50_000))
			ctx := within(t, 5*time.Second)
			g := group.New(ctx)
			var errBad error
			g.Go("bad", func(ctx context.Context) error {
				_, errBad = p.writer.Append(ctx, bad)
				return nil
			})
			for i := range 20 {
				g.Go("good", func(ctx context.Context) error {
					_, err := p.writer.Append(ctx, finished(i, 5_000))
					return err
				})
			}
			c.Assert(g.Wait(), qt.IsNil)
			c.Assert(errors.Is(errBad, journal.ErrNotAppended), qt.IsTrue)
		})
	}
}

// Guards against records that wait or are unsettled without bound while the
// log is down or hangs.
func TestWriterMemoryIsBounded(t *testing.T) {
	tests := map[string]error{"refused": platformlog.ErrNotAppended, "answers lost": errLost}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := journal.DefaultWriterOptions()
			o.Spacing, o.Backoff = time.Millisecond, time.Millisecond
			o.MaxPending, o.MaxPendingBytes = 100, 50_000
			w := journal.NewWriter("a@1", failingLog{failure}, journal.New(), o)
			g := group.New(within(t, 5*time.Second))
			g.Go("writer", w.Run)
			callers := group.New(g.Context())
			for i := range 400 {
				callers.Go("caller", func(ctx context.Context) error {
					call, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
					defer cancel()
					_, err := w.Append(call, finished(i, 1_000))
					if err == nil {
						return errors.New("appended")
					}
					return nil
				})
			}
			for range 10 {
				records, size := w.Held()
				c.Assert(records <= o.MaxPending && size <= o.MaxPendingBytes, qt.IsTrue)
				time.Sleep(5 * time.Millisecond)
			}
			c.Assert(callers.Wait(), qt.IsNil)
			records, size := w.Held()
			c.Assert([]int{records, size}, qt.DeepEquals, []int{0, 0})
			g.Stop()
			c.Assert(g.Wait(), qt.IsNil)
		})
	}
}

// failingLog fails every append.
type failingLog struct{ err error }

func (l failingLog) Append(context.Context, []byte) (int64, error) { return 0, l.err }

func (l failingLog) Read(context.Context, int64, int, time.Duration) (platformlog.Page, error) {
	return platformlog.Page{}, l.err
}

// Guards against audit entries that delay claims, make an append larger than
// its bound, or vanish without being counted when an append is refused.
func TestAuditEntriesGiveWay(t *testing.T) {
	c := qt.New(t)
	log := newLimitedLog(300 << 10)
	log.healthy, log.outage = false, 1000
	p := startProcess(t, "a@1", log)
	long := string(bytes.Repeat([]byte("x"), 20_000))
	const entries = 500
	for range entries {
		p.writer.Audit(journal.Audit{Actor: "op", After: long})
	}
	before := log.heal()
	verdict, err := p.writer.Append(within(t, time.Second), journal.RequestClaimed{Identity: tally})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Valid, qt.IsTrue)
	// One append may be in flight when the claim is submitted.
	c.Assert(verdict.Offset-before <= 1, qt.IsTrue, qt.Commentf("the claim waited for %d appends", verdict.Offset-before))
	c.Assert(len(p.journal.AuditTrail()) < entries, qt.IsTrue)
	c.Assert(log.largest.Load() < 270<<10, qt.IsTrue)
	ctx := within(t, 10*time.Second)
	for len(p.journal.AuditTrail())+int(p.writer.LostAudit()) < entries && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(len(p.journal.AuditTrail())+int(p.writer.LostAudit()), qt.Equals, entries)
}

// refusingLog holds the first append until refuse is closed and refuses it then.
type refusingLog struct {
	*faultyLog
	started, refuse chan struct{}
	first           sync.Once
}

func (l *refusingLog) Append(ctx context.Context, payload []byte) (int64, error) {
	err := error(nil)
	l.first.Do(func() {
		close(l.started)
		<-l.refuse
		err = platformlog.ErrNotAppended
	})
	if err != nil {
		return 0, err
	}
	return l.faultyLog.Append(ctx, payload)
}

// Guards against a record that is sent again after its caller gave up on it
// while its first append was in flight.
func TestWithdrawnRecordIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	log := &refusingLog{faultyLog: newFaultyLog(1), started: make(chan struct{}), refuse: make(chan struct{})}
	log.heal()
	p := startProcess(t, "a@1", log)
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(context.Background())
	g.Go("withdraw", func(context.Context) error {
		<-log.started
		cancel()
		return nil
	})
	_, err := p.writer.Append(ctx, journal.RequestClaimed{Identity: tally})
	c.Assert(errors.Is(err, journal.ErrUnsettled), qt.IsTrue)
	c.Assert(g.Wait(), qt.IsNil)
	close(log.refuse)
	_, err = p.writer.Append(within(t, 5*time.Second), journal.Barrier{})
	c.Assert(err, qt.IsNil)
	_, claimed := p.journal.Request(tally)
	c.Assert(claimed, qt.IsFalse)
}

// Guards against a caller that is told that the fate of its record is unknown
// because its deadline fell into an append that is refused at once.
func TestDeadlineDuringRefusedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := &refusingLog{faultyLog: newFaultyLog(1), started: make(chan struct{}), refuse: make(chan struct{})}
		log.heal()
		p := startProcess(t, "a@1", log)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g := group.New(t.Context())
		g.Go("refuse", func(context.Context) error {
			<-ctx.Done()
			time.Sleep(journal.DefaultWriterOptions().SettleGrace / 2)
			close(log.refuse)
			return nil
		})
		_, err := p.writer.Append(ctx, journal.RequestClaimed{Identity: tally})
		c.Assert(errors.Is(err, journal.ErrNotAppended), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(g.Wait(), qt.IsNil)
	})
}

// Guards against a caller that waits for ever on a writer that has stopped.
func TestStoppedWriterRefuses(t *testing.T) {
	c := qt.New(t)
	w := journal.NewWriter("a@1", failingLog{platformlog.ErrNotAppended}, journal.New(), journal.DefaultWriterOptions())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(w.Run(ctx), qt.IsNil)
	_, err := w.Append(context.Background(), journal.RequestClaimed{Identity: tally})
	c.Assert(errors.Is(err, journal.ErrNotAppended), qt.IsTrue)
}

// BenchmarkVerdicts guards against a cost of each verdict that grows with the
// number of records in flight.
func BenchmarkVerdicts(b *testing.B) {
	for _, records := range []int{500, 5_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			for b.Loop() {
				log := newLimitedLog(1 << 30)
				j := journal.New()
				o := journal.DefaultWriterOptions()
				o.Spacing, o.MaxRecords, o.MaxBytes = 0, records, 1<<30
				w := journal.NewWriter("a@1", log, j, o)
				g := group.New(context.Background())
				callers := group.New(context.Background())
				for i := range records {
					callers.Go("caller", func(ctx context.Context) error {
						_, err := w.Append(ctx, finished(i, 10))
						return err
					})
				}
				g.Go("writer", w.Run)
				g.Go("follower", journal.NewFollower(j, log, nil).Run)
				if err := callers.Wait(); err != nil {
					b.Fatal(err)
				}
				g.Stop()
				_ = g.Wait()
			}
		})
	}
}
