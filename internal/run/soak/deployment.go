package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/loopback"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
	"wasabihoist/platform"
)

// The bounds in the settings of the processes, as the users' deployments have
// them.
const (
	contactTime   = 3 * time.Second
	configTime    = 2500 * time.Millisecond
	revokeTime    = 5 * time.Second
	stopGrace     = 6 * time.Second
	longestLease  = 10 * time.Second
	taskStopTime  = 200 * time.Millisecond
	gangTime      = 3 * time.Second
	statusTime    = 2 * time.Minute
	shortestTTL   = time.Second
	killTime      = 5 * time.Second // killTime is how long the kernel may take to end a process.
	restartPause  = 300 * time.Millisecond
	startTime     = 10 * time.Second // startTime bounds the time until an entry is ready.
	readyInterval = 50 * time.Millisecond
	// settleInterval is how exactly minions end runs and leases.
	settleInterval = 5 * time.Millisecond
)

const (
	service      = "app"
	urgentHost   = "urgent.example"
	ordinaryHost = "ordinary.example"
	prefix       = "/jobs/"
	callersKey   = "callers-key"
	// withdrawnKey is the first part of the keys that are withdrawn.
	withdrawnKey = "withdrawn-key"
)

// capacity of each minion.
var capacity = workload.Resources{MilliCores: 64_000, MemoryMB: 256_000, Accelerators: 8}

// deployment is the processes with what stands for the platform.
type deployment struct {
	store   *fleetstore.Store
	fronts  directory
	fleet   *fleethost.Fleet
	entries []*process
	all     []*process // all processes; the entries come first and the spare agents last.
	links   []*proxy   // links between processes, store and minions, both ways, and to the processes.
	first   int        // first is the number of the links without those to the processes.
	oracle  *oracle
	ports   loopback.Ports
	hosts   int // hosts is the number of hosts that are up with a minion or soon will be.

	mu       sync.Mutex
	version  int64 // version of the newest configuration.
	machines []*machine
	spares   []*machine // spares are hosts that are off.
}

// newDeployment prepares what stands for the platform and the settings of the
// processes. The deployment can be stopped also after an error.
func newDeployment(g *group.Group, o Options) (*deployment, error) {
	d := &deployment{store: fleetstore.New(), fleet: fleethost.NewFleet(taskStopTime), hosts: o.Agents}
	d.fleet.SetBounds(longestLease, gangTime)
	d.fronts = directory{Store: d.store, fronts: make(map[string]string)}
	d.oracle = newOracle(d.fleet)
	if err := d.publish(nil); err != nil {
		return d, err
	}
	storeAddress, err := serve(g, "store", &http.Server{Handler: platform.StoreHandler(d.fronts), ReadHeaderTimeout: contactTime})
	if err != nil {
		return d, err
	}
	for i := range o.Entries + o.Agents + o.spares() {
		role, name := "hosted-entry", fmt.Sprintf("front-%d", i+1)
		if i >= o.Entries {
			role, name = "hosted-agent", fmt.Sprintf("side-%d", i+1-o.Entries)
		}
		link, err := d.link(g, storeAddress)
		if err != nil {
			return d, err
		}
		p := &process{binary: o.Binary, role: role, folder: o.Folder, group: g, finding: d.oracle.find}
		p.settings = commonSettings(name, link.address())
		if err := d.assign(g, p, i-o.Entries, o.Agents); err != nil {
			return d, err
		}
		d.all = append(d.all, p)
	}
	d.first = len(d.links)
	for _, p := range d.all {
		if p.front, err = d.link(g, p.settings.Internal); err != nil {
			return d, err
		}
		d.fronts.announce(p.settings.Internal, p.front.address())
	}
	d.entries = d.all[:o.Entries]
	for _, m := range append(slices.Clone(d.machines), d.spares...) {
		g.Every("runs of a minion", settleInterval, func(context.Context) error { m.minion.Settle(); return nil })
	}
	return d, nil
}

// start starts the processes and waits until the entries are ready.
func (d *deployment) start(ctx context.Context) error {
	for _, p := range d.entries {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.agent.start(); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

func commonSettings(name string, store netip.AddrPort) platform.Settings {
	return platform.Settings{
		Node: name, DataCentre: "one", Region: "one", Regions: map[string]string{"one": "one"}, IP: netip.MustParseAddr("127.0.0.1"), Store: store,
		MinContactTime: contactTime, ConfigApplyTimeout: configTime, KeyRevocationTimeout: revokeTime, StopGrace: stopGrace, MaxLease: longestLease,
		TaskStopTimeout: taskStopTime, GangStartTimeout: gangTime, StatusRetention: statusTime, RemoteDataSlowdown: 1, MinLeadershipTTL: shortestTTL,
	}
}

// assign gives a process its ports, and an agent its minion. The agents beyond a
// number are spares.
func (d *deployment) assign(g *group.Group, p *process, number, agents int) error {
	const (
		internal = 2 // the only port that is used of the range in the settings
		metrics  = 4
		callers  = 5 // callers of an entry or heartbeats of a minion
		ready    = 6
		count    = 7
	)
	first, err := d.ports.Take(count)
	if err != nil {
		return err
	}
	at := func(offset uint16) netip.AddrPort { return netip.AddrPortFrom(p.settings.IP, first+offset) }
	p.settings.Internal, p.metrics = at(internal), first+metrics
	if number < 0 {
		p.settings.Callers, p.settings.Ready = at(callers), at(ready)
		return nil
	}
	p.settings.Service, p.settings.Control = service, at(callers)
	m, err := d.newMachine(g, p, number)
	if err != nil {
		return err
	}
	if number < agents {
		d.machines = append(d.machines, m)
		m.beat()
		return nil
	}
	d.spares = append(d.spares, m)
	m.minion.Leave()
	m.service.down()
	return nil
}

// link returns a new link to a target.
func (d *deployment) link(g *group.Group, target netip.AddrPort) (*proxy, error) {
	port, err := d.ports.Take(1)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(g, netip.AddrPortFrom(target.Addr(), port), target)
	if err != nil {
		return nil, err
	}
	d.links = append(d.links, p)
	return p, nil
}

func serve(g *group.Group, name string, server *http.Server) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for %s: %w", name, err)
	}
	g.Go(name, func(ctx context.Context) error { return webserver.Serve(ctx, server, l) })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// publish writes the next configuration. It holds the keys named beside that
// of the callers.
func (d *deployment) publish(keys []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	value, err := platform.EncodeConfiguration(&catalogue.Catalogue{
		Version: d.version,
		Queues: []catalogue.Queue{
			{Name: "urgent", Host: urgentHost, PathPrefix: prefix, Service: service, Attempts: 3, Stretch: 1.5, Objective: time.Second},
			{Name: "ordinary", Host: ordinaryHost, PathPrefix: prefix, Service: service, Priority: 2, Attempts: 3, Stretch: 3, Objective: 3 * time.Second},
		},
		Organisations: []catalogue.Organisation{
			{Name: "callers", Keys: []string{callersKey}, GuaranteedAccelerators: capacity.Accelerators},
			{Name: "leaving", Keys: keys},
		},
	})
	if err != nil {
		return err
	}
	record := ledger.Record{Key: platform.ConfigurationKey, Value: value}
	return d.store.Append(context.Background(), platform.OperatorTopic, []ledger.Record{record})
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, p := range d.entries {
		for !platform.IsEntryReady(ctx, p.settings.Ready) {
			if err := group.Pause(ctx, readyInterval); err != nil {
				return fmt.Errorf("%s is not ready after %s: %w", p, startTime, err)
			}
		}
	}
	return nil
}

// stop ends all processes as the platform does. Each must be gone in time.
func (d *deployment) stop() {
	ending := group.New(context.Background())
	for _, p := range d.all {
		ending.Go(p.String(), func(context.Context) error {
			p.end(syscall.SIGTERM, stopGrace)
			return nil
		})
	}
	_ = ending.Wait() // The functions return no errors.
	d.ports.Release()
}

// errFindings is returned when a promise was broken.
var errFindings = errors.New("promises were broken")
