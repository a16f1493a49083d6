package admission

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crowd that keeps out ordinary clients or displaces them.
func TestOccupantThatGivesWay(t *testing.T) {
	now := time.Now()
	occupantOf := func(p phase, age time.Duration, peer byte) occupant {
		return occupant{phase: p, since: now.Add(-age), peer: netip.AddrFrom4([4]byte{127, 0, 0, peer})}
	}
	const young, old = settleTime / 2, 2 * settleTime
	for name, tt := range map[string]struct {
		occupants []occupant
		displaced int
		stopped   int // stopped is the occupant whose body gives way.
	}{
		"nobody":                             {nil, -1, -1},
		"served calls stay":                  {[]occupant{occupantOf(serving, old, 1), occupantOf(answering, young, 1)}, -1, -1},
		"half a body before an idle client":  {[]occupant{occupantOf(idle, old, 1), occupantOf(receiving, old, 1)}, 1, 1},
		"no header before an idle client":    {[]occupant{occupantOf(idle, old, 1), occupantOf(connected, old, 1)}, 1, -1},
		"unread answer before an idle one":   {[]occupant{occupantOf(idle, old, 1), occupantOf(answering, old, 1)}, 1, -1},
		"unread rest of a body, at once":     {[]occupant{occupantOf(heading, old, 1), occupantOf(closing, 2*old, 1)}, 1, -1},
		"idle client before one that begins": {[]occupant{occupantOf(heading, young, 1), occupantOf(idle, young, 1)}, 1, -1},
		"the oldest of those that begin":     {[]occupant{occupantOf(connected, young/2, 1), occupantOf(receiving, young, 1)}, 1, -1},
		"the longest body":                   {[]occupant{occupantOf(receiving, old, 1), occupantOf(receiving, 2*old, 1), occupantOf(receiving, young, 1)}, 1, 1},
		"the peer with most connections":     {[]occupant{occupantOf(heading, 3*old, 1), occupantOf(heading, old, 2), occupantOf(heading, 2*old, 2)}, 2, -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(displaced(tt.occupants, now), qt.Equals, tt.displaced)
			c.Check(interrupted(tt.occupants, now), qt.Equals, tt.stopped)
		})
	}
}

// Guards against headers of many short fields, whose parsed form takes many times
// their size.
func TestHeaderScan(t *testing.T) {
	const line = "GET / HTTP/1.1\r\n"
	limits := Limits{}.orDefaults()
	for name, tt := range map[string]struct {
		text    string
		ended   bool
		exceeds bool
	}{
		"ordinary":            {line + "Host: h\r\nA: b\r\n\r\n", true, false},
		"body is not counted": {line + "Host: h\r\n\r\n" + strings.Repeat("\n", 20_000), true, false},
		"most fields":         {line + strings.Repeat("a:\r\n", MaxHeaderFields) + "\r\n", true, false},
		"many fields":         {line + strings.Repeat("a:\r\n", MaxHeaderFields+2), false, true},
		"long field":          {line + strings.Repeat("a", DefaultMaxHeaderBytes), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var pieces, whole headerScan
			whole.add([]byte(tt.text))
			for i := range len(tt.text) {
				pieces.add([]byte(tt.text[i : i+1]))
			}
			c.Check(whole, qt.Equals, pieces)
			c.Check(whole.ended, qt.Equals, tt.ended)
			c.Check(whole.exceeds(limits), qt.Equals, tt.exceeds)
		})
	}
}

// Guards against doors that together take more than the machine has, on the smallest
// hosts and on ones with next to nothing.
func TestRoomFitsTheMachine(t *testing.T) {
	for name, m := range map[string]Machine{
		"entry": {Memory: 184 << 20, Descriptors: 4100}, "agent": {Memory: 152 << 20, Descriptors: 4096},
		"small": {Memory: 48 << 20, Descriptors: 300}, "unknown": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var memory, connections int64
			for _, s := range []Share{ClientShare, InternalShare, OperatorShare, OperatorShare} {
				r := roomOf(m, s, Limits{}.orDefaults())
				connections += int64(r.connections)
				memory += int64(r.connections)*(connectionBytes+copies*DefaultMaxHeaderBytes) + r.bodyBytes
			}
			most := positiveOr(m.Memory, defaultMemory)
			c.Check(memory < most*2/3, qt.IsTrue, qt.Commentf("%d of %d bytes", memory, most))
			c.Check(connections < int64(max(m.Descriptors, 300)-reservedDescriptors)*4/5 || m.Descriptors == 0, qt.IsTrue, qt.Commentf("%d connections", connections))
		})
	}
}

// Guards against legal bodies that take a hundred times their size when decoded.
func TestDocument(t *testing.T) {
	d := Document{2, 3, 4}
	for name, tt := range map[string]struct {
		text  string
		valid bool
	}{
		"fits":                    {`{"a":[{"x":1},{"y":2},{}],"b":"]}]},,,,\"{{{{"}`, true},
		"many elements":           {`{"a":[{},{},{},{}]}`, false},
		"many nulls":              {`{"a":[null,null,null,null]}`, false},
		"many fields":             {`{"a":1,"b":2,"c":3}`, false},
		"many fields of elements": {`{"a":[{"x":1,"y":2},{"x":1,"y":2,"z":3}]}`, false},
		"many lists":              {`{"a":[[],[],[]],"b":[[],[]]}`, false},
		"deep":                    {`{"a":[[[]]]}`, false},
		"no JSON":                 {`]]]}}},,,,,,`, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, d.Check([]byte(tt.text)) == nil, qt.Equals, tt.valid)
		})
	}
}
