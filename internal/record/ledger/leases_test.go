package ledger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// Guards against leases of a former term that are read as ones that end sooner, and
// against a record of another writer that is taken for one without leases.
func TestLeases(t *testing.T) {
	encoded, err := ledger.EncodeLeases(ledger.Leases{Token: 7, Candidate: "front", Expiring: map[string]time.Duration{"host": 1500*time.Millisecond + 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		value string
		want  map[string]time.Duration
		known bool
		ok    bool
	}{
		"own":             {string(encoded.Value), map[string]time.Duration{"host": 1501 * time.Millisecond}, true, true},
		"no hosts":        {`{"token":7,"candidate":"front"}`, map[string]time.Duration{}, true, true},
		"deleted":         {"", nil, false, true},
		"no text":         {"\xff", nil, false, false},
		"negative":        {`{"token":7,"expiring-ms":{"host":-1}}`, nil, false, false},
		"of another type": {`{"token":"seven"}`, nil, false, false},
		"beyond any time": {`{"token":7,"expiring-ms":{"host":9223372036854775807}}`, map[string]time.Duration{"host": 9223372036854 * time.Millisecond}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := ledger.NewState()
			first := ledger.StoredRecord{Record: encoded}
			c.Assert(s.Apply(ledger.Page{Records: []ledger.StoredRecord{first}, Next: 1}), qt.IsNil)
			record := ledger.StoredRecord{Record: ledger.Record{Key: encoded.Key, Value: []byte(tt.value)}, Offset: 1}
			c.Check(s.Apply(ledger.Page{Records: []ledger.StoredRecord{record}, Next: 2}) == nil, qt.Equals, tt.ok)
			writes := s.TermWrites()
			c.Check(writes.LeasesAt.IsZero(), qt.Equals, !tt.known)
			c.Check(writes.Leases.Expiring, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against a term that is taken to have ended before its last append, because the
// record of that append is not counted.
func TestEachRecordOfTermCounts(t *testing.T) {
	progress, err := ledger.EncodeProgress(&workload.Progress{Job: "job", State: workload.Done})
	if err != nil {
		t.Fatal(err)
	}
	leases, err := ledger.EncodeLeases(ledger.Leases{})
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		record ledger.Record
		counts bool
	}{
		"progress":        {progress, true},
		"leases":          {leases, true},
		"outlook":         {ledger.Record{Key: ledger.OutlookKind.Key("app"), Value: []byte("{}")}, true},
		"job":             {ledger.Record{Key: ledger.JobKind.Key("job"), Value: []byte("{}")}, false},
		"removal of ends": {ledger.Tombstone(ledger.ProgressKind, "job"), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := ledger.NewState()
			_ = s.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: tt.record}}, Next: 1}) // A record that can't be read counts as well.
			qt.New(t).Check(s.TermWrites().LastAt.IsZero(), qt.Equals, !tt.counts)
		})
	}
}
