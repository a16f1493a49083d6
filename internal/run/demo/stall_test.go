package demo

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an unknown answer that is put down to a stall of the process
// without one, and against a stall that fails a promise which only holds until
// the deadline.
func TestUnknownAnswersDuringAStall(t *testing.T) {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := map[string]struct {
		stall    interval
		result   string
		deadline float64 // deadline in seconds after the start.
		held     bool
	}{
		"no stall":               {result: "unknown", deadline: 2},
		"stall until after it":   {stall: interval{at(1), at(4)}, result: "unknown", deadline: 2, held: true},
		"stall before the start": {stall: interval{at(-4), at(-1)}, result: "unknown", deadline: 2},
		"stall after the end":    {stall: interval{at(3), at(6)}, result: "unknown", deadline: 2},
		"short stall":            {stall: interval{at(1), at(1.9)}, result: "unknown", deadline: 2},
		"failed without a stall": {result: "failed", deadline: 2, held: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &scene{record: newRecord(), stalls: &stalls{}}
			s.stalls.ticked(tt.stall.from, tt.stall.to)
			s.record.add(outcome{kind: "photo-check", result: tt.result, useful: interval{at(0), at(tt.deadline)}})
			s.checkAnswers(s.record.all())
			c.Assert(s.checks[len(s.checks)-1].held, qt.Equals, tt.held, qt.Commentf("%s", s.checks[len(s.checks)-1].detail))
		})
	}
}
