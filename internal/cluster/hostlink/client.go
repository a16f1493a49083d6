// Package hostlink carries calls on minions from the coordinator to the agents
// beside them.
package hostlink

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

const (
	// callSlack is what a call may take beside its wait. It is above the time
	// that an agent allows its minion.
	callSlack = 1200 * time.Millisecond
)

// Client calls a minion through its agent. It implements host.Client.
type Client struct {
	agent wire.TaskAgent
	idle  func()
}

var _ host.Client = (*Client)(nil)

// NewClient returns a client of the agent at an address. closeIdle gives up the
// idle connections of the transport; it is called after an error, because they
// may have become silent.
func NewClient(address netip.AddrPort, transport http.RoundTripper, closeIdle func()) *Client {
	return &Client{agent: wire.NewTaskAgentProtobufClient("http://"+address.String(), &http.Client{Transport: transport}), idle: closeIdle}
}

// RenewLease implements host.Client.
func (c *Client) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+callSlack)
	defer cancel()
	reply, err := c.agent.Hold(ctx, &wire.HoldRequest{
		Incarnation: r.Incarnation, Token: r.Token, UntilMillis: r.LeaseUntil.Milliseconds(),
		Acknowledged: r.AcknowledgedSequence, WaitMillis: r.Wait.Milliseconds(),
	})
	if err != nil {
		c.idle()
		return host.StatusReport{}, fmt.Errorf("hold: %w", err)
	}
	if err := fromRefusal(reply.GetRefusal()); err != nil {
		return host.StatusReport{}, fmt.Errorf("hold: %w", err)
	}
	return fromReply(reply)
}

// Start implements host.Client.
func (c *Client) Start(ctx context.Context, r host.StartRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	reply, err := c.agent.Start(ctx, &wire.StartRunRequest{
		Incarnation: r.Incarnation, Token: r.Token, Task: r.Task.String(), Number: int64(r.Number),
		Spec: r.Spec, UntilMillis: r.StartDeadline.Milliseconds(), Checkpoint: r.Checkpoint, Ticket: r.Ticket,
	})
	return c.orderError("start", reply, err)
}

// Stop implements host.Client.
func (c *Client) Stop(ctx context.Context, r host.StopRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	reply, err := c.agent.Stop(ctx, &wire.StopRunRequest{
		Incarnation: r.Incarnation, Token: r.Token, Task: r.Task.String(), Number: int64(r.Number),
	})
	return c.orderError("stop", reply, err)
}

// Throttle implements host.Client.
func (c *Client) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	reply, err := c.agent.Pace(ctx, &wire.PaceRunRequest{
		Incarnation: r.Incarnation, Token: r.Token, Task: r.Task.String(), Number: int64(r.Number), Percent: int64(r.SpeedPercent),
	})
	return c.orderError("pace", reply, err)
}

func (c *Client) orderError(call string, reply *wire.OrderReply, err error) error {
	if err != nil {
		c.idle()
		return fmt.Errorf("%s: %w", call, err)
	}
	if err := fromRefusal(reply.GetRefusal()); err != nil {
		return fmt.Errorf("%s: %w", call, err)
	}
	return nil
}

func fromReply(reply *wire.HoldReply) (host.StatusReport, error) {
	if clock := reply.GetClockMillis(); clock < 0 || clock > maxMillis {
		return host.StatusReport{}, fmt.Errorf("hold: the clock is %d ms", clock)
	}
	listing := host.StatusReport{Clock: fromMillis(reply.GetClockMillis()), Gone: reply.GetGone(), Minion: fromReport(reply.GetMinion())}
	if err := listing.Minion.Capacity.Validate(); err != nil {
		return host.StatusReport{}, fmt.Errorf("hold: capacity: %w", err)
	}
	for _, r := range reply.GetRunning() {
		task, err := workload.ParseTaskID(r.GetTask())
		if err != nil {
			return host.StatusReport{}, fmt.Errorf("hold: running: %w", err)
		}
		listing.Running = append(listing.Running, host.Run{
			Task: task, Number: int(r.GetNumber()), Checkpoint: r.GetCheckpoint(),
			ProgressPercent: int(min(max(r.GetPercent(), 0), 100)), Load: int(max(r.GetLoad(), 0)),
		})
	}
	for _, e := range reply.GetEnds() {
		task, err := workload.ParseTaskID(e.GetTask())
		if err != nil {
			return host.StatusReport{}, fmt.Errorf("hold: ends: %w", err)
		}
		listing.EndedRuns = append(listing.EndedRuns, host.EndedRun{
			Sequence: e.GetSequence(), Task: task, Number: int(e.GetNumber()),
			Outcome: fromOutcome(e.GetOutcome()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return listing, nil
}

// fromOutcome converts an outcome. One of a later version counts as an expired lease:
// the run has ended, and nothing shows that it has completed or failed.
func fromOutcome(outcome int64) host.Outcome {
	if outcome < int64(host.Completed) || outcome > int64(host.GangTimedOut) {
		return host.LeaseExpired
	}
	return host.Outcome(outcome)
}

// maxMillis bounds times, so that small multiples of them and sums do not overflow.
const maxMillis = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// fromMillis converts milliseconds between 0 and maxMillis. Values out of range
// become the nearest one.
func fromMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMillis)) * time.Millisecond
}

func fromReport(m *wire.MinionReport) host.Minion {
	return host.Minion{
		ID: m.GetId(), StartedAt: time.UnixMilli(m.GetBornMillis()), Service: m.GetService(), DataCentre: m.GetDataCentre(),
		Rack: m.GetRack(), Labels: m.GetLabels(), Draining: m.GetDraining(),
		Capacity: workload.Resources{
			MilliCores: int(m.GetMilliCores()), MemoryMB: int(m.GetMemoryMb()), Accelerators: int(m.GetAccelerators()),
		},
		Remaining: fromMillis(m.GetRemainingMillis()),
	}
}
