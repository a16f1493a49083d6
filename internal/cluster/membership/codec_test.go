package membership_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/standin/network"
)

func valid() *wire.Member {
	return membership.Encode(membership.Member{Name: "agent-1", Role: membership.Agent, Region: "gulf", DataCentre: "dc0", Address: place(0, 1), Incarnation: 7, Revision: 3, State: membership.Draining, Service: "fitting-desk", Waiting: 2, Running: 1})
}

// Guards against members from the wire that the rest of the system cannot
// handle, and against fields that the codec loses.
func TestDecodeRefusesInvalidMembers(t *testing.T) {
	tests := map[string]func(*wire.Member){
		"no name":           func(m *wire.Member) { m.Name = "" },
		"no data centre":    func(m *wire.Member) { m.DataCentre = "" },
		"bad address":       func(m *wire.Member) { m.Address = "host:1" },
		"no port":           func(m *wire.Member) { m.Address = "10.0.0.1:0" },
		"unknown state":     func(m *wire.Member) { m.State = 4 },
		"negative state":    func(m *wire.Member) { m.State = -1 },
		"long text":         func(m *wire.Member) { m.Service = strings.Repeat("a", 256) },
		"last revision":     func(m *wire.Member) { m.Revision = 1<<64 - 1 },
		"last incarnation":  func(m *wire.Member) { m.Incarnation = 1<<63 - 1 },
		"negative load":     func(m *wire.Member) { m.Waiting = -1 },
		"address with zone": func(m *wire.Member) { m.Address = "[fe80::1%" + strings.Repeat("z", 300) + "]:1" },
	}
	for title, change := range tests {
		w := valid()
		change(w)
		_, err := membership.Decode(w)
		qt.Check(t, errors.Is(err, membership.ErrInvalid), qt.IsTrue, qt.Commentf(title))
	}
	m, err := membership.Decode(valid())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, proto.Equal(membership.Encode(m), valid()), qt.IsTrue)
}

// Guards against lists that end up different when reports arrive in another
// order.
func TestSupersedesIsAStrictOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) membership.Member {
			return membership.Member{
				Incarnation: rapid.Int64Range(0, 2).Draw(t, label+" incarnation"),
				Revision:    rapid.Uint64Range(0, 2).Draw(t, label+" revision"),
				State:       membership.State(rapid.IntRange(0, 3).Draw(t, label+" state")),
			}
		}
		a, b, d := draw("a"), draw("b"), draw("c")
		if a.Supersedes(b) && b.Supersedes(a) || a.Supersedes(a) {
			t.Fatalf("%v and %v supersede each other", a, b)
		}
		if a.Supersedes(b) && b.Supersedes(d) && !a.Supersedes(d) {
			t.Fatalf("not transitive: %v %v %v", a, b, d)
		}
		if a != b && !a.Supersedes(b) && !b.Supersedes(a) {
			t.Fatalf("%v and %v are not ordered", a, b)
		}
	})
}

// fuzzSeeds are the encoded requests that both fuzz targets start from.
func fuzzSeeds() [][]byte {
	oversized := &wire.ProbeRequest{From: valid()}
	for range 300 {
		oversized.Changes = append(oversized.Changes, valid())
	}
	badState, badAddress := valid(), valid()
	badState.State, badAddress.Address = 9, "nowhere"
	requests := []*wire.ProbeRequest{
		{From: valid(), Changes: []*wire.Member{valid()}, AppliedOffset: 5},
		{From: valid(), Join: true, PageAfter: "a", PageDataCentre: "dc0"},
		{From: valid(), Target: "agent-2", Reachability: []*wire.Reachability{{DataCentre: "dc1", Revision: 1, Unreachable: true}}},
		{From: badState}, {From: badAddress}, {}, oversized,
	}
	var seeds [][]byte
	for _, r := range requests {
		data, _ := proto.Marshal(r)
		seeds = append(seeds, data)
	}
	return seeds
}

// FuzzHandleProbe guards against requests that panic, that are refused without
// the right error, or that make the list or the reply grow without bound.
func FuzzHandleProbe(f *testing.F) {
	for _, seed := range fuzzSeeds() {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request := &wire.ProbeRequest{}
		if proto.Unmarshal(data, request) != nil {
			return
		}
		self := membership.Member{Name: "self", DataCentre: "dc0", Address: place(0, 9), Incarnation: 5}
		m := membership.New(membership.Default(), self, refusing{})
		reply, err := m.HandleProbe(t.Context(), request)
		if err != nil {
			var twerr twirp.Error
			if !errors.As(err, &twerr) || twerr.Code() != twirp.InvalidArgument || !errors.Is(err, membership.ErrInvalid) {
				t.Fatalf("refused with %v", err)
			}
			if len(m.Members()) != 1 {
				t.Fatal("a refused request changed the list")
			}
			return
		}
		if len(m.Members()) > len(request.Changes)+2 || proto.Size(reply) > 512<<10 {
			t.Fatalf("%d members and a reply of %d bytes", len(m.Members()), proto.Size(reply))
		}
	})
}

// FuzzDecodeMember guards against members that decode and then do not encode
// to the same message.
func FuzzDecodeMember(f *testing.F) {
	data, _ := proto.Marshal(valid())
	f.Add(data)
	f.Add(bytes.Repeat([]byte{0x0a, 0xff}, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &wire.Member{}
		if proto.Unmarshal(data, w) != nil {
			return
		}
		m, err := membership.Decode(w)
		if err != nil {
			if !errors.Is(err, membership.ErrInvalid) {
				t.Fatalf("refused with %v", err)
			}
			return
		}
		again, err := membership.Decode(membership.Encode(m))
		if err != nil || again != m {
			t.Fatalf("%v became %v: %v", m, again, err)
		}
	})
}

// refusing is a transport without any process behind it.
type refusing struct{}

// Probe implements membership.Transport.
func (refusing) Probe(context.Context, netip.AddrPort, *wire.ProbeRequest, bool) (*wire.ProbeReply, error) {
	return nil, network.ErrRefused
}
