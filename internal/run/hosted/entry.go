package hosted

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/entrylink"
	"wasabihoist/internal/cluster/hostlink"
	"wasabihoist/internal/cluster/rendezvous"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
	"wasabihoist/internal/traffic/admission"
)

const (
	// configurationPollWait is how long the store may delay its answer to a poll
	// for a new configuration. Each answer confirms the configuration in force.
	configurationPollWait = 700 * time.Millisecond
	// drainShare is the part of the stop grace period during which a stopping
	// entry still serves open connections.
	drainShare = 0.5
	// shutdownShare is the part of the stop grace period after which calls in
	// progress are aborted.
	shutdownShare = 0.85
)

// EntryOptions are the options of an entry.
type EntryOptions struct {
	Node       string
	DataCentre string
	Regions    map[string]string // Regions holds the region of each data centre.
	Callers    netip.AddrPort    // Callers is the address that serves the callers.
	Ready      netip.AddrPort    // Ready is the address of the readiness check.
	Internal   netip.AddrPort    // Internal is the address for calls of other entries.
	MemoryMB   int               // MemoryMB is the memory limit of the process; 0 is no limit.
	// MaxDescriptors is the most descriptors of the process; 0 leaves it to the operating system.
	MaxDescriptors int
	Metrics        netip.AddrPort // Metrics is the address that serves the metrics.
	Reloadable     ReloadableOptions
	Reloads        <-chan ReloadableOptions // Reloads delivers the options after a change of the settings.
	Topic          ledger.Topic             // Topic holds the records of the ledger.
	OperatorTopic  ledger.Topic             // OperatorTopic holds the configuration and the evacuations.
	// ConfigurationKey is the key of the configuration in the operators' topic.
	ConfigurationKey string

	DecodeConfiguration func(value []byte) (*catalogue.Catalogue, error)
	// EvacuatedDataCentre returns the data centre that the key of a record in the operators' topic evacuates.
	EvacuatedDataCentre func(key string) (string, bool)
	DecodeJob           func(body []byte) (gateway.Submission, error)
	CallerHandler       func(g *gateway.Gateway) http.Handler
	ReadyHandler        func(g *gateway.Gateway) http.Handler
}

// ReloadableOptions are the options of an entry that can change while it runs.
type ReloadableOptions struct {
	MaxConfigAge time.Duration // MaxConfigAge is the longest time since the configuration was last confirmed.
	StopGrace    time.Duration // StopGrace is the time between SIGTERM and SIGKILL.
	Coordinator  coordinator.Options
}

// RunEntry runs an entry until ctx ends, and then lets calls in progress finish
// within the stop grace period. It returns an error if an address can't be
// listened on or a part of the entry fails.
func RunEntry(ctx context.Context, o EntryOptions, store ledger.Store, logger log.Logger) error {
	limitMemory(o.MemoryMB)
	started := time.Now().Truncate(time.Millisecond) // The ledger stores milliseconds.
	state := ledger.NewState()
	current := catalogue.NewCurrent(o.ConfigurationKey, o.DecodeConfiguration, logger)
	current.FollowEvacuations(o.EvacuatedDataCentre)
	ledgerReader := ledger.NewReader(store, o.Topic, state, 0, logger)
	configurationReader := ledger.NewReader(store, o.OperatorTopic, current, configurationPollWait, logger)
	self := ledger.Member{
		Name: memberName(o.Node, o.Internal), Role: ledger.EntryRole, DataCentre: o.DataCentre, Address: o.Internal, Started: started, RecordsLeases: true,
	}
	entryTransport := transport.New(nil, nil)
	registry := metrics.For(o.Node)
	o.Reloadable.Coordinator.Name = coordinator.CandidateName(self)
	c := coordinator.New(o.Reloadable.Coordinator, store, o.Topic, state, ledgerReader, current, configurationReader.ReadAt, dialAgent, transport.Refused, registry, logger)
	g := gateway.New(gateway.Options{
		Topic: o.Topic, MaxConfigAge: o.Reloadable.MaxConfigAge, HasAdviser: o.Reloadable.Coordinator.Adviser != nil, Decode: o.DecodeJob, Registry: registry, Peers: peers(o, self, state, entryTransport),
	}, store, state, ledgerReader, configurationReader, current, logger)
	open, err := listen(ctx, []Endpoint{
		{Name: "calls of entries", Address: o.Internal, Handler: internalHandler(g, c), Share: admission.InternalShare, Limits: internalLimits},
		{Name: "readiness", Address: o.Ready, Handler: o.ReadyHandler(g), Share: admission.OperatorShare},
		{Name: "metrics", Address: o.Metrics, Handler: registry.Handler(), Share: admission.OperatorShare},
		{Name: "clients", Address: o.Callers, Handler: o.CallerHandler(g), Share: admission.ClientShare},
	}, admission.NewMachine(o.MemoryMB, o.MaxDescriptors), registry, logger)
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("event", "started", "role", "entry", "callers", o.Callers, "internal", o.Internal)
	services := group.New(context.WithoutCancel(ctx))
	services.Go(ledgerReader.String(), ledgerReader.Run)
	services.Go(configurationReader.String(), configurationReader.Run)
	start(open, services)
	clients := open[len(open)-1].door
	services.Go("limits of clients", func(ctx context.Context) error { return applyLimits(ctx, current, clients) })
	services.Go("announcement", func(ctx context.Context) error { return announce(ctx, store, o.Topic, self, logger) })
	// The coordinator gets ctx, so that it resigns as soon as the stop begins.
	services.Go(c.String(), func(context.Context) error { return c.Run(ctx) })
	stopGraceNanos := &atomic.Int64{}
	stopGraceNanos.Store(int64(o.Reloadable.StopGrace))
	services.Go("settings", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case next := <-o.Reloads:
				g.SetMaxConfigAge(next.MaxConfigAge)
				c.Apply(next.Coordinator)
				stopGraceNanos.Store(int64(next.StopGrace))
			}
		}
	})
	err = serveUntilStop(ctx, stopGraceNanos, g, services, open, logger)
	_ = level.Info(logger).Log("event", "stopped", "role", "entry", "error", err)
	return err
}

// internalHandler serves the calls of other entries, and the forecasts for operators.
func internalHandler(g *gateway.Gateway, c *coordinator.Coordinator) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", entrylink.Handler(g))
	mux.Handle(entrylink.ForecastPattern, entrylink.ForecastHandler(g, c))
	return mux
}

// internalLimits are the limits of calls between processes. Their bodies may have a
// call of a client and its names.
var internalLimits = admission.Limits{MaxBodyBytes: 2 * admission.DefaultMaxBodyBytes}

// applyLimits puts the limits of each configuration in force for the clients.
func applyLimits(ctx context.Context, current *catalogue.Current, clients *admission.Door) error {
	for {
		changed := current.Changed()
		if c := current.Get(); c != nil {
			clients.Apply(admission.Limits{MaxBodyBytes: c.MaxBodyBytes, MaxHeaderBytes: c.MaxHeaderBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// serveUntilStop serves until ctx ends. Then the readiness check fails, open
// connections are served for drainShare of the grace period, and calls in
// progress may finish until shutdownShare of it. The endpoints shut down in
// reverse order, the one of the callers first. The grace period is in nanoseconds.
func serveUntilStop(ctx context.Context, stopGraceNanos *atomic.Int64, g *gateway.Gateway, services *group.Group, open []listeningEndpoint, logger log.Logger) error {
	select {
	case <-ctx.Done():
	case <-services.Context().Done():
		return services.Wait()
	}
	grace := time.Duration(stopGraceNanos.Load())
	_ = level.Info(logger).Log("event", "stopping", "role", "entry", "grace", grace)
	g.Drain()
	_ = group.Pause(services.Context(), time.Duration(drainShare*float64(grace)))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Duration((shutdownShare-drainShare)*float64(grace)))
	defer cancel()
	for _, l := range slices.Backward(open) {
		if err := l.server.Shutdown(shutdownCtx); err != nil {
			_ = level.Warn(logger).Log("event", "calls aborted", "endpoint", l.Name, "reason", err)
		}
	}
	services.Stop()
	return services.Wait()
}

// dialAgent returns a client of the agent at an address, with its own
// connections.
func dialAgent(address netip.AddrPort) host.Client {
	agentTransport := transport.New(nil, nil)
	return hostlink.NewClient(address, agentTransport.Shared(), agentTransport.CloseIdle)
}

// farPeerInterval is how many entries of the same region come before one of another
// region, which may reach the store when the own region does not.
const farPeerInterval = 3

// peers returns a function that lists clients of the other entries in an order that
// differs from entry to entry, so that their forwarded calls are spread. After
// farPeerInterval entries of the same region comes one of another region.
func peers(o EntryOptions, self ledger.Member, state *ledger.State, entryTransport *transport.Transport) func() []gateway.Peer {
	return func() []gateway.Peer {
		var near, far []ledger.Member
		for name, m := range state.Members(ledger.EntryRole) {
			switch {
			case name == self.Name:
			case o.Regions[m.DataCentre] == o.Regions[self.DataCentre]:
				near = append(near, m)
			default:
				far = append(far, m)
			}
		}
		var list []gateway.Peer
		for _, m := range interleave(byWeight(self, near), byWeight(self, far), farPeerInterval) {
			list = append(list, entrylink.NewClient(m.Address, entryTransport.Fresh()))
		}
		return list
	}
}

// byWeight sorts members by their rendezvous weight for a process.
func byWeight(self ledger.Member, members []ledger.Member) []ledger.Member {
	slices.SortFunc(members, func(a, b ledger.Member) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(self.Name, b.Name), rendezvous.Weight(self.Name, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return members
}

// interleave returns the elements of both lists in their order, with one of the second
// list after each interval of the first one.
func interleave[T any](first, second []T, interval int) []T {
	merged := make([]T, 0, len(first)+len(second))
	for len(first) > 0 && len(second) > 0 {
		n := min(interval, len(first))
		merged = append(append(merged, first[:n]...), second[0])
		first, second = first[n:], second[1:]
	}
	return append(append(merged, first...), second...)
}
