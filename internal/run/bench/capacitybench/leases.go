package capacitybench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/scheduler"
	"wasabihoist/internal/run/bench/usage"
)

// LeaseOptions of a run.
type LeaseOptions struct {
	Workers        []int // Workers are the sizes of the data centre; each is measured with one holder and with the leases shared.
	TasksPerWorker int
	Settle         time.Duration // Settle lies before each measurement.
	Window         time.Duration // Window is the length of a measurement.
	Progress       io.Writer
}

// DefaultLeases returns the options of the command line. The largest size and
// the tasks are those of a data centre at the planned size.
func DefaultLeases() LeaseOptions {
	return LeaseOptions{
		Workers:        []int{60, 180, 443},
		TasksPerWorker: 13,
		Settle:         5 * time.Second,
		Window:         30 * time.Second,
		Progress:       io.Discard,
	}
}

// LeasePoint is the cost of the placing agent and of the average holder. The
// placing agent includes its journal, writer and planner; processor time is
// that of the process, without the stand-ins.
type LeasePoint struct {
	Workers        int
	Tasks          int
	Holders        int     // Holders besides the placing agent; 0 when it holds all leases.
	PlacingBytes   float64 // PlacingBytes a second to holders, or to workers without holders, both ways, with HTTP headers.
	PlacingCores   float64
	PlacingHeap    int64
	HolderBytes    float64 // HolderBytes a second of the average holder to its workers and to the placing agent.
	HolderCores    float64 // HolderCores of the busiest holder.
	HolderHeap     int64   // HolderHeap of the largest holder.
	WorkersLost    int64   // WorkersLost during the measurement; the figures count only when it is 0.
	StartedSeconds float64 // StartedSeconds is how long the start of all tasks took.
}

// LeaseResult holds the measured points.
type LeaseResult struct {
	Points []LeasePoint
}

type leaseJSON struct {
	Workers        int     `json:"workers"`
	Tasks          int     `json:"tasks"`
	Holders        int     `json:"holders"`
	PlacingBytes   float64 `json:"placing-bytes-per-second"`
	PlacingCores   float64 `json:"placing-cores"`
	PlacingHeap    int64   `json:"placing-heap-bytes"`
	HolderBytes    float64 `json:"holder-bytes-per-second"`
	HolderCores    float64 `json:"holder-cores"`
	HolderHeap     int64   `json:"holder-heap-bytes"`
	WorkersLost    int64   `json:"workers-lost"`
	StartedSeconds float64 `json:"started-s"`
}

// JSON encodes the result on one line.
func (r LeaseResult) JSON() ([]byte, error) {
	list := []leaseJSON{}
	for _, p := range r.Points {
		list = append(list, leaseJSON(p))
	}
	return json.Marshal(list)
}

// RunLeases measures all points. In a process that plays a part it serves that
// part instead.
func RunLeases(ctx context.Context, o LeaseOptions) (LeaseResult, error) {
	var r LeaseResult
	if kind, workers, ok := strings.Cut(os.Getenv(partVariable), ":"); ok {
		count, err := strconv.Atoi(workers)
		if err != nil {
			return r, fmt.Errorf("%s: %w", partVariable, err)
		}
		return r, playPart(ctx, kind, count, os.Stdin, os.Stdout)
	}
	for _, workers := range o.Workers {
		for _, shared := range []bool{false, true} {
			points, err := measureLeases(ctx, o, workers, shared)
			if err != nil {
				return r, fmt.Errorf("%d workers, shared %t: %w", workers, shared, err)
			}
			r.Points = append(r.Points, points...)
			_, _ = fmt.Fprintf(o.Progress, "leases of %d workers measured, shared: %t\n", workers, shared)
		}
	}
	return r, nil
}

// parts are the processes of one measurement besides the placing agent, which
// is this one. It implements scheduler.Holders.
type parts struct {
	workers *part
	holders []*part
}

// Names implements scheduler.Holders.
func (x *parts) Names() []string {
	var names []string
	for _, h := range x.holders {
		names = append(names, h.addresses[0].String())
	}
	return names
}

// Dial implements scheduler.Holders.
func (x *parts) Dial(name string) lease.Holder {
	address, err := netip.ParseAddrPort(name)
	if err != nil {
		return lease.UnavailableHolder{}
	}
	fresh := &http.Transport{DisableKeepAlives: true}
	return lease.NewRemoteHolder(address, &http.Transport{MaxIdleConnsPerHost: 16}, fresh, scheduler.DefaultTiming().CallTimeout)
}

func (x *parts) stop() {
	for _, h := range x.holders {
		h.stop()
	}
	if x.workers != nil {
		x.workers.stop()
	}
}

func (x *parts) start(ctx context.Context, workers, holders int) (err error) {
	if x.workers, err = startPart(ctx, workersPart, workers); err != nil {
		return err
	}
	for range holders {
		h, err := startPart(ctx, holderPart, 0)
		if err != nil {
			return err
		}
		x.holders = append(x.holders, h)
	}
	return nil
}

func measureLeases(ctx context.Context, o LeaseOptions, workers int, shared bool) ([]LeasePoint, error) {
	options := scheduler.Default()
	holders := 0
	if shared {
		holders = (workers + options.WorkersPerHolder - 1) / options.WorkersPerHolder
	} else {
		options.WorkersPerHolder = workers
	}
	x := &parts{}
	defer x.stop()
	if err := x.start(ctx, workers, holders); err != nil {
		return nil, err
	}
	options.Holders = x
	s := &site{group: group.New(ctx)}
	defer s.stop()
	before := usage.Heap()
	s.schedule(x.workers.addresses[0], x.workers.addresses[1:], options)
	if err := s.await(ctx, func(x scheduler.Summary) bool { return x.LeasedWorkers == workers }); err != nil {
		return nil, fmt.Errorf("lease %d workers: %w", workers, err)
	}
	idle, err := s.leaseWindow(ctx, o, x, before)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := s.fill(ctx, workers, o.TasksPerWorker); err != nil {
		return nil, err
	}
	started := time.Since(start).Seconds()
	busy, err := s.leaseWindow(ctx, o, x, before)
	busy.Tasks, busy.StartedSeconds = workers*o.TasksPerWorker/gangSize*gangSize, started
	return []LeasePoint{idle, busy}, err
}

// leaseWindow measures once.
func (s *site) leaseWindow(ctx context.Context, o LeaseOptions, x *parts, before int64) (LeasePoint, error) {
	_ = group.Pause(ctx, o.Settle)
	p := LeasePoint{Workers: len(s.workers), Holders: len(x.holders)}
	own := s.counter.read()
	workersFrom, holdersFrom, err := x.usages(false)
	if err != nil {
		return p, err
	}
	_ = group.Pause(ctx, o.Window)
	workersTo, holdersTo, err := x.usages(true)
	if err != nil {
		return p, err
	}
	r := own.until(s.counter.read())
	seconds := time.Since(own.at).Seconds()
	p.PlacingCores, p.PlacingHeap = r.cores, usage.Heap()-before
	p.PlacingBytes = float64(workersTo.Bytes-workersFrom.Bytes) / seconds
	p.WorkersLost = s.scheduler.Counters().LostWorkers.Value()
	if len(x.holders) == 0 {
		return p, ctx.Err()
	}
	p.HolderBytes = p.PlacingBytes / float64(len(x.holders))
	p.PlacingBytes = 0
	for i, to := range holdersTo {
		from := holdersFrom[i]
		bytes := float64(to.Bytes-from.Bytes) / seconds
		p.PlacingBytes += bytes
		p.HolderBytes += bytes / float64(len(x.holders))
		p.HolderCores = max(p.HolderCores, time.Duration(to.CPUNanos-from.CPUNanos).Seconds()/seconds)
		p.HolderHeap = max(p.HolderHeap, to.HeapBytes)
	}
	return p, ctx.Err()
}

// usages asks all parts.
func (x *parts) usages(heap bool) (workers partUsage, holders []partUsage, err error) {
	if workers, err = x.workers.usage(heap); err != nil {
		return workers, nil, err
	}
	for _, h := range x.holders {
		u, err := h.usage(heap)
		if err != nil {
			return workers, nil, err
		}
		holders = append(holders, u)
	}
	return workers, holders, nil
}
