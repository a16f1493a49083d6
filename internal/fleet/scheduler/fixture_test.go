package scheduler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// stateTimeout is how long a state may take to appear. It is several times the
// lease TTL, so that a loaded machine gives the same result.
const stateTimeout = 20 * time.Second

func testTiming() Timing {
	return Timing{
		TTL: time.Second, RenewInterval: 200 * time.Millisecond, CallTimeout: 400 * time.Millisecond, RetryDelay: 50 * time.Millisecond,
		StartupGrace: 500 * time.Millisecond, ClaimDelay: 400 * time.Millisecond, ReclaimInterval: time.Second,
		DrainTimeout: time.Second, DecisionInterval: 50 * time.Millisecond, UsageInterval: time.Second,
		PartitionInterval: 100 * time.Millisecond,
	}
}

// gate blocks the calls to workers under some leases, as if the holders of these
// leases were paused.
type gate struct {
	mu     sync.Mutex
	leases []string // leases are prefixes of the lease names whose calls are blocked.
	open   chan struct{}
}

// pause blocks the calls under all leases of a scheduler.
func (g *gate) pause(holder string) { g.pauseLeases([]string{holder + "#"}) }

func (g *gate) pauseLeases(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leases, g.open = names, make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leases != nil {
		g.leases = nil
		close(g.open)
	}
}

// blocks reports whether a call is under one of the leases. The caller holds g.mu.
func (g *gate) blocks(body []byte) bool {
	return slices.ContainsFunc(g.leases, func(name string) bool {
		return bytes.Contains(body, []byte(`"holder":"`+name))
	})
}

func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		r.Body = io.NopCloser(bytes.NewReader(body))
		g.mu.Lock()
		blocked, open := g.blocks(body), g.open
		g.mu.Unlock()
		if blocked {
			<-open
		}
		next.ServeHTTP(w, r)
	})
}

type fixture struct {
	c       *qt.C
	log     *logservice.Service
	address netip.AddrPort
	hosts   map[string]*workerhost.Host
	workers []worker.Worker
	gate    gate
	agents  *agents // agents that share the leases; nil when the scheduler holds all of them.
}

// newFixture starts the log service and workers with two accelerators each, two
// to a rack.
func newFixture(t *testing.T, workers int, workload workerhost.Workload) *fixture {
	t.Helper()
	f := &fixture{c: qt.New(t), log: logservice.New(logservice.DefaultLimits()), hosts: map[string]*workerhost.Host{}}
	f.address = f.serve(t, f.log.Handler())
	for i := range workers {
		capacity := worker.Resources{Cores: 8, Memory: 100, Accelerators: 2}
		h := workerhost.New(capacity, workload)
		name := fmt.Sprintf("w%d", i)
		f.hosts[name] = h
		f.workers = append(f.workers, worker.Worker{
			Name: name, Rack: fmt.Sprintf("r%d", i/2), DataCentre: "acari", Capacity: capacity,
			Address: f.serve(t, f.gate.wrap(h.Handler())),
		})
	}
	t.Cleanup(func() {
		f.gate.resume()
		for _, h := range f.hosts {
			h.SetFaults(workerhost.Faults{})
		}
	})
	return f
}

func (f *fixture) serve(t *testing.T, h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// process is one process with a journal and, after run, the scheduler duty.
type process struct {
	*fixture
	scheduler    *Scheduler
	journal      *journal.Journal
	writer       *journal.Writer
	processGroup *group.Group
	dutyGroup    *group.Group
	result       chan error
}

func (f *fixture) process(t *testing.T, name string) *process {
	t.Helper()
	return f.processWithTiming(t, name, testTiming())
}

func (f *fixture) processWithTiming(t *testing.T, name string, timing Timing) *process {
	t.Helper()
	return f.processInDataCentre(t, name, "acari", timing)
}

// processInDataCentre returns a process that schedules for the data centre.
func (f *fixture) processInDataCentre(t *testing.T, name, dataCentre string, timing Timing) *process {
	t.Helper()
	o := journal.DefaultWriterOptions()
	o.Spacing, o.Backoff = 5*time.Millisecond, 20*time.Millisecond
	client := platformlog.NewClient(f.address, nil)
	j := journal.New()
	p := &process{fixture: f, journal: j, writer: journal.NewWriter(name, client, j, o), result: make(chan error, 1)}
	p.processGroup = group.New(context.Background())
	p.processGroup.Go("writer", p.writer.Run)
	p.processGroup.Go("follower", journal.NewFollower(j, client, nil).Run)
	options := Default()
	options.DataCentre, options.Holder, options.Workers = dataCentre, name, f.workers
	options.Timing = timing
	if f.agents != nil {
		options.Holders, options.WorkersPerHolder = f.agents, workersPerAgent
	}
	options.Gang = gang.Options{StartDeadline: 3 * time.Second, StopRetry: 50 * time.Millisecond, StopTries: 3,
		RollbackTimeout: 300 * time.Millisecond}
	options.Health = HealthOptions{QuickFailureTime: 300 * time.Millisecond, FailureThreshold: 3, QuarantineTime: time.Second, AvoidTime: 400 * time.Millisecond}
	p.scheduler = New(options, j, p.writer)
	p.dutyGroup = group.New(context.Background())
	t.Cleanup(func() {
		f.gate.resume()
		p.kill()
		p.dutyGroup.Stop()
		_ = p.dutyGroup.Wait()
		_ = p.processGroup.Wait()
	})
	return p
}

func (p *process) run() *process {
	p.dutyGroup.Go("duty", func(ctx context.Context) error {
		p.result <- p.scheduler.Run(ctx)
		return nil
	})
	return p
}

// runUntilStopped runs the scheduler and runs it again whenever another one
// supersedes it, as the process with the duty does.
func (p *process) runUntilStopped() {
	p.dutyGroup.Go("duty", func(ctx context.Context) error {
		for ctx.Err() == nil && errors.Is(p.scheduler.Run(ctx), ErrSuperseded) {
			sleep(ctx, testTiming().TTL)
		}
		return nil
	})
}

// kill ends the process without any clean-up.
func (p *process) kill() {
	p.processGroup.Stop()
	if t := p.scheduler.current.Load(); t != nil {
		t.work.Stop()
	}
}

// inLoop runs a function in the loop of the current term.
func (p *process) inLoop(do func(t *term)) {
	p.c.Helper()
	ran := callLoop(p.scheduler, func(t *term) bool {
		do(t)
		return true
	})
	p.c.Assert(ran, qt.IsTrue)
}

func (p *process) append(r journal.Record) {
	p.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	v, err := p.writer.Append(ctx, r)
	p.c.Assert(err, qt.IsNil)
	p.c.Assert(v.Valid, qt.IsTrue, qt.Commentf("%s", v.Reason))
}

func (p *process) submit(j job.Job) request.Identity {
	p.c.Helper()
	p.append(journal.JobSubmitted{Job: j})
	return j.Identity
}

// await waits until the condition holds, for at most stateTimeout.
func (f *fixture) await(what string, condition func() bool) {
	f.c.Helper()
	for deadline := time.Now().Add(stateTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.c.Fatalf("not within %s: %s", stateTimeout, what)
}

func (p *process) awaitState(id request.Identity, s job.State) journal.JobState {
	p.c.Helper()
	p.await(fmt.Sprintf("%s is %s", id, s), func() bool {
		js, _ := p.journal.Job(id)
		return js.State == s
	})
	js, _ := p.journal.Job(id)
	return js
}

// gangOf returns an idempotent job whose members each need a whole worker of one
// rack.
func gangOf(org, id string, members int, runTime time.Duration) job.Job {
	return job.Job{
		Identity: request.Identity{Organisation: org, ID: id}, Kind: "match", Idempotent: true,
		Shape: organisation.Shape{Members: members, Accelerators: 2, Adjacency: organisation.WithinRack},
		Cores: 1, Memory: 40, RunTime: runTime, Submitted: time.Now(),
	}
}

// nonIdempotent returns the job as one that must run at most once.
func nonIdempotent(j job.Job) job.Job {
	j.Idempotent = false
	return j
}

// attempts returns the intervals of the job's members by attempt. It fails the
// test when an attempt was split: a member was released before all members of the
// attempt were started.
func (f *fixture) attempts(j job.Job) map[int][]workerhost.Interval {
	f.c.Helper()
	attempts := map[int][]workerhost.Interval{}
	for _, h := range f.hosts {
		for _, i := range h.History() {
			task, err := parseTaskName(i.Task)
			f.c.Assert(err, qt.IsNil)
			if task.Job == j.Identity {
				attempts[task.Attempt] = append(attempts[task.Attempt], i)
			}
		}
	}
	for n, members := range attempts {
		for _, i := range members {
			if i.Released.IsZero() {
				continue
			}
			f.c.Check(members, qt.HasLen, j.Shape.Members, qt.Commentf("attempt %d was split", n))
			for _, other := range members {
				f.c.Check(other.Started.After(i.Released), qt.IsFalse, qt.Commentf("attempt %d was split", n))
			}
		}
	}
	return attempts
}

// runs counts the attempts of which any member was released.
func (f *fixture) runs(j job.Job) int {
	f.c.Helper()
	count := 0
	for _, members := range f.attempts(j) {
		for _, i := range members {
			if !i.Released.IsZero() {
				count++
				break
			}
		}
	}
	return count
}

// released counts the members that were released.
func (f *fixture) released(j job.Job) int {
	f.c.Helper()
	count := 0
	for _, members := range f.attempts(j) {
		for _, i := range members {
			if !i.Released.IsZero() {
				count++
			}
		}
	}
	return count
}

// live counts the members that were started and have not ended, held or released.
func (f *fixture) live(j job.Job) int {
	count := 0
	for _, members := range f.attempts(j) {
		for _, i := range members {
			if i.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}
