package journal

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
	"unique"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// The property tests run the same cases each time unless flags say otherwise.
func TestMain(m *testing.M) { propertytest.Main(m, 300) }

const testBodyLimit = 200

// testHistoryLimit is low enough for most cases to cut histories.
const testHistoryLimit = 6 * stepBytes

var start = time.Date(2026, 5, 4, 6, 0, 0, 0, time.UTC)

// generator draws batches. Most records fit the state that the batches before
// have led to, so that deep states are reached.
type generator struct {
	t         *rapid.T
	now       time.Time
	sequences map[string]uint64
	batches   []batch
	state     *state
}

func newGenerator(t *rapid.T) *generator {
	s := newState()
	s.bodyLimit = testBodyLimit
	s.history.limit = rapid.SampledFrom([]int{testHistoryLimit, historyBytes}).Draw(t, "history limit")
	return &generator{t: t, now: start, sequences: map[string]uint64{}, state: s}
}

// next draws a batch, folds it and returns its payload and the verdicts.
func (g *generator) next() ([]byte, []judged) {
	b := batch{writer: rapid.SampledFrom([]string{"a@1", "a@2", "b@1", "c@1"}).Draw(g.t, "writer")}
	g.now = g.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(g.t, "elapsed")) * time.Second)
	if rapid.IntRange(0, 9).Draw(g.t, "quiet") == 0 {
		g.quiet(&b)
	}
	for range rapid.IntRange(1, 6).Draw(g.t, "records") {
		g.add(&b, g.record(b.writer))
	}
	g.batches = append(g.batches, b)
	payload, err := encodeNewer(b)
	if err != nil {
		g.t.Fatal(err)
	}
	return payload, g.state.apply(int64(len(g.batches)), payload)
}

// quiet lets hours pass. The clock of the fold needs a record for each minute.
func (g *generator) quiet(b *batch) {
	hours := rapid.IntRange(1, 20).Draw(g.t, "hours")
	g.now = g.now.Add(time.Duration(hours) * time.Hour)
	for range hours * 60 {
		g.add(b, Barrier{})
	}
}

func (g *generator) add(b *batch, r Record) {
	sequence := g.sequences[b.writer] + 1
	at := g.now
	switch rapid.IntRange(0, 19).Draw(g.t, "oddity") {
	case 0:
		sequence = uint64(rapid.IntRange(0, int(sequence)).Draw(g.t, "sequence"))
	case 1:
		at = at.Add(time.Duration(rapid.IntRange(-100, 100).Draw(g.t, "skew")) * time.Hour)
	}
	g.sequences[b.writer] = max(g.sequences[b.writer], sequence)
	b.records = append(b.records, envelope{sequence: sequence, time: at, record: r})
}

func (g *generator) identity() request.Identity {
	return rapid.SampledFrom(g.identities()).Draw(g.t, "identity")
}

// identities returns all identities in a fixed order.
func (g *generator) identities() []request.Identity {
	var all []request.Identity
	for _, name := range []string{"serido", "cariri"} {
		for _, id := range []string{"1", "2", "3"} {
			all = append(all, request.Identity{Organisation: name, ID: id})
		}
	}
	return all
}

func (g *generator) claim(id request.Identity) int64 {
	if j := g.state.jobs[id]; j != nil && rapid.IntRange(0, 9).Draw(g.t, "stale") > 0 {
		return j.Claim
	}
	return int64(rapid.IntRange(0, len(g.batches)).Draw(g.t, "claim"))
}

func (g *generator) record(writer string) Record {
	id := g.identity()
	outcome := rapid.SampledFrom([]request.Outcome{request.Done, request.Failed, request.NotRun, request.Unknown})
	flip := func(label string) bool { return rapid.Bool().Draw(g.t, label) }
	switch rapid.IntRange(0, 12).Draw(g.t, "kind") {
	case 0:
		if flip("audit") {
			subject := rapid.SampledFrom([]string{id.String(), fmt.Sprint(len(g.batches))}).Draw(g.t, "subject")
			return Audit{Actor: "op", Action: "act", Subject: subject}
		}
		base := g.state.configuration.Version
		if flip("stale") {
			base = int64(rapid.IntRange(0, len(g.batches)).Draw(g.t, "base"))
		}
		name := fmt.Sprint("o", len(g.batches))
		return ConfigurationPublished{Base: base, Organisations: []organisation.Organisation{{Name: name, Plan: "p"}}}
	case 1:
		shape := organisation.Shape{Members: rapid.IntRange(1, 2).Draw(g.t, "members"), Accelerators: 1, Adjacency: organisation.WithinRack}
		return JobSubmitted{job.Job{Identity: id, Kind: "k", Shape: shape, Idempotent: flip("idempotent")}}
	case 2, 3:
		workers := []string{"w1", "w2"}[:rapid.IntRange(1, 2).Draw(g.t, "workers")]
		return JobClaimed{Identity: id, DataCentre: "caico", Supersedes: g.claim(id), Workers: workers}
	case 4:
		return JobRunning{id, g.claim(id)}
	case 5:
		return JobReleased{id, g.claim(id), "lost", flip("started"), flip("checkpointed"), time.Hour}
	case 6:
		return JobEnded{id, g.claim(id), outcome.Draw(g.t, "outcome"), "over"}
	case 7:
		return JobCancelled{id}
	case 8, 10:
		return RequestClaimed{id, g.now.Add(time.Minute)}
	case 9, 11:
		for _, claimed := range g.identities() {
			if r := g.state.claims.get(claimed); r != nil && r.writer.Value() == writer && r.outcome() == request.Pending {
				id = claimed
			}
		}
		size := rapid.IntRange(0, testBodyLimit*3/4).Draw(g.t, "size")
		if size == 0 {
			return RequestAbandoned{id}
		}
		return RequestFinished{id, outcome.Draw(g.t, "outcome"), "", make([]byte, size)}
	case 12:
		return unknownType
	}
	return Barrier{}
}

func assertSame(t *rapid.T, s *state, n *naiveFold) {
	jobs, requests := map[request.Identity]JobState{}, map[request.Identity]RequestState{}
	for id, j := range s.jobs {
		jobs[id] = *j
	}
	bytes, used, inOrder := 0, map[unique.Handle[string]]int{}, 0
	for _, r := range s.claims.byKey {
		requests[r.identity()] = r.state()
		bytes += r.bytes()
		used[r.key.organisation] += r.bytes()
	}
	for r := s.claims.oldest; r != nil; r = r.after {
		inOrder++
	}
	same(t, "bytes of claims", s.claims.bytes, bytes)
	same(t, "bytes by organisation", s.claims.used, used)
	same(t, "claims in order of change", inOrder, len(requests))
	same(t, "now", s.clock.now, n.now)
	same(t, "configuration", s.configuration, n.configuration)
	same(t, "jobs", jobs, n.jobs)
	same(t, "requests", requests, n.requests)
	same(t, "audit", s.audit, n.audit)
	assertHistory(t, s, n)
}

// assertHistory compares the histories. A low bound of memory may have cut the
// oldest entries.
func assertHistory(t *rapid.T, s *state, n *naiveFold) {
	bytes := 0
	for _, step := range s.history.steps {
		bytes += step.bytes()
	}
	same(t, "bytes of histories", s.history.bytes, bytes)
	if bytes > s.history.limit {
		t.Fatalf("histories of %d bytes exceed %d", bytes, s.history.limit)
	}
	for id := range n.jobs {
		got, want := s.historyOf(id), n.history[id]
		want = want[max(0, len(want)-HistoryKept):]
		if s.history.limit == historyBytes && len(got) != len(want) || len(got) > len(want) {
			t.Fatalf("history of %s: %d entries, want %d", id, len(got), len(want))
		}
		for i, h := range want[len(want)-len(got):] {
			same(t, "history of "+id.String(), got[i], h)
		}
	}
}

func same(t *rapid.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s differs:\ngot  %+v\nwant %+v", what, got, want)
	}
}

func noError(t *rapid.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against shortcuts of the fold that change a verdict or the state.
func TestFoldAgreesWithReplay(t *testing.T) {
	evicted, dropped := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerator(t)
		var verdicts []Verdict
		for range rapid.IntRange(20, 80).Draw(t, "batches") {
			known := len(g.state.claims.byKey)
			_, results := g.next()
			if len(g.state.claims.byKey) < known {
				evicted++
			}
			for _, r := range g.state.claims.byKey {
				if strings.Contains(r.ending.Value().reason, ReasonBodyDropped) {
					dropped++
				}
			}
			for _, r := range results {
				verdicts = append(verdicts, r.verdict)
			}
		}
		n := replay(g.batches, testBodyLimit)
		same(t, "verdicts", verdicts, n.verdicts)
		assertSame(t, g.state, n)
	})
	qt.New(t).Assert(evicted > 0, qt.IsTrue, qt.Commentf("no case reached an eviction"))
	qt.New(t).Assert(dropped > 0, qt.IsTrue, qt.Commentf("no case dropped a body"))
}

// Guards against a state that a process takes from a snapshot and that goes on
// differently from one that was folded without a stop.
func TestRestoredStateGoesOnAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerator(t)
		for range rapid.IntRange(1, 40).Draw(t, "before") {
			g.next()
		}
		encoded, err := g.state.encode()
		noError(t, err)
		whole, err := decodeState(encoded)
		noError(t, err)
		d := NewDecoder()
		for rest := encoded; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			_, err := d.Write(rest[:size])
			noError(t, err)
			rest = rest[size:]
		}
		pieces, err := d.Restored()
		noError(t, err)
		restored := pieces.state
		first, err := whole.encode()
		noError(t, err)
		second, err := restored.encode()
		noError(t, err)
		same(t, "state in pieces", second, first)
		restored.bodyLimit, restored.history.limit = testBodyLimit, g.state.history.limit
		for range rapid.IntRange(1, 40).Draw(t, "after") {
			payload, want := g.next()
			same(t, "verdicts", restored.apply(int64(len(g.batches)), payload), want)
		}
		again, err := restored.encode()
		noError(t, err)
		straight, err := g.state.encode()
		noError(t, err)
		same(t, "encoded state", again, straight)
	})
}
