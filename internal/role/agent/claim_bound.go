package agent

import "wasabihoist/internal/traffic/request"

const reasonClaims = "too many non-idempotent requests of the last 24 h are remembered; ask again later"

// boundReached reports whether a new claim of the organisation would take the
// remembered claims above their bound. Claims cannot be forgotten early, so new
// work is refused instead. Half of the bound is open to all; the other half is
// divided by share, so that one organisation cannot lock out the others for the
// repeat window. An identity that is claimed needs no new memory.
func (s *Server) boundReached(id request.Identity) bool {
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
	return all >= s.options.MaxClaimBytes || own >= int(float64(half)*s.shareOf(id.Organisation))
}

// shareOf returns the part of the organisation in the shares of all.
func (s *Server) shareOf(name string) float64 {
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
