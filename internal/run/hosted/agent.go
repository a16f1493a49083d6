package hosted

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/hostlink"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/metrics"
)

const (
	// announceAgain is after how long without a call an agent announces itself
	// once more, because its record may have been dropped.
	announceAgain = 10 * time.Second
	announceCheck = time.Second
)

// AgentOptions are the settings of an agent.
type AgentOptions struct {
	Node       string
	DataCentre string
	Internal   netip.AddrPort // Internal takes the calls of the coordinator.
	Control    netip.AddrPort // Control takes the heartbeats of the minion.
	Metrics    netip.AddrPort // Metrics serves the figures.
	MemoryMB   int
	Topic      ledger.Topic
	// ControlHandler serves the heartbeats.
	ControlHandler func(a *hostagent.Agent) http.Handler
}

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, o AgentOptions, store ledger.Store, minion host.Client, connect hostagent.Connect, logger log.Logger) error {
	limitMemory(o.MemoryMB)
	registry := metrics.For(o.Node)
	agent := hostagent.New(minion, connect, registry, logger)
	open, err := listen([]Endpoint{
		{"heartbeats", o.Control, o.ControlHandler(agent)},
		{"metrics", o.Metrics, registry.Handler()},
		{"calls of the coordinator", o.Internal, hostlink.Handler(agent)},
	})
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("event", "started", "role", "agent", "internal", o.Internal, "control", o.Control)
	g := group.New(ctx)
	for _, l := range open {
		l.start(g)
	}
	g.Go("announcements", func(ctx context.Context) error {
		m := ledger.Member{
			Name: memberName(o.Node, o.Internal), Role: ledger.AgentRole, DataCentre: o.DataCentre,
			Address: o.Internal, Started: time.Now(),
		}
		return keepAnnounced(ctx, agent, m, store, o.Topic, logger)
	})
	err = g.Wait()
	_ = level.Info(logger).Log("event", "stopped", "role", "agent")
	return err
}

// keepAnnounced announces the agent at its start, and again while no
// coordinator calls.
func keepAnnounced(ctx context.Context, agent *hostagent.Agent, m ledger.Member, store ledger.Store, topic ledger.Topic, logger log.Logger) error {
	for {
		if err := announce(ctx, store, topic, m, logger); err != nil {
			return err
		}
		announced := time.Now()
		for time.Since(announced) < announceAgain || time.Since(agent.LastContact()) < announceAgain {
			if err := group.Pause(ctx, announceCheck); err != nil {
				return err
			}
		}
	}
}
