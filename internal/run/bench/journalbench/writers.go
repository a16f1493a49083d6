package journalbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/logservice"
)

// Throughput is what a number of writers achieve together.
type Throughput struct {
	Writers          int
	Seconds          float64
	Records          int64 // Records with a valid verdict.
	Failed           int64 // Failed records had an error or an invalid verdict.
	AppendsPerSecond float64
	RecordsPerSecond float64
	LatencyP50       time.Duration // LatencyP50 is from the submission to the verdict.
	LatencyP99       time.Duration
	LatencyMax       time.Duration
	CPUPerSecond     float64 // CPUPerSecond is the share of one core of all writers, readers and the stand-in.
}

// load is what the callers of all writers share.
type load struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // latency in microseconds.
	records atomic.Int64
	failed  atomic.Int64
	next    atomic.Int64
}

// measureWriters lets processes append claims, each process with a journal of
// its own that follows the log.
func measureWriters(ctx context.Context, count int, o Options) (Throughput, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Throughput{}, err
	}
	server := &http.Server{Handler: logservice.New(logservice.DefaultLimits()).Handler(), ReadHeaderTimeout: time.Second}
	processes := group.New(ctx)
	processes.Go("log service", func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	address := netip.MustParseAddrPort(listener.Addr().String())
	const maxMicros, digits = 60_000_000, 3
	l := &load{latency: hdrhistogram.New(1, maxMicros, digits)}
	callers := group.New(ctx)
	observer := journal.New()
	began, cpu := time.Now(), usage.ProcessorTime()
	end, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	for i := range count {
		log := platformlog.NewClient(address, nil)
		j := journal.New()
		if i == 0 {
			observer = j
		}
		w := journal.NewWriter(fmt.Sprintf("writer-%d@1", i), log, j, journal.DefaultWriterOptions())
		processes.Go("writer", w.Run)
		processes.Go("follower", journal.NewFollower(j, log, nil).Run)
		for range o.Callers {
			callers.Go("caller", func(context.Context) error { return l.call(end, w) })
		}
	}
	err = callers.Wait()
	seconds := time.Since(began).Seconds()
	appends := float64(observer.Next() - 1)
	t := l.result(count, seconds, appends, usage.ProcessorTime()-cpu)
	processes.Stop()
	return t, errors.Join(err, server.Close(), processes.Wait())
}

// call submits one claim after the other until ctx ends. The last one may be
// cut off; it is not counted.
func (l *load) call(ctx context.Context, w *journal.Writer) error {
	for ctx.Err() == nil {
		began := time.Now()
		verdict, err := w.Append(ctx, answeredClaim(int(l.next.Add(1)), 0)[0])
		switch {
		case ctx.Err() != nil:
		case err != nil || !verdict.Valid:
			l.failed.Add(1)
		default:
			l.records.Add(1)
			l.mu.Lock()
			_ = l.latency.RecordValue(time.Since(began).Microseconds())
			l.mu.Unlock()
		}
	}
	return nil
}

func (l *load) result(count int, seconds, appends float64, cpu time.Duration) Throughput {
	const median, high = 50, 99
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Throughput{
		Writers: count, Seconds: seconds, Records: l.records.Load(), Failed: l.failed.Load(),
		AppendsPerSecond: appends / seconds, RecordsPerSecond: float64(l.records.Load()) / seconds,
		LatencyP50: micros(l.latency.ValueAtQuantile(median)), LatencyP99: micros(l.latency.ValueAtQuantile(high)),
		LatencyMax: micros(l.latency.Max()), CPUPerSecond: cpu.Seconds() / seconds,
	}
}
