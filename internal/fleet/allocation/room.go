package allocation

// Fit tells whether a host could take a task of a demand, and if not, why.
type Fit int

// The fits, in the order in which they are examined.
const (
	Closed      Fit = iota // Closed hosts take no new work.
	Unsuitable             // Unsuitable hosts lack the label, or are too small for a task even when empty.
	Denied                 // Denied hosts have no ticket of the placement adviser.
	Excluded               // Excluded hosts have failed the step, or are on probation and busy.
	Full                   // Full hosts would have room for a task if they were empty.
	FreeingSoon            // FreeingSoon hosts have room once pending stops are done.
	Free                   // Free hosts have room for a task now.
)

var fitNames = [...]string{"closed", "unsuitable", "denied", "excluded", "full", "freeing-soon", "free"}

// String returns the name used in reports.
func (f Fit) String() string { return fitNames[f] }

// CountFits returns how many hosts of the demand's service have each fit, without
// regard to locality, spread and other demands.
func CountFits(d Demand, hosts []Host) map[Fit]int {
	counts := make(map[Fit]int)
	for _, h := range hosts {
		if h.Service == d.Service {
			counts[fitOf(d, h)]++
		}
	}
	return counts
}

func fitOf(d Demand, h Host) Fit {
	allowed, restricted := d.AllowedHosts.Get()
	free := h.Free.Min(h.FutureFree)
	switch {
	case !h.Open:
		return Closed
	case d.Label != "" && !h.Labels.Has(d.Label), !h.Capacity.Fits(d.Need):
		return Unsuitable
	case restricted && !allowed.Has(h.Name):
		return Denied
	case d.ExcludedHosts.Has(h.Name), h.OnProbation && h.FutureFree != h.Capacity:
		return Excluded
	case free.Fits(d.Need):
		return Free
	case h.FutureFree.Fits(d.Need):
		return FreeingSoon
	default:
		return Full
	}
}
