// Package process assembles the roles from their parts and runs them until a
// planned stop.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/cluster/readertree"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/relay"
	"wasabihoist/internal/record/snapshot"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/run/settings"
)

const (
	snapshotDuty  = "snapshot"
	schedulerDuty = "scheduler"
	relayDuty     = "relay"

	// maxDirectAppenders processes that append 20 times a second each stay
	// below 300 appends a second, of several hundred that the log takes. A
	// larger deployment appends through one relay in each data centre.
	maxDirectAppenders = 14

	headerTimeout   = 5 * time.Second
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 16 << 10
	maxPeerBody     = 16 << 20
	offsetInterval  = 100 * time.Millisecond
	leaveTimeout    = 2 * time.Second
	joinSnapshotMax = 5 * time.Second
)

// Environment is what a process gets from its surroundings.
type Environment struct {
	Logger     log.Logger
	Middleware transport.Middleware // Middleware wraps outgoing exchanges; nil for none.
	Listen     ListenFunc           // Listen replaces the listening of the operating system; nil for none.
}

// ListenFunc returns a listener at an address.
type ListenFunc func(address netip.AddrPort) (net.Listener, error)

// node is what the roles entry and agent have in common.
type node struct {
	settings   settings.Settings
	logger     log.Logger
	transport  *transport.Transport
	log        platformlog.Log
	relay      *relay.Relay // relay appends for the data centre; it runs in agents.
	journal    *journal.Journal
	writer     *journal.Writer
	members    *membership.Membership
	board      *board
	directory  *directory
	selector   *source.Selector
	tree       *source.Tree
	guard      *source.Guard
	reader     *startReader
	startLimit time.Duration
	puller     *source.Puller
	publisher  *snapshot.Publisher
	server     *http.Server
	listener   net.Listener
	metrics    net.Listener // metrics is nil when the settings name no address.
	mux        *http.ServeMux
	group      *group.Group
}

// newNode listens at the peer address and builds the shared parts. Nothing
// runs until start.
func newNode(s settings.Settings, env Environment) (*node, error) {
	listener, err := env.listen("listen-address", s.ListenAddress)
	if err != nil {
		return nil, err
	}
	metricsListener, err := env.listenMetrics(s.MetricsAddress)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	n := &node{metrics: metricsListener, settings: s, logger: env.Logger, listener: listener, mux: http.NewServeMux(), board: newBoard()}
	n.transport = transport.New(n.isRemote, env.Middleware)
	n.log = platformlog.NewClient(s.LogAddress, n.transport.Shared())
	n.journal = journal.New()
	incarnation := time.Now().UnixNano()
	name := fmt.Sprintf("%s@%d", s.Name, incarnation)
	n.members = membership.New(membershipOptions(s), self(s, incarnation), proberTransport{n.transport})
	n.selector = source.NewSelector(n.log, snapshot.NewScan(n.log), n, n.dialPeer)
	n.tree = source.NewTree(n.dialPeer, n.selector)
	n.directory = &directory{settings: s, members: n.members, board: n.board, tree: n.tree}
	n.relay = relay.New(relay.Default(), n.log)
	appends := relay.NewLog(n.log, n.directory, relay.DialOver(n.transport.Fresh()), n.relay, s.ListenAddress)
	n.writer = journal.NewWriter(name, appends, n.journal, journal.DefaultWriterOptions())
	n.guard = source.NewGuard(n.journal, n.tree, n.log)
	n.reader = newStartReader(n.tree)
	n.startLimit = startLimit
	n.puller = source.NewPuller(n.journal, n.dialPeer)
	n.publisher = snapshot.NewPublisher(snapshot.Default(), n.journal, n.writer, n.holdsSnapshotDuty)
	n.mux.Handle(wire.PeerPathPrefix, peer.NewHandler(peer.NewServer(n.journal, n.members)))
	n.server = newServer(http.MaxBytesHandler(n.mux, maxPeerBody))
	n.group = group.New(context.Background())
	return n, nil
}

// listen names the settings key when the address cannot be used.
func (env Environment) listen(key string, address netip.AddrPort) (net.Listener, error) {
	open := env.Listen
	if open == nil {
		open = func(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }
	}
	listener, err := open(address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return listener, nil
}

func (env Environment) listenMetrics(address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		return nil, nil
	}
	return env.listen("metrics-address", address)
}

// close releases the listeners of a process that does not start.
func (n *node) close() error {
	if n.metrics == nil {
		return n.listener.Close()
	}
	return errors.Join(n.listener.Close(), n.metrics.Close())
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func membershipOptions(s settings.Settings) membership.Options {
	o := membership.Default()
	o.Seeds = s.Seeds
	o.ProbeInterval = s.Timeouts.ProbeInterval
	o.SuspicionTime = s.Timeouts.Suspect
	return o
}

func self(s settings.Settings, incarnation int64) membership.Member {
	return membership.Member{
		Name:        s.Name,
		Role:        membership.Role(s.Role),
		Region:      s.Region,
		DataCentre:  s.DataCentre,
		Address:     s.ListenAddress,
		Incarnation: incarnation,
		Service:     s.Agent.Service,
	}
}

// Kill ends the process at once, as a crash of its host does.
func (n *node) Kill() { n.group.Stop() }

// awaitStop calls stop when ctx ends, and then ends the group. It does nothing
// when the group ends first.
func (n *node) awaitStop(ctx context.Context, stop func() error) {
	n.group.Go("planned stop", func(groupCtx context.Context) error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		err := stop()
		n.group.Stop()
		return err
	})
}

// start runs the shared parts.
func (n *node) start() {
	g := n.group
	n.members.OnPeerOffset(func(m membership.Member, offset int64) {
		n.puller.Notice(source.Peer{Name: m.Name, Address: m.Address}, offset)
	})
	g.Go("peer listener", func(ctx context.Context) error { return webserver.Serve(ctx, n.server, n.listener) })
	g.Go(n.members.String(), n.members.Run)
	g.Go(n.directory.String(), n.directory.Run)
	g.Go(n.writer.String(), n.writer.Run)
	g.Go(n.puller.String(), n.puller.Run)
	g.Go(n.guard.String(), n.guard.Run)
	g.Go(n.publisher.String(), n.publisher.Run)
	g.Every("applied offset", offsetInterval, func(context.Context) error {
		n.members.SetAppliedOffset(n.journal.Next())
		return nil
	})
	g.Go("journal follower", n.follow)
	g.Go("start check", n.awaitStart)
}

func (n *node) startMemberChanges(holds func(dataCentre string) bool) {
	c := newMemberChanges(n, holds)
	n.group.Go(c.String(), c.Run)
}

// ConfigurationVersion returns the version that is in force at this process.
func (n *node) ConfigurationVersion() int64 { return n.journal.Configuration().Version }

// leave tells the others that this process is gone.
func (n *node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.members.Leave(ctx); err != nil {
		_ = n.logger.Log("level", "warn", "event", "leave", "error", err)
	}
}

// isRemote reports whether an address belongs to a member of another region,
// or to the log service when that is in another region.
func (n *node) isRemote(address netip.AddrPort) bool {
	if address == n.settings.LogAddress {
		return n.logRegion() != n.settings.Region
	}
	return n.board.remote.Get()[address]
}

func (n *node) logRegion() string {
	if n.settings.LogRegion == "" {
		return n.settings.Region
	}
	return n.settings.LogRegion
}

// RegionReader implements source.Directory.
func (n *node) RegionReader() (source.Peer, bool) {
	if n.logRegion() == n.settings.Region {
		return source.Peer{}, false
	}
	reader, ok := duty.Holder(readertree.Duty, "", n.settings.Region, n.board.members.Get())
	if !ok || reader.Name == n.settings.Name || reader.Region != n.settings.Region {
		return source.Peer{}, false
	}
	return source.Peer{Name: reader.Name, Address: reader.Address}, true
}

// Fallbacks implements source.Directory.
func (n *node) Fallbacks() []source.Peer {
	var near, far []source.Peer
	for _, m := range n.board.members.Get() {
		if m.Name == n.settings.Name || !m.Working() {
			continue
		}
		p := source.Peer{Name: m.Name, Address: m.Address}
		if m.Region == n.settings.Region {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return append(near, far...)
}

func (n *node) dialPeer(p source.Peer) source.PeerReader {
	return peer.NewClient(p.Address, n.transport.Shared())
}

func (n *node) holdsSnapshotDuty() bool {
	holder, ok := duty.Holder(snapshotDuty, "", n.logRegion(), n.board.members.Get())
	return ok && holder.Name == n.settings.Name
}

// proberTransport carries the probes of membership.
type proberTransport struct {
	transport *transport.Transport
}

// Probe implements membership.Transport.
func (p proberTransport) Probe(ctx context.Context, address netip.AddrPort, request *wire.ProbeRequest, fresh bool) (*wire.ProbeReply, error) {
	roundTripper := p.transport.Shared()
	if fresh {
		roundTripper = p.transport.Fresh()
	}
	return wire.NewPeerProtobufClient("http://"+address.String(), &http.Client{Transport: roundTripper}).Probe(ctx, request)
}
