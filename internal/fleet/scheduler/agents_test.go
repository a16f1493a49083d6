package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/lease"
)

// workersPerAgent is the number of workers in one rack of the fixture.
const workersPerAgent = 2

// sharedTiming is for schedulers whose leases are divided among agents. Its TTL
// leaves time to move a lease before it expires, as in production.
func sharedTiming() Timing {
	timing := testTiming()
	timing.TTL = 4 * time.Second
	return timing
}

// agents are the lease holders of a data centre. It implements Holders.
type agents struct {
	mu   sync.Mutex
	list map[string]*agent
}

// agent serves a lease table over Twirp.
type agent struct {
	table   *lease.Table
	work    *group.Group
	address netip.AddrPort
	hasLeft bool         // hasLeft agents are not in the member list.
	queries atomic.Int64 // queries counts the queries that have arrived.

	mu   sync.Mutex
	open chan struct{} // open is closed unless calls to the agent are blocked.
}

// shareLeases starts agents that can hold the leases of the fixture's workers.
func (f *fixture) shareLeases(t *testing.T, count int) *fixture {
	f.agents = &agents{list: map[string]*agent{}}
	for i := range count {
		a := &agent{table: lease.NewTable(), work: group.New(context.Background()), open: make(chan struct{})}
		close(a.open)
		a.work.Go(a.table.String(), a.table.Run)
		next := wire.NewLeaseHolderServer(lease.NewServer(a.table))
		a.address = f.serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a.queries.Add(1)
			a.mu.Lock()
			open := a.open
			a.mu.Unlock()
			<-open
			if a.work.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			// The call is carried out even when the caller has gone meanwhile.
			next.ServeHTTP(w, r.WithContext(context.WithoutCancel(r.Context())))
		}))
		f.agents.list[fmt.Sprintf("h%d", i)] = a
		t.Cleanup(func() {
			f.gate.resume()
			a.resume()
			a.kill()
			_ = a.work.Wait()
		})
	}
	return f
}

// Names implements Holders.
func (x *agents) Names() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var names []string
	for name, a := range x.list {
		if !a.hasLeft {
			names = append(names, name)
		}
	}
	return names
}

// Dial implements Holders.
func (x *agents) Dial(name string) lease.Holder {
	x.mu.Lock()
	defer x.mu.Unlock()
	fresh := &http.Transport{DisableKeepAlives: true}
	return lease.NewRemoteHolder(x.list[name].address, http.DefaultTransport, fresh, sharedTiming().CallTimeout)
}

// leave removes the agent from the member list.
func (x *agents) leave(a *agent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a.hasLeft = true
}

func (a *agent) kill() { a.work.Stop() }

// blockCalls blocks all calls to the agent. The agent keeps renewing its leases.
func (a *agent) blockCalls() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open = make(chan struct{})
}

func (a *agent) resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.open:
	default:
		close(a.open)
	}
}

// holderOf returns the agent that holds a worker for a scheduler, and the names
// of all leases that the agent holds.
func (p *process) holderOf(name string) (*agent, []string) {
	p.c.Helper()
	var holder string
	var leases []string
	p.inLoop(func(t *term) {
		holder = t.workers[name].holder
		for _, ws := range t.workers {
			if ws.holder == holder {
				leases = append(leases, fmt.Sprintf("%s#%d\"", t.options.Holder, ws.generation))
			}
		}
	})
	a := p.agents.list[holder]
	p.c.Assert(a, qt.IsNotNil, qt.Commentf("%s", holder))
	return a, leases
}

// awaitShared waits until all workers are leased through agents.
func (p *process) awaitShared() {
	p.c.Helper()
	p.await("workers are leased through the agents", func() bool {
		shared := callLoop(p.scheduler, func(t *term) bool {
			_, own := t.holderClients[t.options.Holder]
			return !own && len(t.holderClients) > 1
		})
		return shared && p.scheduler.Summary().LeasedWorkers == len(p.workers)
	})
}

// pause blocks all calls of the scheduler to its lease holders, by locking the
// mutexes of their clients and of the worker routes.
func (p *process) pause() (resume func()) {
	var locked []*sync.Mutex
	p.inLoop(func(t *term) {
		for _, hc := range t.holderClients {
			locked = append(locked, &hc.mu)
		}
		for _, route := range t.routes {
			locked = append(locked, &route.mu)
		}
	})
	for _, m := range locked {
		m.Lock()
	}
	return func() {
		for _, m := range locked {
			m.Unlock()
		}
	}
}

func (p *process) awaitStepDown() {
	p.c.Helper()
	select {
	case err := <-p.result:
		p.c.Assert(errors.Is(err, ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(stateTimeout):
		p.c.Fatal("the superseded scheduler did not step down")
	}
}

// holderFault is a fault of an agent that holds leases.
type holderFault struct {
	begin func(f *fixture, a *agent, leases []string)
	end   func(f *fixture, a *agent)
}

// holderFaults returns the faults by name. Only "dies" removes the agent from the
// member list. An agent that pauses stops renewing its leases, and one that is
// silent still renews them.
func holderFaults() map[string]holderFault {
	return map[string]holderFault{
		"dies": {
			begin: func(f *fixture, a *agent, _ []string) {
				a.kill()
				f.agents.leave(a)
			},
			end: func(*fixture, *agent) {},
		},
		"dies unnoticed": {
			begin: func(_ *fixture, a *agent, _ []string) { a.kill() },
			end:   func(*fixture, *agent) {},
		},
		"pauses": {
			begin: func(f *fixture, a *agent, leases []string) {
				f.gate.pauseLeases(leases)
				a.blockCalls()
			},
			end: func(f *fixture, a *agent) {
				f.gate.resume()
				a.resume()
			},
		},
		"is silent": {
			begin: func(_ *fixture, a *agent, _ []string) { a.blockCalls() },
			end:   func(_ *fixture, a *agent) { a.resume() },
		},
	}
}
