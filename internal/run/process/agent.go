package process

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/record/relay"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/traffic/admission"
	"wasabihoist/internal/traffic/routing"
)

const loadInterval = 200 * time.Millisecond

// Agent is a process with the role agent.
type Agent struct {
	*node
	agent    *agent.Server
	duties   *schedulerDuties
	leases   *lease.Table // leases that this agent holds for schedulers of other agents.
	announce endpoint
	stopping atomic.Bool // stopping is set once a planned stop has begun.
}

// NewAgent listens at all addresses of the agent. Nothing runs until Run.
func NewAgent(s settings.Settings, env Environment) (*Agent, error) {
	n, err := newNode(s, env)
	if err != nil {
		return nil, err
	}
	o := agentOptions(s)
	o.KnownAgents = func() uint64 { return routing.AgentListDigest(n.board.agents.Get()) }
	a := &Agent{node: n, agent: agent.New(o, n.journal, n.writer), leases: lease.NewTable()}
	a.duties, err = newSchedulerDuties(n)
	if err != nil {
		return nil, errors.Join(err, n.close())
	}
	a.announce, err = n.newEndpoint(env, "agent.announce-address", s.Agent.AnnounceAddress, admission.HeartbeatShare, a.agent.Handler())
	if err != nil {
		return nil, errors.Join(err, n.close())
	}
	n.mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(a.agent.Service()))
	n.mux.Handle(wire.RelayPathPrefix, wire.NewRelayServer(relay.NewServer(n.relay)))
	n.mux.Handle(wire.SchedulerPathPrefix, wire.NewSchedulerServer(a.duties))
	n.mux.Handle(wire.LeaseHolderPathPrefix, wire.NewLeaseHolderServer(lease.NewServer(a.leases)))
	return a, nil
}

func agentOptions(s settings.Settings) agent.Options {
	o := agent.Default()
	o.Name = s.Name
	o.MinionAddress = s.Agent.MinionAddress
	o.Slots = s.Agent.Slots
	o.MaxClaimBytes = int(s.Agent.ClaimMemory)
	o.Client.MaxConnections = s.Agent.Connections
	o.ProbeInterval = s.Agent.Timeouts.MinionProbe
	return o
}

// Run serves until ctx ends, then stops without cutting off a request.
func (a *Agent) Run(ctx context.Context) error {
	a.start()
	a.serveFigures(a.figures())
	a.announce.start(a.group, "announce listener")
	a.group.Go(a.relay.String(), a.relay.Run)
	a.group.Go(a.agent.String(), a.agent.Run)
	a.group.Go(a.leases.String(), a.leases.Run)
	a.group.Go(a.duties.String(), a.duties.Run)
	a.startMemberChanges(a.duties.holds)
	a.group.Every("load", loadInterval, func(context.Context) error {
		a.publishLoad()
		return nil
	})
	a.awaitStop(ctx, a.stop)
	_ = a.logger.Log("level", "info", "event", "started", "role", "agent", "name", a.settings.Name)
	return a.group.Wait()
}

// publishLoad tells the other members what this agent has to do, and that it
// takes no more work when its minion is leaving.
func (a *Agent) publishLoad() {
	a.members.SetLoad(a.agent.Load())
	a.members.SetDraining(a.agent.Draining() || a.stopping.Load())
}

// stop hands over the duties and finishes every accepted request.
func (a *Agent) stop() error {
	_ = a.logger.Log("level", "info", "event", "draining", "name", a.settings.Name)
	a.stopping.Store(true)
	a.members.SetDraining(true)
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.Timeouts.Drain)
	defer cancel()
	a.duties.release(ctx)
	err := a.agent.Drain(ctx)
	// Answers are on their way to the entries until their calls are closed.
	err = errors.Join(err, a.server.Shutdown(ctx))
	a.leave()
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
