package catalogue

import (
	"maps"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/record/ledger"
)

// withEvacuations returns the evacuated data centres after some records in the order
// of their offsets, and does not modify the former ones. A record evacuates the data
// centre that its key names, whatever its value holds: the operators meant to empty a
// data centre, and work that starts there is lost with it. A record without a value
// takes the data centre back. dataCentre is nil if evacuations are not followed.
func withEvacuations(former collection.Set[string], dataCentre func(key string) (string, bool), records []ledger.StoredRecord) collection.Set[string] {
	next := collection.NewSet[string]()
	maps.Copy(next, former)
	if dataCentre == nil {
		return next
	}
	for _, r := range records {
		name, ok := dataCentre(r.Key)
		switch {
		case !ok:
		case len(r.Value) == 0:
			next.Remove(name)
		default:
			next.Add(name)
		}
	}
	return next
}
