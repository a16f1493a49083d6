package ledger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/record/ledger"
)

// Guards against leases of a former term that are read as ones that end sooner, and
// against a record of another writer that is taken for one without leases.
func TestLeases(t *testing.T) {
	encoded, err := ledger.EncodeLeases(ledger.Leases{Token: 7, Candidate: "front", Expiring: map[string]time.Duration{"host": 1500*time.Millisecond + 1}})
	qt.Assert(t, err, qt.IsNil)
	for name, tt := range map[string]struct {
		value string
		want  map[string]time.Duration // want is nil if none are known.
		ok    bool
	}{
		"own":      {string(encoded.Value), map[string]time.Duration{"host": 1501 * time.Millisecond}, true},
		"no hosts": {`{"token":7,"candidate":"front"}`, map[string]time.Duration{}, true},
		"deleted":  {"", nil, true},
		"no text":  {"\xff", nil, false},
		"negative": {`{"token":7,"expiring-ms":{"host":-1}}`, nil, false},
	} {
		s := ledger.NewState()
		qt.Check(t, s.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: encoded}}, Next: 1}), qt.IsNil)
		record := ledger.StoredRecord{Record: ledger.Record{Key: encoded.Key, Value: []byte(tt.value)}, Offset: 1}
		qt.Check(t, s.Apply(ledger.Page{Records: []ledger.StoredRecord{record}, Next: 2}) == nil, qt.Equals, tt.ok, qt.Commentf(name))
		qt.Check(t, s.Leases().ReadAt.IsZero(), qt.Equals, tt.want == nil, qt.Commentf(name))
		qt.Check(t, s.Leases().Expiring, qt.DeepEquals, tt.want, qt.Commentf(name))
	}
}
