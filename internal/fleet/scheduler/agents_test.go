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

// workersPerAgent is one rack of the fixture.
const workersPerAgent = 2

// sharedLimits leave time to move a lease before it lapses, as those of
// production do.
func sharedLimits() Timing {
	l := testLimits()
	l.TTL = 4 * time.Second
	return l
}

// agents are the holders of a data centre. It implements Holders.
type agents struct {
	mu   sync.Mutex
	list map[string]*agent
}

// agent serves a table over Twirp.
type agent struct {
	table   *lease.Table
	work    *group.Group
	address netip.AddrPort
	left    bool         // left agents are not in the member list.
	queries atomic.Int64 // queries that have arrived.

	mu   sync.Mutex
	open chan struct{} // open is closed unless calls to the agent are held back.
}

// share gives the fixture a number of agents besides the placing one.
func (f *fixture) share(t *testing.T, count int) *fixture {
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
			// The call is carried out late even when the caller has gone.
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
		if !a.left {
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
	return lease.NewRemote(x.list[name].address, http.DefaultTransport, fresh, sharedLimits().CallTimeout)
}

// leave takes the agent off the member list.
func (x *agents) leave(a *agent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	a.left = true
}

func (a *agent) kill() { a.work.Stop() }

// silence holds back all calls to the agent. Its leases are renewed meanwhile.
func (a *agent) silence() {
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
// of all leases that it holds.
func (p *process) holderOf(name string) (*agent, []string) {
	p.c.Helper()
	var holder string
	var leases []string
	p.inLoop(func(t *term) {
		holder = t.hosts[name].holder
		for _, h := range t.hosts {
			if h.holder == holder {
				leases = append(leases, fmt.Sprintf("%s#%d\"", t.options.Holder, h.generation))
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
		shared := ask(p.scheduler, func(t *term) bool {
			_, own := t.links[t.options.Holder]
			return !own && len(t.links) > 1
		})
		return shared && p.scheduler.Summary().LeasedWorkers == len(p.workers)
	})
}

// pause holds back all that the placing agent has to say to its holders.
func (p *process) pause() (resume func()) {
	var held []*sync.Mutex
	p.inLoop(func(t *term) {
		for _, l := range t.links {
			held = append(held, &l.mu)
		}
		for _, s := range t.seats {
			held = append(held, &s.mu)
		}
	})
	for _, m := range held {
		m.Lock()
	}
	return func() {
		for _, m := range held {
			m.Unlock()
		}
	}
}

func (p *process) awaitStepDown() {
	p.c.Helper()
	select {
	case err := <-p.result:
		p.c.Assert(errors.Is(err, ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(patience):
		p.c.Fatal("the former placing agent did not step down")
	}
}

// fault is something that befalls an agent which holds leases.
type fault struct {
	begin func(f *fixture, a *agent, leases []string)
	end   func(f *fixture, a *agent)
}

// faults of a holder. Only its death is noticed by membership here.
func faults() map[string]fault {
	return map[string]fault{
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
				a.silence()
			},
			end: func(f *fixture, a *agent) {
				f.gate.resume()
				a.resume()
			},
		},
		"is silent": {
			begin: func(_ *fixture, a *agent, _ []string) { a.silence() },
			end:   func(_ *fixture, a *agent) { a.resume() },
		},
	}
}
