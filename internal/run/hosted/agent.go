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
	"wasabihoist/internal/traffic/admission"
)

const (
	// reannounceAfter is the time without a call of a coordinator after which an
	// agent announces itself again, because its record may have been deleted.
	reannounceAfter = 10 * time.Second
	// contactCheckInterval is the time between two checks of the last call.
	contactCheckInterval = time.Second
)

// AgentOptions are the options of an agent.
type AgentOptions struct {
	Node       string
	DataCentre string
	Internal   netip.AddrPort // Internal is the address for the calls of the coordinator.
	Control    netip.AddrPort // Control is the address for the heartbeats of the minion.
	Metrics    netip.AddrPort // Metrics is the address that serves the metrics.
	MaxLease   time.Duration  // MaxLease is the longest lease that a renewal grants.
	MemoryMB   int            // MemoryMB is the memory limit of the process; 0 is no limit.
	// MaxDescriptors is the most descriptors of the process; 0 leaves it to the operating system.
	MaxDescriptors int
	Topic          ledger.Topic // Topic holds the records of the ledger.
	// ControlHandler returns the handler of the heartbeats.
	ControlHandler func(a *hostagent.Agent) http.Handler
}

// RunAgent runs an agent until ctx ends. It returns an error if an address can't
// be listened on or a part of the agent fails.
func RunAgent(ctx context.Context, o AgentOptions, store ledger.Store, minion host.Client, connect hostagent.Connect, logger log.Logger) error {
	limitMemory(o.MemoryMB)
	registry := metrics.For(o.Node)
	agent := hostagent.New(minion, connect, registry, logger)
	agent.SetMaxLease(o.MaxLease)
	open, err := listen(ctx, []Endpoint{
		{Name: "heartbeats", Address: o.Control, Handler: o.ControlHandler(agent), Share: admission.HeartbeatShare},
		{Name: "metrics", Address: o.Metrics, Handler: registry.Handler(), Share: admission.OperatorShare},
		{Name: "calls of the coordinator", Address: o.Internal, Handler: hostlink.Handler(agent), Share: admission.InternalShare, Limits: internalLimits},
	}, admission.NewMachine(o.MemoryMB, o.MaxDescriptors), registry, logger)
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("event", "started", "role", "agent", "internal", o.Internal, "control", o.Control)
	g := group.New(ctx)
	start(open, g)
	g.Go("announcements", func(ctx context.Context) error {
		m := ledger.Member{
			Name: memberName(o.Node, o.Internal), Role: ledger.AgentRole, DataCentre: o.DataCentre,
			Address: o.Internal, Started: time.Now(),
		}
		return announceWhileIdle(ctx, agent, m, store, o.Topic, logger)
	})
	err = g.Wait()
	_ = level.Info(logger).Log("event", "stopped", "role", "agent")
	return err
}

// announceWhileIdle announces the agent at its start, and again whenever no
// coordinator has called for reannounceAfter.
func announceWhileIdle(ctx context.Context, agent *hostagent.Agent, m ledger.Member, store ledger.Store, topic ledger.Topic, logger log.Logger) error {
	for {
		if err := announce(ctx, store, topic, m, logger); err != nil {
			return err
		}
		announced := time.Now()
		for time.Since(announced) < reannounceAfter || time.Since(agent.LastContact()) < reannounceAfter {
			if err := group.Pause(ctx, contactCheckInterval); err != nil {
				return err
			}
		}
	}
}
