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
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/relay"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/logservice"
)

// Throughput is what a number of writers achieve together.
type Throughput struct {
	Writers          int
	Relays           int // Relays is 0 when each writer appends directly.
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

// site is a log service with its relays on loopback.
type site struct {
	group  *group.Group
	log    netip.AddrPort
	relays []netip.AddrPort
}

func startSite(ctx context.Context, relays int) (*site, error) {
	s := &site{group: group.New(ctx)}
	var err error
	s.log, err = s.serve("log service", logservice.New(logservice.DefaultLimits()).Handler())
	for range relays {
		r := relay.New(relay.Default(), platformlog.NewClient(s.log, nil))
		s.group.Go("relay", r.Run)
		address, serveErr := s.serve("relay service", wire.NewRelayServer(relay.NewServer(r)))
		err = errors.Join(err, serveErr)
		s.relays = append(s.relays, address)
	}
	if err != nil {
		s.group.Stop()
		return nil, errors.Join(err, s.group.Wait())
	}
	return s, nil
}

func (s *site) serve(name string, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.group.Go(name, func(ctx context.Context) error {
		defer func() { _ = server.Close() }()
		return webserver.Serve(ctx, server, listener)
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// appends returns the log as the nth writer uses it.
func (s *site) appends(n int, direct platformlog.Log) platformlog.Log {
	if len(s.relays) == 0 {
		return direct
	}
	return relay.NewLog(direct, fixedRelay(s.relays[n%len(s.relays)]), relay.DialOver(&http.Transport{DisableKeepAlives: true}), nil, netip.AddrPort{})
}

// fixedRelay implements relay.Directory.
type fixedRelay netip.AddrPort

// Relay implements relay.Directory.
func (f fixedRelay) Relay() (netip.AddrPort, bool) { return netip.AddrPort(f), true }

// measureWriters lets processes append claims, each process with a journal of
// its own that follows the log.
func measureWriters(ctx context.Context, writers Writers, o Options) (Throughput, error) {
	s, err := startSite(ctx, writers.Relays)
	if err != nil {
		return Throughput{}, err
	}
	processes := group.New(ctx)
	const maxMicros, digits = 60_000_000, 3
	l := &load{latency: hdrhistogram.New(1, maxMicros, digits)}
	callers := group.New(ctx)
	observer := journal.New()
	began, cpu := time.Now(), usage.ProcessorTime()
	end, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	for i := range writers.Processes {
		log := platformlog.NewClient(s.log, nil)
		j := journal.New()
		if i == 0 {
			observer = j
		}
		w := journal.NewWriter(fmt.Sprintf("writer-%d@1", i), s.appends(i, log), j, journal.DefaultWriterOptions())
		processes.Go("writer", w.Run)
		processes.Go("follower", journal.NewFollower(j, log, nil).Run)
		for range o.Callers {
			callers.Go("caller", func(context.Context) error { return l.call(end, w) })
		}
	}
	err = callers.Wait()
	seconds := time.Since(began).Seconds()
	appends := float64(observer.Next() - 1)
	t := l.result(writers, seconds, appends, usage.ProcessorTime()-cpu)
	processes.Stop()
	err = errors.Join(err, processes.Wait())
	s.group.Stop()
	return t, errors.Join(err, s.group.Wait())
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

func (l *load) result(writers Writers, seconds, appends float64, cpu time.Duration) Throughput {
	const median, high = 50, 99
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Throughput{
		Writers: writers.Processes, Relays: writers.Relays, Seconds: seconds, Records: l.records.Load(), Failed: l.failed.Load(),
		AppendsPerSecond: appends / seconds, RecordsPerSecond: float64(l.records.Load()) / seconds,
		LatencyP50: micros(l.latency.ValueAtQuantile(median)), LatencyP99: micros(l.latency.ValueAtQuantile(high)),
		LatencyMax: micros(l.latency.Max()), CPUPerSecond: cpu.Seconds() / seconds,
	}
}
