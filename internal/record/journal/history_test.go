package journal

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Guards against a history that the steps of other jobs push out although there
// is room, against one that is not bounded, and against one that mixes jobs.
func TestHistoryIsBounded(t *testing.T) {
	const limit = 40 * stepBytes
	long := strings.Repeat("ä", historyText)
	running := request.Identity{Organisation: "ana", ID: "running/1"}
	other := request.Identity{Organisation: "ana", ID: "other"}
	submitted := func(id request.Identity) Record {
		return JobSubmitted{job.Job{Identity: id, Kind: "match", Shape: organisation.Shape{Members: 1, Accelerators: 1, Adjacency: organisation.WithinRack}}}
	}
	audit := func(id request.Identity, reason string) Record {
		return Audit{Actor: "a@1", Action: "start", Subject: id.String(), Reason: reason}
	}
	tests := map[string]struct {
		records func(i int) []Record
		kept    bool // kept says whether the first step of the running job is still there.
		other   int  // other is the number of steps of the other job.
	}{
		"many ended jobs": {
			records: func(i int) []Record {
				id := request.Identity{Organisation: "bento", ID: fmt.Sprint(i)}
				return []Record{submitted(id), audit(id, "first-fit"), JobCancelled{id}}
			},
			kept: true,
		},
		"many steps of another job": {
			records: func(int) []Record { return []Record{audit(other, "first-fit")} },
			kept:    true,
			other:   HistoryKept,
		},
		"many waiting jobs with long reasons": {
			records: func(i int) []Record {
				id := request.Identity{Organisation: "bento", ID: fmt.Sprint(i)}
				return []Record{submitted(id), audit(id, long)}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newState()
			s.history.limit = limit
			records := []Record{submitted(running), submitted(other), audit(running, "best-fit")}
			for i := range 500 {
				records = append(records, tt.records(i)...)
			}
			for i, r := range records {
				payload, err := Encode("a@1", uint64(i+1), start, r)
				c.Assert(err, qt.IsNil)
				s.apply(int64(i+1), payload)
				c.Assert(s.history.bytes <= limit, qt.IsTrue)
			}
			c.Check(s.historyOf(other), qt.HasLen, tt.other)
			var want []HistoryEntry
			if tt.kept {
				want = []HistoryEntry{{Offset: 3, Time: start, Action: "start", Reason: "best-fit"}}
			}
			c.Check(s.historyOf(running), qt.DeepEquals, want)
		})
	}
}
