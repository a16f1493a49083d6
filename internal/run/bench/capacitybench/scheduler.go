package capacitybench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/scheduler"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

const (
	dataCentre     = "capacity"
	workersPerRack = 3
	headerTimeout  = 5 * time.Second
	readyLimit     = 30 * time.Second
	readyPause     = 50 * time.Millisecond
	longRunTime    = time.Hour
	memberMemory   = 1_000_000
	gangSize       = 20
)

var workerCapacity = worker.Resources{Cores: 64, Memory: 64_000_000_000, Accelerators: 1}

// SchedulerPoint is the cost of the scheduler duty for one size. Processor
// time and memory include the stand-ins of the workers, so they are upper
// bounds.
type SchedulerPoint struct {
	Workers        int
	Tasks          int
	BytesPerSecond float64 // BytesPerSecond between scheduler and workers, both ways, with HTTP headers.
	Cores          float64
	HeapBytes      int64 // HeapBytes is the growth since before the start.
}

// site is a data centre of stand-ins with its scheduler.
type site struct {
	group     *group.Group
	counter   bytesCounter
	workers   []worker.Worker
	journal   *journal.Journal
	writer    *journal.Writer
	scheduler *scheduler.Scheduler
}

// measureScheduler runs a scheduler over a number of workers, idle and with
// long tasks on each worker.
func measureScheduler(ctx context.Context, o Options, workers int) ([]SchedulerPoint, error) {
	before := usage.Heap()
	s := &site{group: group.New(ctx)}
	defer s.stop()
	if err := s.start(workers); err != nil {
		return nil, err
	}
	if err := s.await(ctx, func(x scheduler.Summary) bool { return x.LeasedWorkers == workers }); err != nil {
		return nil, fmt.Errorf("lease %d workers: %w", workers, err)
	}
	idle := s.window(ctx, o, workers, 0, before)
	tasks := workers * o.TasksPerWorker
	if err := s.fill(ctx, workers, o.TasksPerWorker); err != nil {
		return nil, err
	}
	busy := s.window(ctx, o, workers, tasks, before)
	return []SchedulerPoint{idle, busy}, ctx.Err()
}

func (s *site) start(workers int) error {
	logAddress, err := s.serve(logservice.New(logservice.DefaultLimits()).Handler(), false)
	if err != nil {
		return err
	}
	var addresses []netip.AddrPort
	for range workers {
		address, err := s.serve(workerhost.New(workerCapacity, nil).Handler(), true)
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	s.schedule(logAddress, addresses, scheduler.Default())
	return nil
}

// schedule starts the scheduler over workers and a log that run already.
func (s *site) schedule(logAddress netip.AddrPort, workers []netip.AddrPort, o scheduler.Options) {
	for i, address := range workers {
		s.workers = append(s.workers, worker.Worker{
			Name:       fmt.Sprintf("worker-%d", i),
			Rack:       fmt.Sprintf("rack-%d", i/workersPerRack),
			DataCentre: dataCentre,
			Address:    address,
			Capacity:   workerCapacity,
		})
	}
	client := platformlog.NewClient(logAddress, nil)
	s.journal = journal.New()
	s.writer = journal.NewWriter("capacity@1", client, s.journal, journal.DefaultWriterOptions())
	s.group.Go("writer", s.writer.Run)
	s.group.Go("follower", journal.NewFollower(s.journal, client, noSnapshots{}).Run)
	o.DataCentre = dataCentre
	o.Holder = s.writer.Name()
	o.Workers = s.workers
	s.scheduler = scheduler.New(o, s.journal, s.writer)
	s.group.Go(s.scheduler.String(), s.scheduler.Run)
}

// noSnapshots has none; the log of a measurement is short.
type noSnapshots struct{}

// Snapshot implements journal.SnapshotSource.
func (noSnapshots) Snapshot(context.Context, int64) (*journal.Restored, error) {
	return nil, journal.ErrNoSnapshot
}

func (s *site) serve(handler http.Handler, counted bool) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return address, fmt.Errorf("listen: %w", err)
	}
	if counted {
		listener = s.counter.wrap(listener)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.group.Go("stand-in", func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	return address, nil
}

func (s *site) await(ctx context.Context, reached func(scheduler.Summary) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !reached(s.scheduler.Summary()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPause):
		}
	}
	return nil
}

// fill submits one long gang for each batch of workers and waits until all of
// them run.
func (s *site) fill(ctx context.Context, workers, perWorker int) error {
	jobs := workers * perWorker / gangSize
	_, err := s.writer.Append(ctx, journal.ConfigurationPublished{
		Organisations: []organisation.Organisation{{Name: "capacity", Plan: "capacity"}},
		Plans:         []organisation.Plan{{Name: "capacity", Kinds: []string{"long"}, Share: 1}},
	})
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	for i := range jobs {
		j := job.Job{
			Identity:   request.Identity{Organisation: "capacity", ID: fmt.Sprintf("job-%d", i)},
			Kind:       "long",
			Shape:      organisation.Shape{Members: gangSize, Adjacency: organisation.WithinDataCentre},
			Cores:      1,
			Memory:     memberMemory,
			RunTime:    longRunTime,
			Idempotent: true,
			Submitted:  time.Now(),
		}
		if _, err := s.writer.Append(ctx, journal.JobSubmitted{Job: j}); err != nil {
			return fmt.Errorf("submit: %w", err)
		}
	}
	err = s.await(ctx, func(scheduler.Summary) bool { return s.runningJobs() == jobs })
	if err != nil {
		return fmt.Errorf("start %d jobs, %d run: %w", jobs, s.runningJobs(), err)
	}
	return nil
}

func (s *site) runningJobs() int {
	running := 0
	for _, j := range s.journal.Jobs() {
		if j.State == job.Running {
			running++
		}
	}
	return running
}

func (s *site) window(ctx context.Context, o Options, workers, tasks int, before int64) SchedulerPoint {
	_ = group.Pause(ctx, o.Settle)
	from := s.counter.read()
	_ = group.Pause(ctx, o.Window)
	r := from.until(s.counter.read())
	return SchedulerPoint{
		Workers:        workers,
		Tasks:          tasks,
		BytesPerSecond: r.bytesPerSecond,
		Cores:          r.cores,
		HeapBytes:      usage.Heap() - before,
	}
}

func (s *site) stop() {
	s.group.Stop()
	_ = s.group.Wait()
}
