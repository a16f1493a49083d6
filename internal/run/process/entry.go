package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/report"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/entry"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/traffic/admission"
	"wasabihoist/internal/traffic/routing"
)

// balancerGrace is how long an entry that stops keeps accepting calls, so that
// the balancer sees the failing health check first.
const balancerGrace = time.Second

// catchUpInterval is how often an entry proves that its journal is current. An
// entry appends 0.2 records a second for it.
const catchUpInterval = 5 * time.Second

// catchUpRetry follows a failure, so that a short time without an outage
// between two is enough.
const catchUpRetry = 250 * time.Millisecond

// Entry is a process with the role entry.
type Entry struct {
	*node
	entry     *entry.Entry
	collector *report.Collector
	router    *routing.Client
	barrier   *journal.ReadBarrier
	callers   endpoint
	operators endpoint
}

// endpoint is a listener with its server, behind a door. The zero value serves nothing.
type endpoint struct {
	door     *admission.Door
	listener net.Listener
	server   *http.Server
}

// endpointLimits are the limits of callers, operators and minions. The entry has a lower one for
// the bodies of its calls.
var endpointLimits = admission.Limits{MaxBodyBytes: 2 << 20, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}

// newEndpoint listens at an address, which a key of the settings gives.
func (n *node) newEndpoint(env Environment, key string, address netip.AddrPort, share admission.Share, handler http.Handler) (endpoint, error) {
	listener, err := env.listen(key, address)
	if err != nil {
		return endpoint{}, err
	}
	door := admission.New(admission.Options{
		Name: key[strings.LastIndexByte(key, '.')+1:], Machine: admission.NewMachine(0, 0), Share: share, Limits: endpointLimits,
		Registry: metrics.For(n.settings.Name), Log: limitedlog.New(n.logger),
	})
	return endpoint{door, door.Listener(listener), door.Server(handler)}, nil
}

func (e endpoint) start(g *group.Group, name string) {
	if e.server == nil {
		return
	}
	g.Go(name, func(ctx context.Context) error { return webserver.Serve(ctx, e.server, e.listener) })
	g.Go(name+" door", func(ctx context.Context) error { return admission.Run(ctx, e.door) })
}

// shutdown waits for open calls until ctx ends and then closes them.
func (e endpoint) shutdown(ctx context.Context) error {
	if e.server == nil {
		return nil
	}
	return errors.Join(e.server.Shutdown(ctx), e.server.Close())
}

// NewEntry listens at all addresses of the entry. Nothing runs until Run.
func NewEntry(s settings.Settings, env Environment) (*Entry, error) {
	n, err := newNode(s, env)
	if err != nil {
		return nil, err
	}
	e := &Entry{node: n}
	e.collector = report.NewCollector(n.board.holders.Get, e.dialScheduler)
	e.barrier = journal.NewReadBarrier(n.writer)
	e.router = routing.New(routingOptions(s), n.board.agents.Get, n.journal, e.barrier.Wait, n.transport)
	e.entry = entry.New(entryOptions(s), n.journal, n.writer, e.router, e.collector, n.directory.list, e.barrier.Wait)
	e.callers, err = n.newEndpoint(env, "entry.caller-address", s.Entry.CallerAddress, admission.ClientShare, e.entry.CallerHandler())
	if err != nil {
		return nil, errors.Join(err, n.close())
	}
	if s.Entry.OperatorAddress.IsValid() {
		e.operators, err = n.newEndpoint(env, "entry.operator-address", s.Entry.OperatorAddress, admission.InternalShare, e.entry.OperatorHandler())
	}
	if err != nil {
		return nil, errors.Join(err, n.close(), e.callers.listener.Close())
	}
	return e, nil
}

// Run serves until ctx ends, then stops without cutting off a call.
func (e *Entry) Run(ctx context.Context) error {
	e.start()
	e.serveFigures(e.figures())
	e.group.Go(e.collector.String(), e.collector.Run)
	e.group.Go(e.barrier.String(), e.barrier.Run)
	e.startMemberChanges(func(string) bool { return false })
	e.callers.start(e.group, "caller listener")
	e.operators.start(e.group, "operator listener")
	e.group.Go("readiness", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-e.reader.caughtUp:
			e.entry.SetReady()
		}
		return nil
	})
	e.group.Go("catch up", func(ctx context.Context) error {
		e.catchUp(ctx)
		return nil
	})
	e.awaitStop(ctx, e.stop)
	_ = e.logger.Log("level", "info", "event", "started", "role", "entry", "name", e.settings.Name)
	return e.group.Wait()
}

// catchUp proves from time to time that the journal is current. An outage of
// the log only makes the last proof older.
func (e *Entry) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, catchUpInterval)
		pause := catchUpInterval
		if e.router.CatchUp(attempt) != nil {
			pause = catchUpRetry
		}
		cancel()
		_ = group.Pause(ctx, pause)
	}
}

func (e *Entry) stop() error {
	_ = e.logger.Log("level", "info", "event", "draining", "name", e.settings.Name)
	e.entry.Drain()
	time.Sleep(balancerGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Timeouts.Drain)
	defer cancel()
	err := errors.Join(e.callers.shutdown(ctx), e.operators.shutdown(ctx))
	e.leave()
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

func routingOptions(s settings.Settings) routing.Options {
	o := routing.Default()
	o.Region = s.Region
	o.DataCentre = s.DataCentre
	o.LinkBytesPerSecond = float64(s.Entry.LinkBytesPerSecond)
	return o
}

func entryOptions(s settings.Settings) entry.Options {
	o := entry.Default()
	o.Name = s.Name
	o.Tokens = map[string]string{}
	for _, t := range s.Entry.Tokens {
		o.Tokens[t.Secret] = t.Organisation
	}
	o.OperatorToken = s.Entry.OperatorToken
	return o
}

func (e *Entry) dialScheduler(address netip.AddrPort) wire.Scheduler {
	return wire.NewSchedulerProtobufClient("http://"+address.String(), &http.Client{Transport: e.transport.Shared()})
}
