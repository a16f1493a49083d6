package journal

import (
	"fmt"

	"wasabihoist/internal/traffic/request"
)

func (s *state) claimRequest(offset int64, writer string, r RequestClaimed) string {
	if known := s.claims.get(r.Identity); known != nil {
		return fmt.Sprintf("claimed by %s at offset %d", known.writer.Value(), known.offset)
	}
	s.claims.add(compact(RequestState{
		Identity: r.Identity,
		Writer:   writer,
		Claim:    offset,
		Deadline: r.Deadline,
		Outcome:  request.Pending,
		Changed:  s.clock.now,
	}))
	return ""
}

func (s *state) finishRequest(writer string, r RequestFinished) string {
	known, reason := s.openClaim(r.Identity, writer)
	if reason != "" {
		return reason
	}
	s.claims.finish(known, ending{r.Outcome, r.Reason}, r.Body, s.clock.now)
	return ""
}

func (s *state) abandonRequest(writer string, r RequestAbandoned) string {
	known, reason := s.openClaim(r.Identity, writer)
	if reason != "" {
		return reason
	}
	s.claims.remove(known)
	return ""
}

func (s *state) openClaim(id request.Identity, writer string) (*claim, string) {
	known := s.claims.get(id)
	switch {
	case known == nil:
		return nil, "no such claim"
	case known.writer.Value() != writer:
		return nil, fmt.Sprintf("claimed by %s", known.writer.Value())
	case known.outcome() != request.Pending:
		return nil, "the request is finished"
	}
	return known, ""
}
