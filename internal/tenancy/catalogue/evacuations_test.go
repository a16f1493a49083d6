package catalogue_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/tenancy/catalogue"
)

// Guards against evacuations that are missed, kept after the operators took the data
// centre back, or brought back by records that are read again.
func TestEvacuationsFollowTheRecords(t *testing.T) {
	record := func(key, value string, offset int64) ledger.StoredRecord {
		return ledger.StoredRecord{Record: ledger.Record{Key: key, Value: []byte(value)}, Offset: offset}
	}
	page := func(next int64, records ...ledger.StoredRecord) ledger.Page {
		return ledger.Page{Records: records, Next: next, End: next}
	}
	first := page(2, record("evacuate/a", "{}", 0), record("evacuate/b", "{}", 1))
	for name, tt := range map[string]struct {
		pages   []ledger.Page
		replace []ledger.Page // replace are loads of the newest records after pages.
		later   []ledger.Page // later are read after that.
		want    []string
	}{
		"two":                       {pages: []ledger.Page{first}, want: []string{"a", "b"}},
		"taken back":                {pages: []ledger.Page{first, page(3, record("evacuate/a", "", 2))}, want: []string{"b"}},
		"taken back, page repeated": {pages: []ledger.Page{first, page(3, record("evacuate/a", "", 2)), first}, want: []string{"b"}},
		"evacuated again":           {pages: []ledger.Page{first, page(4, record("evacuate/a", "", 2), record("evacuate/a", "{}", 3))}, want: []string{"a", "b"}},
		"configuration beside":      {pages: []ledger.Page{first, page(4, record("config", "7", 2), record("config", "", 3))}, want: []string{"a", "b"}},
		"missing in a load":         {pages: []ledger.Page{first}, replace: []ledger.Page{page(3, record("evacuate/b", "{}", 1))}, want: []string{"b"}},
		"missing, page repeated":    {pages: []ledger.Page{first}, replace: []ledger.Page{page(3)}, later: []ledger.Page{first}, want: []string{}},
		"older load":                {pages: []ledger.Page{first}, replace: []ledger.Page{page(1, record("evacuate/a", "{}", 0))}, want: []string{"a", "b"}},
		"after a load":              {pages: []ledger.Page{first}, replace: []ledger.Page{page(5)}, later: []ledger.Page{page(6, record("evacuate/c", "{}", 5))}, want: []string{"c"}},
		"odd values":                {pages: []ledger.Page{page(4, record("evacuate/a", "\xff\x00", 0), record("evacuate/b", "null", 1), record("evacuate/c", "7", 2), record("evacuate/", "{}", 3))}, want: []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			current := catalogue.NewCurrent("config", func([]byte) (*catalogue.Catalogue, error) { return &catalogue.Catalogue{Version: 7}, nil }, log.NewNopLogger())
			current.FollowEvacuations(func(key string) (string, bool) {
				name, found := strings.CutPrefix(key, "evacuate/")
				return name, found && name != ""
			})
			for _, p := range tt.pages {
				c.Assert(current.Apply(p), qt.IsNil)
			}
			for _, p := range tt.replace {
				_, err := current.Replace(p)
				c.Assert(err, qt.IsNil)
			}
			changed := current.Changed()
			for _, p := range tt.later {
				c.Assert(current.Apply(p), qt.IsNil)
			}
			c.Check(current.Evacuated().Sorted(), qt.DeepEquals, tt.want)
			c.Check(current.Apply(page(9, record("evacuate/z", "{}", 8))), qt.IsNil)
			<-changed // It is closed by the change.
		})
	}
}
