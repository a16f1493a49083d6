package process

import (
	"context"
	"errors"
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
	running  map[string]*runningScheduler
	released bool // released is set once by a planned stop.
}

// runningScheduler is a scheduler with the means to end it.
type runningScheduler struct {
	scheduler *scheduler.Scheduler
	stop      context.CancelFunc
	done      chan struct{}
}

func newSchedulerDuties(n *node) (*schedulerDuties, error) {
	policy, err := placement.ParsePolicy(string(n.settings.Agent.Policy))
	if err != nil {
		return nil, fmt.Errorf("agent.policy: %w", err)
	}
	d := &schedulerDuties{node: n, policy: policy, workers: map[string][]worker.Worker{}, running: map[string]*runningScheduler{}}
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
		r := d.running[dataCentre]
		switch {
		case held && r == nil:
			d.running[dataCentre] = d.begin(g, dataCentre)
		case !held && r != nil:
			r.stop()
			delete(d.running, dataCentre)
		}
	}
}

// holds reports whether the duty of a data centre falls to this agent. The
// region of a data centre without members is not known; then only agents of
// any region are left.
func (d *schedulerDuties) holds(dataCentre string) bool {
	members := d.node.board.members.Get()
	region := ""
	for _, m := range members {
		if m.DataCentre == dataCentre {
			region = m.Region
			break
		}
	}
	holder, ok := duty.Holder(schedulerDuty, dataCentre, region, members)
	return ok && holder.Name == d.node.settings.Name
}

func (d *schedulerDuties) begin(g *group.Group, dataCentre string) *runningScheduler {
	ctx, stop := context.WithCancel(g.Context())
	r := &runningScheduler{scheduler: d.build(dataCentre), stop: stop, done: make(chan struct{})}
	g.Go(r.scheduler.String(), func(context.Context) error {
		defer close(r.done)
		return d.keep(ctx, r.scheduler)
	})
	_ = d.node.logger.Log("level", "info", "event", "duty taken", "duty", schedulerDuty, "data-centre", dataCentre)
	return r
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
	o.Limits.TTL = s.Agent.Timeouts.Lease
	o.Limits.Renew = s.Agent.Timeouts.LeaseRenewal
	o.Planner.Weights = s.Agent.Weights
	o.Planner.Checkpoint = s.Agent.Timeouts.Checkpoint
	o.Planner.MaxWait = s.Agent.Timeouts.ReservationWait
	o.Gang.StartDeadline = s.Agent.Timeouts.GangStart
	o.Logger = d.node.logger
	return scheduler.New(o, d.node.journal, d.node.writer)
}

// release ends all schedulers and waits for them until ctx ends.
func (d *schedulerDuties) release(ctx context.Context) {
	d.mu.Lock()
	d.released = true
	var stopped []*runningScheduler
	for dataCentre, r := range d.running {
		r.stop()
		stopped = append(stopped, r)
		delete(d.running, dataCentre)
	}
	d.mu.Unlock()
	for _, r := range stopped {
		select {
		case <-r.done:
		case <-ctx.Done():
			return
		}
	}
}

func (d *schedulerDuties) find(dataCentre string) (*scheduler.Scheduler, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.running[dataCentre]
	if r == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this agent does not schedule data centre "+dataCentre)
	}
	return r.scheduler, nil
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
