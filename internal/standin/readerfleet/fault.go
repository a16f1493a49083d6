package readerfleet

import "time"

const (
	// suspected is the time until all members of a data centre suspect one that
	// has failed: 440 members take 4.6 s to declare it dead, 2 s after the
	// suspicion (docs/membership.md).
	suspected = 2600 * time.Millisecond
	// unreachable is the time until a data centre is suspected that does not
	// answer: 6 s of failed exchanges, and the time to spread it.
	unreachable = 7 * time.Second
)

// Fault is a failure of readers of a fleet.
type Fault struct {
	Name  string
	Apply func(*Fleet)
}

// MemberFaults returns failures of members at all levels in the region without
// the log service, which membership has not noticed yet.
func MemberFaults() []Fault {
	return []Fault{
		{"none", func(*Fleet) {}},
		{"one member of each level dies", func(f *Fleet) { each(f.Path(), (*Process).Die) }},
		{"one member of each level freezes", func(f *Fleet) { each(f.Path(), (*Process).Freeze) }},
		{"one member of each level lags", func(f *Fleet) { each(f.Path(), (*Process).Lag) }},
	}
}

// ReaderFaults returns failures of the roots of data centres of that region,
// which membership notices after a while.
func ReaderFaults() []Fault {
	return []Fault{
		{"the reader of the region dies", func(f *Fleet) { f.lose(suspected, (*Process).Die, f.Roots()[:1]) }},
		{"the reader of the region freezes", func(f *Fleet) { f.lose(suspected, (*Process).Freeze, f.Roots()[:1]) }},
		{"both readers of the region freeze", func(f *Fleet) { f.lose(suspected, (*Process).Freeze, f.Roots()) }},
		{"both roots of another data centre freeze", func(f *Fleet) { f.lose(suspected, (*Process).Freeze, f.GuestRoots()) }},
		{"the data centre of the readers is lost", func(f *Fleet) { f.lose(unreachable, (*Process).Freeze, f.Home()) }},
	}
}

// lose fails processes, which membership notices after a while.
func (f *Fleet) lose(noticed time.Duration, fail func(*Process), list []*Process) {
	each(list, fail)
	f.Suspect(noticed, list...)
}

func each(list []*Process, fail func(*Process)) {
	for _, p := range list {
		fail(p)
	}
}
