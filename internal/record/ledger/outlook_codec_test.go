package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
)

// Guards against outlooks that entries read differently, and against those that another
// writer has damaged: without a readable one no job is refused.
func TestOutlookRecords(t *testing.T) {
	c := qt.New(t)
	want := outlook.Outlook{
		Service: "app", At: time.UnixMilli(5000),
		Kinds: []outlook.HostKind{{Capacity: workload.Resources{MilliCores: 1, MemoryMB: 2, Accelerators: 3}, Labels: []string{"a"}, Count: 4}},
		Waits: map[lateness.Class]time.Duration{lateness.Low: time.Minute},
	}
	record, err := EncodeOutlook(want)
	c.Assert(err, qt.IsNil)
	s := NewState()
	c.Assert(s.Apply(Page{Records: []StoredRecord{{record, 1}}, Next: 2}), qt.IsNil)
	got, ok := s.Outlook("app")
	c.Check(ok, qt.IsTrue)
	c.Check(got, qt.DeepEquals, want)
	for i, damaged := range []string{`{`, `{"at-ms":1,"host-kinds":[{"count":-1}]}`, `{"waits-ms":{"other":1}}`, `{"waits-ms":{"low":-1}}`} {
		offset := int64(2 * i)
		c.Assert(s.Apply(Page{Records: []StoredRecord{{record, offset + 2}}, Next: offset + 3}), qt.IsNil)
		c.Check(s.Apply(Page{Records: []StoredRecord{{Record{record.Key, []byte(damaged)}, offset + 3}}, Next: offset + 4}), qt.IsNotNil)
		_, ok = s.Outlook("app")
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", damaged))
	}
}
