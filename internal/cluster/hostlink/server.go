package hostlink

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// Handler serves the calls of coordinators on a minion.
func Handler(minion host.Client) http.Handler {
	return wire.NewTaskAgentServer(&server{minion})
}

type server struct{ minion host.Client }

// Hold implements wire.TaskAgent.
func (s *server) Hold(ctx context.Context, r *wire.HoldRequest) (*wire.HoldReply, error) {
	listing, err := s.minion.RenewLease(ctx, host.RenewLeaseRequest{
		Incarnation: r.GetIncarnation(), Token: r.GetToken(), LeaseUntil: fromMillis(r.GetUntilMillis()),
		AcknowledgedSequence: r.GetAcknowledged(), Wait: fromMillis(r.GetWaitMillis()),
	})
	refusal, err := toRefusal(err)
	if err != nil {
		return nil, err
	}
	reply := &wire.HoldReply{ClockMillis: listing.Clock.Milliseconds(), Gone: listing.Gone, Refusal: refusal, Minion: toReport(listing.Minion)}
	for _, run := range listing.Running {
		reply.Running = append(reply.Running, &wire.RunEntry{
			Task: run.Task.String(), Number: int64(run.Number), Checkpoint: run.Checkpoint, Percent: int64(run.ProgressPercent), Load: int64(run.Load),
		})
	}
	for _, e := range listing.EndedRuns {
		reply.Ends = append(reply.Ends, &wire.EndEntry{
			Sequence: e.Sequence, Task: e.Task.String(), Number: int64(e.Number), Outcome: int64(e.Outcome), Checkpoint: e.Checkpoint,
		})
	}
	return reply, nil
}

// Start implements wire.TaskAgent.
func (s *server) Start(ctx context.Context, r *wire.StartRunRequest) (*wire.OrderReply, error) {
	task, err := workload.ParseTaskID(r.GetTask())
	if err != nil {
		return nil, twirp.InvalidArgumentError("task", err.Error())
	}
	return orderReply(s.minion.Start(ctx, host.StartRequest{
		Incarnation: r.GetIncarnation(), Token: r.GetToken(), Task: task, Number: int(r.GetNumber()), Spec: r.GetSpec(),
		StartDeadline: fromMillis(r.GetUntilMillis()), Checkpoint: r.GetCheckpoint(), Ticket: r.GetTicket(),
	}))
}

// Stop implements wire.TaskAgent.
func (s *server) Stop(ctx context.Context, r *wire.StopRunRequest) (*wire.OrderReply, error) {
	task, err := workload.ParseTaskID(r.GetTask())
	if err != nil {
		return nil, twirp.InvalidArgumentError("task", err.Error())
	}
	return orderReply(s.minion.Stop(ctx, host.StopRequest{
		Incarnation: r.GetIncarnation(), Token: r.GetToken(), Task: task, Number: int(r.GetNumber()),
	}))
}

// Pace implements wire.TaskAgent.
func (s *server) Pace(ctx context.Context, r *wire.PaceRunRequest) (*wire.OrderReply, error) {
	task, err := workload.ParseTaskID(r.GetTask())
	if err != nil {
		return nil, twirp.InvalidArgumentError("task", err.Error())
	}
	return orderReply(s.minion.Throttle(ctx, host.ThrottleRequest{
		Incarnation: r.GetIncarnation(), Token: r.GetToken(), Task: task, Number: int(r.GetNumber()), SpeedPercent: int(r.GetPercent()),
	}))
}

func orderReply(err error) (*wire.OrderReply, error) {
	refusal, err := toRefusal(err)
	if err != nil {
		return nil, err
	}
	return &wire.OrderReply{Refusal: refusal}, nil
}

var refusals = map[wire.OrderRefusal]error{
	wire.OrderRefusal_ORDER_REFUSAL_FENCED:      host.ErrFenced,
	wire.OrderRefusal_ORDER_REFUSAL_OLD:         host.ErrRunEnded,
	wire.OrderRefusal_ORDER_REFUSAL_LATE:        host.ErrStartTooLate,
	wire.OrderRefusal_ORDER_REFUSAL_NO_ROOM:     host.ErrNoCapacity,
	wire.OrderRefusal_ORDER_REFUSAL_UNHEALTHY:   host.ErrUnhealthy,
	wire.OrderRefusal_ORDER_REFUSAL_INCARNATION: host.ErrOtherIncarnation,
	wire.OrderRefusal_ORDER_REFUSAL_DRAINING:    host.ErrDraining,
	wire.OrderRefusal_ORDER_REFUSAL_INVALID:     host.ErrMalformed,
	wire.OrderRefusal_ORDER_REFUSAL_TICKET:      host.ErrInvalidTicket,
}

// toRefusal separates a call that had no effect from one whose effect is open.
func toRefusal(err error) (wire.OrderRefusal, error) {
	if err == nil {
		return wire.OrderRefusal_ORDER_REFUSAL_NONE, nil
	}
	for refusal, known := range refusals {
		if errors.Is(err, known) {
			return refusal, nil
		}
	}
	return 0, twirp.NewError(twirp.Unavailable, err.Error())
}

// fromRefusal returns the error for a refusal. After a refusal of a later version
// the effect of the call is open.
func fromRefusal(r wire.OrderRefusal) error {
	if r == wire.OrderRefusal_ORDER_REFUSAL_NONE {
		return nil
	}
	if err, known := refusals[r]; known {
		return err
	}
	return fmt.Errorf("unknown refusal %d", r)
}

func toReport(m host.Minion) *wire.MinionReport {
	return &wire.MinionReport{
		Id: m.ID, BornMillis: m.StartedAt.UnixMilli(), Service: m.Service, DataCentre: m.DataCentre, Rack: m.Rack, Labels: m.Labels,
		MilliCores: int64(m.Capacity.MilliCores), MemoryMb: int64(m.Capacity.MemoryMB), Accelerators: int64(m.Capacity.Accelerators),
		Draining: m.Draining, RemainingMillis: m.Remaining.Milliseconds(),
	}
}
