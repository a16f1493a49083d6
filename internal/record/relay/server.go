package relay

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
)

// Server implements wire.Relay.
type Server struct {
	relay *Relay
}

// NewServer returns the service of a relay.
func NewServer(r *Relay) *Server { return &Server{r} }

// AppendBatch implements wire.Relay.
func (s *Server) AppendBatch(ctx context.Context, r *wire.AppendBatchRequest) (*wire.AppendBatchReply, error) {
	if len(r.GetPayload()) == 0 {
		return nil, twirp.NewError(twirp.InvalidArgument, "the batch is empty")
	}
	offset, err := s.relay.Append(ctx, r.GetPayload())
	if err != nil {
		return nil, errorToWire(err)
	}
	return &wire.AppendBatchReply{Offset: offset}, nil
}

func errorToWire(err error) error {
	code := twirp.Unknown
	switch {
	case errors.Is(err, ErrUnavailable):
		code = twirp.Aborted
	case errors.Is(err, platformlog.ErrTooLarge):
		code = twirp.OutOfRange
	case errors.Is(err, platformlog.ErrNotAppended):
		code = twirp.FailedPrecondition
	}
	return twirp.NewError(code, err.Error())
}
