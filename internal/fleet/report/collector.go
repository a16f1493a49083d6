// Package report collects the fleet reports of the data centres' schedulers for
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
	// refreshInterval lets operators follow changes; a reply without changes takes
	// only about 100 bytes.
	refreshInterval = 2 * time.Second
	requestTimeout  = time.Second
)

// SchedulerEndpoint is the agent that runs the scheduler of a data centre.
type SchedulerEndpoint struct {
	DataCentre string
	Region     string // Region of the data centre.
	Address    netip.AddrPort
}

// Dial returns a client for the scheduler service at an address.
type Dial func(netip.AddrPort) wire.Scheduler

// Collector polls the schedulers for their reports. It implements entry.Fleet and
// is safe for concurrent use.
type Collector struct {
	schedulers func() []SchedulerEndpoint
	dial       Dial

	mu      sync.Mutex
	reports map[string]dataCentreReport
}

type dataCentreReport struct {
	version    uint64 // version is the scheduler's version of its worker list.
	dataCentre entry.DataCentre
	emptyFleet *placement.Planner // emptyFleet models the data centre without jobs.
}

// NewCollector returns a collector that polls the schedulers that the function lists.
func NewCollector(schedulers func() []SchedulerEndpoint, dial Dial) *Collector {
	return &Collector{schedulers: schedulers, dial: dial, reports: map[string]dataCentreReport{}}
}

// String returns the name used in logs.
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
	for _, endpoint := range c.schedulers() {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, err := c.dial(endpoint.Address).Fleet(requestCtx, &wire.FleetRequest{DataCentre: endpoint.DataCentre, KnownVersion: c.knownVersion(endpoint.DataCentre)})
		cancel()
		if err == nil {
			c.storeReply(endpoint.DataCentre, reply)
		}
	}
}

func (c *Collector) knownVersion(dataCentre string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[dataCentre].version
}

func (c *Collector) storeReply(dataCentre string, reply *wire.FleetReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.reports[dataCentre]
	if reply.GetVersion() != report.version || report.emptyFleet == nil {
		report.version = reply.GetVersion()
		report.dataCentre.Workers, report.dataCentre.WorkerStates = workersFromWire(dataCentre, reply.GetWorkers())
		report.emptyFleet = emptyPlanner(report.dataCentre.Workers)
	}
	report.dataCentre.Name = dataCentre
	report.dataCentre.Scheduler = reply.GetHolder()
	report.dataCentre.FreeAccelerators = int(reply.GetFreeAccelerators())
	report.dataCentre.LargestGang = int(reply.GetLargestGang())
	report.dataCentre.Fragmentation = reply.GetFragmentation()
	report.dataCentre.Waiting = int(reply.GetWaiting())
	report.dataCentre.Running = int(reply.GetRunning())
	c.reports[dataCentre] = report
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
	p := placement.New(placement.FirstFit{}, placement.Default())
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
		list = append(list, r.dataCentre)
	}
	slices.SortFunc(list, func(a, b entry.DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// CanEverRun implements entry.Fleet. It refuses no job until every data centre that
// has a scheduler has reported.
func (c *Collector) CanEverRun(j job.Job) error {
	schedulerCount := len(c.schedulers())
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reports) == 0 || len(c.reports) < schedulerCount {
		return nil
	}
	var reasons []error
	for name, r := range c.reports {
		err := r.emptyFleet.CanEverRun(j)
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

// ErrNoReport is returned while no scheduler has reported workers.
var ErrNoReport = errors.New("no scheduler has reported its fleet yet")

// CheckGuarantees implements entry.Fleet. It checks the guarantees against the reported
// workers.
func (c *Collector) CheckGuarantees(configuration organisation.Configuration) error {
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

// Explain implements entry.Fleet. It asks the scheduler that claimed the job first.
// A job without a claim may wait in any data centre, so it asks all schedulers until
// one knows the job.
func (c *Collector) Explain(ctx context.Context, state journal.JobState) (entry.Explanation, error) {
	id := state.Job.Identity
	request := &wire.ExplainRequest{Identity: &wire.Identity{Organisation: id.Organisation, Id: id.ID}}
	first := state.Job.DataCentre
	if state.State != job.Queued {
		first = state.DataCentre
	}
	for _, endpoint := range c.schedulersPreferring(first) {
		request.DataCentre = endpoint.DataCentre
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, err := c.dial(endpoint.Address).Explain(requestCtx, request)
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

// schedulersPreferring returns the schedulers, that of the named data centre first.
func (c *Collector) schedulersPreferring(dataCentre string) []SchedulerEndpoint {
	schedulers := slices.Clone(c.schedulers())
	slices.SortStableFunc(schedulers, func(a, b SchedulerEndpoint) int {
		return boolToInt(b.DataCentre == dataCentre) - boolToInt(a.DataCentre == dataCentre)
	})
	return schedulers
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
