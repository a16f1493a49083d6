package journal

import (
	"math/rand/v2"
	"testing"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// sampleBatch has one record of each type.
func sampleBatch() batch {
	id := request.Identity{Organisation: "serido", ID: "tally-1"}
	shape := organisation.Shape{Members: 2, Accelerators: 4, Adjacency: organisation.WithinRack}
	plan := organisation.Plan{Name: "p", Kinds: []string{"k"}, Guarantees: []organisation.Guarantee{{Shape: shape, Count: 1}}}
	records := []Record{
		ConfigurationPublished{Operator: "ana", Organisations: []organisation.Organisation{{Name: "serido", Plan: "p"}}, Plans: []organisation.Plan{plan}},
		JobSubmitted{job.Job{Identity: id, Shape: shape, Submitted: start}},
		JobClaimed{Identity: id, DataCentre: "caico", Workers: []string{"w1", "w2"}},
		JobRunning{id, 1},
		JobReleased{id, 1, "lost", true, false, time.Hour},
		JobEnded{id, 0, request.Done, ""},
		JobCancelled{id},
		RequestClaimed{id, start},
		RequestFinished{id, request.Done, "", []byte("answer")},
		RequestAbandoned{id},
		Audit{Actor: "ana"},
		SnapshotChunk{Covers: 4, Count: 1, State: []byte("state")},
		Barrier{},
	}
	b := batch{writer: "a@1"}
	for i, r := range records {
		b.records = append(b.records, envelope{sequence: uint64(i + 1), time: start.Add(time.Duration(i) * time.Second), record: r})
	}
	return b
}

func samplePayload(f *testing.F) []byte {
	f.Helper()
	payload, err := encodeBatch(sampleBatch())
	if err != nil {
		f.Fatal(err)
	}
	return payload
}

// Guards against payloads that stop the fold or give a state that cannot be
// passed on in a snapshot.
func FuzzBatch(f *testing.F) {
	f.Add(samplePayload(f), uint64(1))
	f.Add([]byte{}, uint64(2))
	f.Add([]byte{0x0a, 0x01, 'a'}, uint64(3))
	f.Add(newerPayload(f, 0), uint64(4))
	f.Add(newerPayload(f, Format+1), uint64(5))
	f.Add([]byte{compressedField<<3 | 2, 2, 0x03, 0x00}, uint64(6))
	f.Fuzz(func(t *testing.T, payload []byte, seed uint64) {
		s := newState()
		random := rand.New(rand.NewPCG(seed, 0))
		for offset := range int64(3) {
			s.apply(offset+1+random.Int64N(3), payload)
		}
		assertPassesOn(t, s)
		assertSameForNewer(t, payload)
	})
}

// Guards against snapshots that stop the process that reads them, or that
// change when they are passed on.
func FuzzState(f *testing.F) {
	s := newState()
	s.apply(1, samplePayload(f))
	encoded, err := s.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded[:len(encoded)-checksumBytes], samplePayload(f))
	f.Add(encoded[:len(encoded)-checksumBytes], newerPayload(f, 0))
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, data, payload []byte) {
		_, _ = decodeState(data)
		d := NewDecoder()
		d.decode(data)
		s, err := d.finish()
		if err != nil {
			return
		}
		s.apply(s.next, payload)
		assertPassesOn(t, s)
	})
}

func assertPassesOn(t *testing.T, s *state) {
	t.Helper()
	encoded, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := decodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(encoded) {
		t.Fatal("the state changes when it is passed on")
	}
}
