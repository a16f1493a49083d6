// Package report collects what the schedulers of the data centres report, for
// admission, configuration checks and operators.
package report

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/entry"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

const (
	// refreshInterval is short enough for operators to follow a change, and a
	// reply without changes is about 100 bytes.
	refreshInterval = 2 * time.Second
	exchangeTimeout = time.Second
)

// SchedulerEndpoint is the agent with the scheduler duty of a data centre.
type SchedulerEndpoint struct {
	DataCentre string
	Region     string // Region of the data centre.
	Address    netip.AddrPort
}

// Dial returns a client of the scheduler service at an address.
type Dial func(netip.AddrPort) wire.Scheduler

// Collector asks the schedulers for their reports. It implements entry.Fleet.
type Collector struct {
	holders func() []SchedulerEndpoint
	dial    Dial

	mu      sync.Mutex
	reports map[string]dataCentreReport
}

type dataCentreReport struct {
	version uint64
	centre  entry.DataCentre
	empty   *placement.Planner // empty is the data centre without any job.
}

// NewCollector returns a collector of the schedulers that holders lists.
func NewCollector(holders func() []SchedulerEndpoint, dial Dial) *Collector {
	return &Collector{holders: holders, dial: dial, reports: map[string]dataCentreReport{}}
}

// String names the controller.
func (c *Collector) String() string { return "fleet report collector" }

// Run refreshes the reports until ctx ends.
func (c *Collector) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Collector) refresh(ctx context.Context) {
	for _, h := range c.holders() {
		exchange, cancel := context.WithTimeout(ctx, exchangeTimeout)
		reply, err := c.dial(h.Address).Fleet(exchange, &wire.FleetRequest{DataCentre: h.DataCentre, KnownVersion: c.version(h.DataCentre)})
		cancel()
		if err == nil {
			c.store(h.DataCentre, reply)
		}
	}
}

func (c *Collector) version(dataCentre string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[dataCentre].version
}

func (c *Collector) store(name string, reply *wire.FleetReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.reports[name]
	if reply.GetVersion() != known.version || known.empty == nil {
		known.version = reply.GetVersion()
		known.centre.Workers, known.centre.States = workersFromWire(name, reply.GetWorkers())
		known.empty = emptyPlanner(known.centre.Workers)
	}
	known.centre.Name = name
	known.centre.Holder = reply.GetHolder()
	known.centre.FreeAccelerators = int(reply.GetFreeAccelerators())
	known.centre.LargestGang = int(reply.GetLargestGang())
	known.centre.Fragmentation = reply.GetFragmentation()
	known.centre.Waiting = int(reply.GetWaiting())
	known.centre.Running = int(reply.GetRunning())
	c.reports[name] = known
}

func workersFromWire(dataCentre string, list []*wire.Worker) ([]worker.Worker, map[string]string) {
	workers := make([]worker.Worker, 0, len(list))
	states := make(map[string]string, len(list))
	for _, w := range list {
		workers = append(workers, worker.Worker{
			Name:       w.GetName(),
			Rack:       w.GetRack(),
			DataCentre: dataCentre,
			Capacity:   worker.Resources{Cores: w.GetCores(), Memory: w.GetMemory(), Accelerators: int(w.GetAccelerators())},
		})
		states[w.GetName()] = w.GetState()
	}
	return workers, states
}

func emptyPlanner(workers []worker.Worker) *placement.Planner {
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	for _, w := range workers {
		p.AddWorker(w)
	}
	return p
}

// DataCentres implements entry.Fleet.
func (c *Collector) DataCentres() []entry.DataCentre {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]entry.DataCentre, 0, len(c.reports))
	for _, r := range c.reports {
		list = append(list, r.centre)
	}
	slices.SortFunc(list, func(a, b entry.DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// CanEverRun implements entry.Fleet. Without any report, or with a report
// missing for a data centre that has a scheduler, the job is not refused.
func (c *Collector) CanEverRun(j job.Job) error {
	known := len(c.holders())
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reports) == 0 || len(c.reports) < known {
		return nil
	}
	var reasons []error
	for name, r := range c.reports {
		err := r.empty.CanEverRun(j)
		if err == nil {
			return nil
		}
		reasons = append(reasons, fmt.Errorf("%s: %w", name, err))
	}
	slices.SortFunc(reasons, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return fmt.Errorf("no data centre can ever run the job: %s", joinReasons(reasons))
}

func joinReasons(reasons []error) string {
	texts := make([]string, 0, len(reasons))
	for _, r := range reasons {
		texts = append(texts, r.Error())
	}
	return strings.Join(texts, "; ")
}

// ErrNoReport is returned while no scheduler has reported its fleet.
var ErrNoReport = errors.New("no scheduler has reported its fleet yet")

// Feasible implements entry.Fleet.
func (c *Collector) Feasible(configuration organisation.Configuration) error {
	var workers []worker.Worker
	for _, d := range c.DataCentres() {
		workers = append(workers, d.Workers...)
	}
	if len(workers) == 0 {
		return ErrNoReport
	}
	_, missing := guarantee.Divide(guarantee.Entitlements(configuration, time.Now()), workers)
	if len(missing) == 0 {
		return nil
	}
	texts := make([]string, 0, len(missing))
	for _, m := range missing {
		texts = append(texts, m.String())
	}
	return fmt.Errorf("the guarantees cannot all be kept: %s", strings.Join(texts, "; "))
}

// Explain implements entry.Fleet. The data centre that has claimed the job is
// asked first. A job that no scheduler has claimed may wait in any data centre,
// so all are asked until one knows it.
func (c *Collector) Explain(ctx context.Context, state journal.JobState) (entry.Explanation, error) {
	id := state.Job.Identity
	ask := &wire.ExplainRequest{Identity: &wire.Identity{Organisation: id.Organisation, Id: id.ID}}
	first := state.Job.DataCentre
	if state.State != job.Queued {
		first = state.DataCentre
	}
	for _, h := range c.preferred(first) {
		ask.DataCentre = h.DataCentre
		exchange, cancel := context.WithTimeout(ctx, exchangeTimeout)
		reply, err := c.dial(h.Address).Explain(exchange, ask)
		cancel()
		if err == nil && reply.GetFound() {
			return entry.Explanation{
				WaitsFor:     reply.GetWaitsFor(),
				BlockedBy:    reply.GetBlockedBy(),
				WouldStartIf: reply.GetWouldStartIf(),
			}, nil
		}
	}
	return entry.Explanation{}, errors.New("no scheduler that can be reached knows the job")
}

// preferred returns the holders with that of the named data centre first.
func (c *Collector) preferred(dataCentre string) []SchedulerEndpoint {
	holders := slices.Clone(c.holders())
	slices.SortStableFunc(holders, func(a, b SchedulerEndpoint) int {
		return boolToInt(b.DataCentre == dataCentre) - boolToInt(a.DataCentre == dataCentre)
	})
	return holders
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
