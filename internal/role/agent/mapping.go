package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/traffic/request"
)

func identityFromWire(id *wire.Identity) (request.Identity, error) {
	if id.GetOrganisation() == "" || id.GetId() == "" {
		return request.Identity{}, twirp.RequiredArgumentError("identity")
	}
	return request.Identity{Organisation: id.GetOrganisation(), ID: id.GetId()}, nil
}

func requestFromWire(r *wire.RunRequest) (request.Request, error) {
	id, err := identityFromWire(r.GetIdentity())
	if err != nil {
		return request.Request{}, err
	}
	if r.GetDeadlineUnixNanos() <= 0 {
		return request.Request{}, twirp.RequiredArgumentError("deadline_unix_nanos")
	}
	return request.Request{
		Identity:   id,
		Service:    r.GetService(),
		Kind:       r.GetKind(),
		Deadline:   time.Unix(0, r.GetDeadlineUnixNanos()),
		Idempotent: r.GetIdempotent(),
		Body:       r.GetBody(),
	}, nil
}

func (s *Server) reply(a request.Answer, found bool) *wire.RunReply {
	waiting, running := s.Load()
	return &wire.RunReply{
		Identity:    &wire.Identity{Organisation: a.Identity.Organisation, Id: a.Identity.ID},
		Outcome:     int32(a.Outcome),
		Reason:      a.Reason,
		Body:        a.Body,
		Agent:       a.Agent,
		Incarnation: a.Incarnation,
		Retryable:   a.Retryable,
		Checksum:    xxhash.Sum64(a.Body),
		Waiting:     int32(waiting),
		Running:     int32(running),
		Found:       found,
		Leaving:     unavailableReasons.Has(a.Reason),
	}
}
