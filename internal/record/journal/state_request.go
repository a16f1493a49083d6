package journal

import (
	"fmt"

	"wasabihoist/internal/traffic/request"
)

func (s *state) claimRequest(offset int64, writer string, r RequestClaimed) string {
	if known := s.requests[r.Identity]; known != nil {
		return fmt.Sprintf("claimed by %s at offset %d", known.Writer, known.Claim)
	}
	s.requests[r.Identity] = &RequestState{
		Identity: r.Identity,
		Writer:   writer,
		Claim:    offset,
		Deadline: r.Deadline,
		Outcome:  request.Pending,
		Changed:  s.clock.now,
	}
	s.scheduleEviction(false, r.Identity)
	return ""
}

func (s *state) finishRequest(writer string, r RequestFinished) string {
	known, reason := s.openClaim(r.Identity, writer)
	if reason != "" {
		return reason
	}
	known.Outcome = r.Outcome
	known.Reason = r.Reason
	known.Body = r.Body
	known.Changed = s.clock.now
	s.bodies.add(known)
	s.scheduleEviction(false, r.Identity)
	return ""
}

func (s *state) abandonRequest(writer string, r RequestAbandoned) string {
	if _, reason := s.openClaim(r.Identity, writer); reason != "" {
		return reason
	}
	delete(s.requests, r.Identity)
	return ""
}

func (s *state) openClaim(id request.Identity, writer string) (*RequestState, string) {
	known := s.requests[id]
	switch {
	case known == nil:
		return nil, "no such claim"
	case known.Writer != writer:
		return nil, fmt.Sprintf("claimed by %s", known.Writer)
	case known.Outcome != request.Pending:
		return nil, "the request is finished"
	}
	return known, ""
}
