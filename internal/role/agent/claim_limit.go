package agent

import "wasabihoist/internal/traffic/request"

const reasonClaimLimit = "too many non-idempotent requests of the last 24 h are remembered; ask again later"

// claimLimitReached reports whether a new claim of the organisation would
// exceed the limit of claim memory. Claims cannot be forgotten early, so new
// work is refused instead. While less than half of the limit is used, no
// organisation is limited. Above that, an organisation may claim until all its
// claims use its share of half of the limit, so that one organisation cannot
// lock out the others for the repeat window. An identity that is already claimed
// needs no new memory.
func (s *Server) claimLimitReached(id request.Identity) bool {
	if s.options.MaxClaimBytes == 0 {
		return false
	}
	half := s.options.MaxClaimBytes / 2
	all, own := s.journal.ClaimBytes(id.Organisation)
	if all < half {
		return false
	}
	if _, claimed := s.journal.Request(id); claimed {
		return false
	}
	return all >= s.options.MaxClaimBytes || own >= int(float64(half)*s.shareFraction(id.Organisation))
}

// shareFraction returns the share of an organisation as a fraction of the
// shares of all, or 1 for an organisation that the configuration does not have.
func (s *Server) shareFraction(name string) float64 {
	c := s.journal.Configuration()
	total, own := 0, 0
	for _, o := range c.Organisations {
		_, plan, _ := c.PlanOf(o.Name)
		share := max(1, plan.Share)
		total += share
		if o.Name == name {
			own = share
		}
	}
	if own == 0 {
		return 1
	}
	return float64(own) / float64(total)
}
