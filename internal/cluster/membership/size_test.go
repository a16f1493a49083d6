//go:build !race

package membership_test

// The planned size: members in one data centre, and data centres with the
// number of members started in each.
const (
	plannedSize    = 440
	plannedCentres = 14
	centreSize     = 15
)
