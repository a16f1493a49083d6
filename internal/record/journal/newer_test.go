package journal

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/traffic/request"
)

// unknownType is what a reader sees in the place of a record of a newer version.
var unknownType = Unreadable{Reason: "decode record: unknown type"}

// encodeNewer encodes a batch as a newer version does: unreadable records get a
// body that this version has no type for.
func encodeNewer(b batch) ([]byte, error) {
	payload, err := encodeBatch(b)
	if err != nil {
		return nil, err
	}
	var message wire.Batch
	if err := proto.Unmarshal(payload, &message); err != nil {
		return nil, err
	}
	const laterField = 99
	for _, r := range message.GetRecords() {
		if r.GetBody() == nil {
			body := protowire.AppendTag(nil, laterField, protowire.BytesType)
			r.ProtoReflect().SetUnknown(protowire.AppendBytes(body, []byte("later")))
		}
	}
	return proto.Marshal(&message)
}

// newerPayload has an unknown type between records of all types.
func newerPayload(f *testing.F, needs int32) []byte {
	f.Helper()
	b := sampleBatch()
	b.records[4].record = unknownType
	b.records[4].needs = needs
	payload, err := encodeNewer(b)
	if err != nil {
		f.Fatal(err)
	}
	return payload
}

// asKnown returns the batch as a newer version reads it, for types that change
// nothing which the older version knows.
func asKnown(b batch) batch {
	known := batch{writer: b.writer}
	for _, e := range b.records {
		if _, unreadable := e.record.(Unreadable); unreadable {
			e.record = Barrier{}
		}
		known.records = append(known.records, e)
	}
	return known
}

// assertSameForNewer folds a payload as both versions do.
func assertSameForNewer(t *testing.T, payload []byte) {
	t.Helper()
	b, err := decodeBatch(payload)
	if err != nil || b.needs() > Format {
		return
	}
	known, err := encodeBatch(asKnown(b))
	if err != nil {
		t.Fatal(err)
	}
	older, newer := newState(), newState()
	results := older.apply(1, payload)
	assertVerdictsAgree(t, b, results, newer.apply(1, known))
	a, errA := older.encode()
	z, errZ := newer.encode()
	if err := errors.Join(errA, errZ); err != nil {
		t.Fatal(err)
	}
	if string(a) != string(z) {
		t.Fatal("the versions have different states")
	}
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func assertVerdictsAgree(t fataler, b batch, older, newer []judged) {
	t.Helper()
	if len(older) != len(b.records) || len(newer) != len(b.records) {
		t.Fatalf("%d and %d verdicts for %d records", len(older), len(newer), len(b.records))
	}
	for i, e := range b.records {
		if _, unreadable := e.record.(Unreadable); !unreadable && older[i].verdict != newer[i].verdict {
			t.Fatalf("record %d: %+v and %+v", i, older[i].verdict, newer[i].verdict)
		}
	}
}

// Guards against an old and a new process that disagree on a claim because it
// shares an append with a type that only the new one knows.
func TestVersionsAgreeOnKnownRecords(t *testing.T) {
	unknown := 0
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerator(t)
		newer := newState()
		newer.bodyLimit, newer.history.limit = testBodyLimit, g.state.history.limit
		for range rapid.IntRange(5, 40).Draw(t, "batches") {
			_, older := g.next()
			b := g.batches[len(g.batches)-1]
			for _, e := range b.records {
				if e.record == unknownType {
					unknown++
				}
			}
			known, err := encodeBatch(asKnown(b))
			noError(t, err)
			assertVerdictsAgree(t, b, older, newer.apply(int64(len(g.batches)), known))
		}
		a, err := g.state.encode()
		noError(t, err)
		z, err := newer.encode()
		noError(t, err)
		same(t, "encoded state", a, z)
	})
	qt.New(t).Assert(unknown > 0, qt.IsTrue)
}

// Guards against values of a known type that this version cannot read and that
// take the other records of the append with them.
func TestUnreadableValueKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	tally := request.Identity{Organisation: "serido", ID: "tally"}
	payload, err := Encode("a@1", 1, start, RequestClaimed{Identity: tally}, JobEnded{Outcome: 77}, RequestAbandoned{tally})
	c.Assert(err, qt.IsNil)
	results := newState().apply(1, payload)
	c.Assert(results, qt.HasLen, 3)
	c.Assert(results[0].verdict.Valid, qt.IsTrue)
	c.Assert(results[1].verdict, qt.Equals, Verdict{1, false, "decode record: outcome 77 is not final"})
	c.Assert(results[2].verdict.Valid, qt.IsTrue)
}

// Guards against an old process that folds past a record which it must not
// ignore, that passes on a state without it, or that writes records whose
// verdicts it cannot learn.
func TestRecordOfANewerFormatStopsTheFold(t *testing.T) {
	c := qt.New(t)
	first, second := request.Identity{Organisation: "serido", ID: "1"}, request.Identity{Organisation: "serido", ID: "2"}
	before, err := Encode("a@1", 1, start, RequestClaimed{Identity: first})
	c.Assert(err, qt.IsNil)
	newer, err := encodeNewer(batch{writer: "b@1", records: []envelope{{sequence: 1, time: start, record: unknownType, needs: Format + 1}}})
	c.Assert(err, qt.IsNil)
	after, err := Encode("a@1", 2, start, RequestClaimed{Identity: second})
	c.Assert(err, qt.IsNil)
	j := New()
	w := NewWriter("c@1", nil, j, DefaultWriterOptions())
	page := platformlog.Page{Entries: []platformlog.Entry{{Offset: 1, Payload: before}, {Offset: 2, Payload: newer}, {Offset: 3, Payload: after}}, Next: 4}
	c.Assert(j.Apply(1, page), qt.ErrorIs, ErrUnsupported)
	c.Assert(j.Unsupported(), qt.ErrorIs, ErrUnsupported)
	c.Assert(j.Next(), qt.Equals, int64(2))
	_, known := j.Request(second)
	c.Assert(known, qt.IsFalse)
	_, err = j.Page(2, 10)
	c.Assert(err, qt.ErrorIs, ErrUnsupported)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = w.Append(ctx, Barrier{})
	c.Assert(err, qt.ErrorIs, ErrNotAppended)
	c.Assert(err, qt.ErrorIs, ErrUnsupported)
	s := newState()
	s.next, s.needs = 9, Format+1
	data, err := s.encode()
	c.Assert(err, qt.IsNil)
	c.Assert(j.Restore(data), qt.ErrorIs, ErrUnsupported)
}
