//go:build race

package membership_test

// The race detector makes the planned size take more than 200 s. It looks for
// data races, which do not depend on the size; the limits of the planned size
// are checked by the run without it.
const (
	plannedSize    = 60
	plannedCentres = 4
	centreSize     = 8
)
