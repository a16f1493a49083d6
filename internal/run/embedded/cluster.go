package embedded

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/forwarder"
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

// Relay leads the exchanges between an entry and an agent through forwarders, in
// both directions. The result makes them silent, or lets them through again.
// Connections that are open already stay as they are.
func (c *Cluster) Relay(e *Entry, m *Minion) (setSilent func(bool), err error) {
	a, b := e.Settings.ListenAddress, m.Settings.ListenAddress
	var forwarders []*forwarder.Forwarder
	for _, p := range []path{{a, b}, {b, a}} {
		r, err := forwarder.New(p.to)
		if err != nil {
			return nil, err
		}
		c.group.Go(r.String(), r.Run)
		c.network.setForwarder(p, r.Address())
		forwarders = append(forwarders, r)
	}
	return func(silent bool) {
		for _, r := range forwarders {
			r.SetSilent(silent)
		}
	}, nil
}

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

// Caller returns a client of an organisation at an entry.
func (c *Cluster) Caller(e *Entry, organisation string) *restapi.Client {
	return restapi.NewClient(e.Settings.Entry.CallerAddress, c.Tokens[organisation], c.callers)
}

// Operator returns a client of the operator interface of an entry.
func (c *Cluster) Operator(e *Entry) *restapi.Client {
	return restapi.NewClient(e.Settings.Entry.OperatorAddress, operatorToken, c.callers)
}
