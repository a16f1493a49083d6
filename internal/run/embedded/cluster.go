package embedded

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/process"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/standin/workerhost"
)

const (
	operatorToken  = "embedded-operator-token"
	readyTimeout   = 10 * time.Second
	readyInterval  = 50 * time.Millisecond
	announceEvery  = 500 * time.Millisecond
	headerTimeout  = 5 * time.Second
	publishTimeout = 5 * time.Second
)

// Options describe an embedded deployment.
type Options struct {
	Deployment deployment.Deployment
	Logger     log.Logger
	Kinds      map[string]time.Duration // Kinds gives the work time of requests by kind.
	Workload   workerhost.Workload      // Workload gives the true run time of tasks; nil for the declared one.
	Log        logservice.Limits
	Ready      time.Duration // Ready bounds the time until every entry sees everything; 0 means 10 s.
}

// Minion is a minion with the agent beside it.
type Minion struct {
	Name     string
	Site     deployment.Site
	Host     *minionhost.Host
	Settings settings.Settings // Settings of the agent.
	agent    *running
}

// Worker is a worker stand-in.
type Worker struct {
	Worker worker.Worker
	Host   *workerhost.Host
}

// Entry is an entry process.
type Entry struct {
	Name     string
	Site     deployment.Site
	Settings settings.Settings
	process  *running
}

// Cluster is a running deployment.
type Cluster struct {
	Options Options
	Log     *logservice.Service
	Minions []*Minion
	Workers []*Worker
	Entries []*Entry
	Tokens  map[string]string // Tokens of the organisations.
	network *network
	group   *group.Group
	logAddr netip.AddrPort
	seeds   []netip.AddrPort
	callers http.RoundTripper
}

// running is a process that can be stopped on its own.
type running struct {
	version func() int64 // version is the configuration in force at the process.
	kill    func()
	stop    context.CancelFunc
	done    chan struct{} // done is closed when the process has ended.
	err     error         // err is set before done is closed.
}

// Start builds and starts everything. It returns when every entry sees all
// agents and the fleet of every data centre.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Ready == 0 {
		o.Ready = readyTimeout
	}
	c := &Cluster{
		Options: o,
		Log:     logservice.New(o.Log),
		Tokens:  map[string]string{},
		network: newNetwork(o.Deployment),
		group:   group.New(ctx),
	}
	c.callers = c.network.callerTransport()
	if err := c.build(); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	if err := c.startProcesses(); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	if err := c.awaitReady(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) build() error {
	if err := c.buildLog(); err != nil {
		return err
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Workers {
			if err := c.buildWorker(site, i); err != nil {
				return err
			}
		}
	}
	if err := c.buildEntries(); err != nil {
		return err
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Minions {
			if err := c.buildMinion(site, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) buildLog() error {
	site, err := c.logSite()
	if err != nil {
		return err
	}
	c.logAddr, err = c.serveStandin("log", site, c.Log.Handler())
	return err
}

func (c *Cluster) logSite() (deployment.Site, error) {
	for _, s := range c.Options.Deployment.Sites {
		if s.Region == c.Options.Deployment.LogRegion {
			return s, nil
		}
	}
	return deployment.Site{}, fmt.Errorf("no data centre in region %s", c.Options.Deployment.LogRegion)
}

// serveStandin serves a stand-in at a reserved address of a site.
func (c *Cluster) serveStandin(name string, site deployment.Site, handler http.Handler) (netip.AddrPort, error) {
	address, err := c.network.bind(site)
	if err != nil {
		return address, err
	}
	listener, err := c.network.listen(address)
	if err != nil {
		return address, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.group.Go(name, func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	return address, nil
}

func (c *Cluster) buildWorker(site deployment.Site, i int) error {
	name := fmt.Sprintf("worker-%s-%d", site.Name, i+1)
	host := workerhost.New(c.Options.Deployment.Worker, c.Options.Workload)
	address, err := c.serveStandin(name, site, host.Handler())
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, &Worker{
		Worker: worker.Worker{
			Name:       name,
			Rack:       site.Rack(i),
			DataCentre: site.Name,
			Address:    address,
			Capacity:   c.Options.Deployment.Worker,
		},
		Host: host,
	})
	return nil
}

func (c *Cluster) buildEntries() error {
	organisations, err := c.organisations()
	if err != nil {
		return err
	}
	for _, name := range organisations {
		c.Tokens[name] = "embedded-token-of-" + name
	}
	for _, site := range c.Options.Deployment.Sites {
		for i := range site.Entries {
			if err := c.buildEntry(site, i); err != nil {
				return err
			}
		}
	}
	for _, e := range c.Entries {
		e.Settings.Seeds = c.seeds
	}
	return nil
}

func (c *Cluster) buildEntry(site deployment.Site, i int) error {
	s := settings.Default(settings.Entry)
	s.Name = fmt.Sprintf("entry-%s-%d", site.Name, i+1)
	if err := c.common(&s, site); err != nil {
		return err
	}
	var err error
	if s.Entry.CallerAddress, err = c.network.bind(site); err != nil {
		return err
	}
	if s.Entry.OperatorAddress, err = c.network.bind(site); err != nil {
		return err
	}
	s.Entry.OperatorToken = operatorToken
	for name, secret := range c.Tokens {
		s.Entry.Tokens = append(s.Entry.Tokens, settings.Token{Organisation: name, Secret: secret})
	}
	c.seeds = append(c.seeds, s.ListenAddress)
	c.Entries = append(c.Entries, &Entry{Name: s.Name, Site: site, Settings: s})
	return nil
}

func (c *Cluster) common(s *settings.Settings, site deployment.Site) error {
	address, err := c.network.bind(site)
	if err != nil {
		return err
	}
	s.ListenAddress = address
	s.Region = site.Region
	s.DataCentre = site.Name
	s.LogAddress = c.logAddr
	s.LogRegion = c.Options.Deployment.LogRegion
	s.Seeds = c.seeds
	return nil
}

func (c *Cluster) buildMinion(site deployment.Site, i int) error {
	s := settings.Default(settings.Agent)
	s.Name = fmt.Sprintf("agent-%s-%d", site.Name, i+1)
	if err := c.common(&s, site); err != nil {
		return err
	}
	var err error
	if s.Agent.AnnounceAddress, err = c.network.bind(site); err != nil {
		return err
	}
	o := minionhost.DefaultOptions()
	o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	o.Agent = "http://" + s.Agent.AnnounceAddress.String()
	o.AnnounceEvery = announceEvery
	o.Kinds = c.Options.Kinds
	host, err := minionhost.New(o)
	if err != nil {
		return fmt.Errorf("start minion: %w", err)
	}
	s.Agent.Service = c.Options.Deployment.Service
	s.Agent.MinionAddress = host.Address()
	s.Agent.Policy = c.Options.Deployment.Policy
	for _, w := range c.Workers {
		s.Agent.Workers = append(s.Agent.Workers, w.Worker)
	}
	c.network.place(host.Address(), site)
	c.Minions = append(c.Minions, &Minion{
		Name:     fmt.Sprintf("minion-%s-%d", site.Name, i+1),
		Site:     site,
		Host:     host,
		Settings: s,
	})
	return nil
}

func (c *Cluster) startProcesses() error {
	for _, m := range c.Minions {
		c.StartMinion(m)
	}
	for _, e := range c.Entries {
		if err := c.StartEntry(e); err != nil {
			return err
		}
	}
	for _, m := range c.Minions {
		if err := c.StartAgent(m); err != nil {
			return err
		}
	}
	return nil
}

// StartMinion starts a minion, or starts it again after a crash.
func (c *Cluster) StartMinion(m *Minion) {
	c.group.Go(m.Name, func(ctx context.Context) error {
		err := m.Host.Run(ctx)
		if errors.Is(err, minionhost.ErrCrashed) {
			return nil
		}
		return err
	})
}

func (c *Cluster) environment(site deployment.Site) process.Environment {
	return process.Environment{Logger: c.Options.Logger, Middleware: c.network.middleware(site), Listen: c.network.listen}
}

// StartEntry starts an entry that is not running.
func (c *Cluster) StartEntry(e *Entry) error {
	p, err := process.NewEntry(e.Settings, c.environment(e.Site))
	if err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.process = c.run(e.Name, p)
	return nil
}

// StartAgent starts the agent beside a minion when it is not running.
func (c *Cluster) StartAgent(m *Minion) error {
	p, err := process.NewAgent(m.Settings, c.environment(m.Site))
	if err != nil {
		return fmt.Errorf("start %s: %w", m.Settings.Name, err)
	}
	m.agent = c.run(m.Settings.Name, p)
	return nil
}

// role is a process with either role.
type role interface {
	Run(ctx context.Context) error
	ConfigurationVersion() int64
	Kill()
}

func (c *Cluster) run(name string, p role) *running {
	ctx, stop := context.WithCancel(c.group.Context())
	r := &running{version: p.ConfigurationVersion, kill: p.Kill, stop: stop, done: make(chan struct{})}
	c.group.Go(name, func(context.Context) error {
		r.err = p.Run(ctx)
		close(r.done)
		return nil
	})
	return r
}

// StopEntry ends an entry by a planned stop and waits for it.
func (c *Cluster) StopEntry(e *Entry) error { return e.process.stopAndWait() }

// StopAgent ends an agent by a planned stop and waits for it.
func (c *Cluster) StopAgent(m *Minion) error { return m.agent.stopAndWait() }

// KillEntry ends an entry at once and waits until it is gone.
func (c *Cluster) KillEntry(e *Entry) error { return e.process.killAndWait() }

// KillAgent ends an agent at once and waits until it is gone.
func (c *Cluster) KillAgent(m *Minion) error { return m.agent.killAndWait() }

func (r *running) killAndWait() error {
	r.kill()
	<-r.done
	return r.err
}

func (r *running) stopAndWait() error {
	r.stop()
	<-r.done
	return r.err
}

// OldestVersion returns the lowest configuration version in force at any
// process.
func (c *Cluster) OldestVersion() int64 {
	oldest := int64(math.MaxInt64)
	for _, r := range c.processes() {
		oldest = min(oldest, r.version())
	}
	return oldest
}

// Partition cuts or restores the link between the regions.
func (c *Cluster) Partition(on bool) { c.network.setPartitioned(on) }

// Stop ends everything and waits for it.
func (c *Cluster) Stop() error {
	var failures []error
	for _, r := range c.processes() {
		r.stop()
	}
	for _, r := range c.processes() {
		failures = append(failures, r.stopAndWait())
	}
	c.group.Stop()
	c.network.closeUnused()
	return errors.Join(append(failures, c.group.Wait())...)
}

func (c *Cluster) processes() []*running {
	var list []*running
	for _, m := range c.Minions {
		if m.agent != nil {
			list = append(list, m.agent)
		}
	}
	for _, e := range c.Entries {
		if e.process != nil {
			list = append(list, e.process)
		}
	}
	return list
}

// Caller returns a client of an organisation at an entry.
func (c *Cluster) Caller(e *Entry, organisation string) *restapi.Client {
	return restapi.NewClient(e.Settings.Entry.CallerAddress, c.Tokens[organisation], c.callers)
}

// Operator returns a client of the operator interface of an entry.
func (c *Cluster) Operator(e *Entry) *restapi.Client {
	return restapi.NewClient(e.Settings.Entry.OperatorAddress, operatorToken, c.callers)
}
