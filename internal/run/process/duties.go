package process

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/scheduler"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/traffic/request"
)

// supersededPause lets a scheduler that has taken over settle, so that two do
// not take the leases from each other in turn.
const supersededPause = 2 * time.Second

// schedulerDuties runs a scheduler for each data centre whose scheduler duty
// this agent holds. It implements wire.Scheduler.
type schedulerDuties struct {
	node    *node
	policy  placement.Policy
	workers map[string][]worker.Worker // workers by data centre, from the settings.

	mu       sync.Mutex
	tenures  map[string]*tenure // tenures by data centre; they stay when the duty is given up.
	released bool               // released is set once by a planned stop.
}

// tenure is the scheduler of a data centre and its last run at this agent.
type tenure struct {
	scheduler *scheduler.Scheduler
	held      bool
	stop      context.CancelFunc
	done      chan struct{} // done is closed at the end of the last run.
}

// ended reports whether the last run is over.
func (t *tenure) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func newSchedulerDuties(n *node) (*schedulerDuties, error) {
	policy, err := placement.ParsePolicy(string(n.settings.Agent.Policy))
	if err != nil {
		return nil, fmt.Errorf("agent.policy: %w", err)
	}
	d := &schedulerDuties{node: n, policy: policy, workers: map[string][]worker.Worker{}, tenures: map[string]*tenure{}}
	for _, w := range n.settings.Agent.Workers {
		d.workers[w.DataCentre] = append(d.workers[w.DataCentre], w)
	}
	return d, nil
}

// String names the controller.
func (d *schedulerDuties) String() string { return "scheduler duties" }

// Run takes up and gives up duties as the member list changes.
func (d *schedulerDuties) Run(ctx context.Context) error {
	g := group.New(ctx)
	for {
		_, _, changed := d.node.board.members.Watch()
		d.update(g)
		select {
		case <-ctx.Done():
			d.release(context.WithoutCancel(ctx))
			return g.Wait()
		case <-changed:
		}
	}
}

func (d *schedulerDuties) update(g *group.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for dataCentre := range d.workers {
		held := !d.released && d.holds(dataCentre)
		t := d.tenures[dataCentre]
		switch {
		case held && (t == nil || !t.held):
			d.tenures[dataCentre] = d.begin(g, dataCentre, t)
		case !held && t != nil && t.held:
			t.held = false
			t.stop()
		}
	}
}

// holds reports whether the duty of a data centre falls to this agent. The
// region of a data centre without members is not known; then only agents of
// any region are left.
func (d *schedulerDuties) holds(dataCentre string) bool {
	members := d.node.board.members.Get()
	holder, ok := duty.Holder(schedulerDuty, dataCentre, regionOf(dataCentre, members), members)
	return ok && holder.Name == d.node.settings.Name
}

// begin starts a run of the scheduler after the end of the last one.
func (d *schedulerDuties) begin(g *group.Group, dataCentre string, last *tenure) *tenure {
	ctx, stop := context.WithCancel(g.Context())
	t := &tenure{held: true, stop: stop, done: make(chan struct{})}
	if last == nil {
		last = &tenure{scheduler: d.build(dataCentre), done: make(chan struct{})}
		close(last.done)
	}
	t.scheduler = last.scheduler
	g.Go(t.scheduler.String(), func(context.Context) error {
		defer close(t.done)
		<-last.done
		d.awaitHandover(ctx, dataCentre)
		return d.keep(ctx, t.scheduler)
	})
	_ = d.node.logger.Log("level", "info", "event", "duty taken", "duty", schedulerDuty, "data-centre", dataCentre)
	return t
}

// keep runs a scheduler until ctx ends. One that was superseded tries again
// after a pause, because the duty may still fall to this agent. Being
// superseded is no failure of the process: two agents may act on a duty for a
// while when their member lists differ.
func (d *schedulerDuties) keep(ctx context.Context, s *scheduler.Scheduler) error {
	for ctx.Err() == nil {
		err := s.Run(ctx)
		if err != nil && !errors.Is(err, scheduler.ErrSuperseded) {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(supersededPause):
		}
	}
	return nil
}

func (d *schedulerDuties) build(dataCentre string) *scheduler.Scheduler {
	s := d.node.settings
	o := scheduler.Default()
	o.DataCentre = dataCentre
	o.Region = s.Region
	o.Holder = d.node.writer.Name()
	o.Workers = s.Agent.Workers
	o.Policy = d.policy
	o.WorkersPerHolder = s.Agent.LeaseWorkers
	o.Timing.TTL = s.Agent.Timeouts.Lease
	o.Timing.RenewInterval = s.Agent.Timeouts.LeaseRenewal
	o.Planner.Weights = s.Agent.Weights
	o.Planner.CheckpointTimeout = s.Agent.Timeouts.Checkpoint
	o.Planner.ReservationWait = s.Agent.Timeouts.ReservationWait
	o.Gang.StartDeadline = s.Agent.Timeouts.GangStart
	o.Holders = leaseHolders{node: d.node, dataCentre: dataCentre, call: o.Timing.CallTimeout}
	o.Logger = d.node.logger
	return scheduler.New(o, d.node.journal, d.node.writer)
}

// release ends all schedulers and waits for them until ctx ends.
func (d *schedulerDuties) release(ctx context.Context) {
	d.mu.Lock()
	d.released = true
	var ending []*tenure
	for _, t := range d.tenures {
		t.held = false
		t.stop()
		ending = append(ending, t)
	}
	d.mu.Unlock()
	for _, t := range ending {
		select {
		case <-t.done:
		case <-ctx.Done():
			return
		}
	}
}

func (d *schedulerDuties) find(dataCentre string) (*scheduler.Scheduler, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tenures[dataCentre]
	switch {
	case t == nil || !t.held && t.ended():
		return nil, twirp.NewError(twirp.Unavailable, "this agent does not schedule data centre "+dataCentre)
	case !t.held:
		return nil, twirp.NewError(twirp.FailedPrecondition, "this agent hands over data centre "+dataCentre)
	}
	return t.scheduler, nil
}

// total sums a counter over the schedulers that ran at this agent.
func (d *schedulerDuties) total(counter func(*scheduler.Counters) *expvar.Int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := int64(0)
	for _, t := range d.tenures {
		sum += counter(t.scheduler.Counters()).Value()
	}
	return float64(sum)
}

// Fleet implements wire.Scheduler.
func (d *schedulerDuties) Fleet(_ context.Context, r *wire.FleetRequest) (*wire.FleetReply, error) {
	s, err := d.find(r.GetDataCentre())
	if err != nil {
		return nil, err
	}
	summary := s.Summary()
	fleet := s.Fleet()
	if len(fleet) == 0 {
		// The term has just begun or ended. An empty fleet would make every
		// guarantee look infeasible to the entries.
		return nil, twirp.NewError(twirp.Unavailable, "the scheduler of "+r.GetDataCentre()+" does not answer yet")
	}
	p := summary.Placement
	reply := &wire.FleetReply{
		FreeAccelerators: int32(p.FreeAccelerators),
		LargestGang:      int32(p.LargestGang),
		Fragmentation:    p.Fragmentation,
		Waiting:          int32(p.Waiting),
		Running:          int32(p.Running),
		Holder:           d.node.settings.Name,
		Workers:          workersToWire(fleet),
	}
	reply.Version = fleetVersion(reply.GetWorkers())
	if r.GetKnownVersion() == reply.GetVersion() {
		reply.Workers = nil
	}
	return reply, nil
}

func workersToWire(fleet []scheduler.WorkerStatus) []*wire.Worker {
	list := make([]*wire.Worker, 0, len(fleet))
	for _, w := range fleet {
		list = append(list, &wire.Worker{
			Name:         w.Worker.Name,
			Rack:         w.Worker.Rack,
			Cores:        w.Worker.Capacity.Cores,
			Memory:       w.Worker.Capacity.Memory,
			Accelerators: int32(w.Worker.Capacity.Accelerators),
			State:        w.State,
		})
	}
	return list
}

// fleetVersion is the same for equal fleets, also of different schedulers.
func fleetVersion(workers []*wire.Worker) uint64 {
	digest := xxhash.New()
	for _, w := range workers {
		_, _ = fmt.Fprintln(digest, w.GetName(), w.GetRack(), w.GetCores(), w.GetMemory(), w.GetAccelerators(), w.GetState())
	}
	return digest.Sum64()
}

// Explain implements wire.Scheduler.
func (d *schedulerDuties) Explain(_ context.Context, r *wire.ExplainRequest) (*wire.ExplainReply, error) {
	s, err := d.find(r.GetDataCentre())
	if err != nil {
		return nil, err
	}
	id := request.Identity{Organisation: r.GetIdentity().GetOrganisation(), ID: r.GetIdentity().GetId()}
	e, ok := s.Explain(id)
	if !ok {
		return &wire.ExplainReply{}, nil
	}
	return &wire.ExplainReply{Found: true, WaitsFor: e.WaitsFor, BlockedBy: e.BlockedBy, WouldStartIf: e.WouldStartIf}, nil
}
