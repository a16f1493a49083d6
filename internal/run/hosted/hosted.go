// Package hosted assembles the processes that run on a platform with a store:
// entries, one of which runs the coordinator, and the agents on the hosts of
// minions. The adapters of the platform are passed in as options.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/traffic/admission"
)

const (
	// programBytes is the memory that the program itself takes outside of the Go runtime.
	programBytes = 16 << 20
	// memoryShare is the part of the other memory that becomes the soft limit of the Go
	// runtime; the rest is for kernel buffers, the C library and collections that come late.
	memoryShare = 0.7
	// minMemoryShare is the least part of the memory limit that becomes the soft limit.
	minMemoryShare = 0.3
	// announceTimeout bounds one attempt to write the record of a member.
	announceTimeout    = time.Second
	announceRetryDelay = 200 * time.Millisecond
)

// limitMemory makes the runtime collect garbage before the process reaches its
// memory limit. 0 means that there is no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		limit := float64(megabytes) * (1 << 20)
		debug.SetMemoryLimit(int64(max(minMemoryShare*limit, memoryShare*(limit-programBytes))))
	}
}

// Endpoint is a listen address and its handler. The name appears in log lines
// and errors.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	Share   admission.Share  // Share is what its clients may take of the machine.
	Limits  admission.Limits // Limits are in force until the configuration sets others.
}

// listeningEndpoint is an endpoint with its open listener and its server.
type listeningEndpoint struct {
	Endpoint
	door     *admission.Door
	listener net.Listener
	server   *http.Server
}

// listen listens on the addresses of all endpoints. If one fails, it closes the
// others and returns an error.
func listen(ctx context.Context, endpoints []Endpoint, m admission.Machine, registry *metrics.Registry, logger log.Logger) ([]listeningEndpoint, error) {
	var open []listeningEndpoint
	var errs []error
	for _, e := range endpoints {
		door := admission.New(admission.Options{
			Name: strings.ReplaceAll(e.Name, " ", "-"), Machine: m, Share: e.Share, Limits: e.Limits, Registry: registry, Log: limitedlog.New(logger),
		})
		l, err := door.Listen(ctx, e.Address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", e.Name, err))
			continue
		}
		open = append(open, listeningEndpoint{e, door, l, door.Server(e.Handler)})
	}
	if len(errs) > 0 {
		for _, o := range open {
			errs = append(errs, o.listener.Close())
		}
	}
	return open, errors.Join(errs...)
}

// start serves the endpoints in the group.
func start(open []listeningEndpoint, g *group.Group) {
	var doors []*admission.Door
	for _, l := range open {
		g.Go(l.Name, func(ctx context.Context) error { return webserver.Serve(ctx, l.server, l.listener) })
		doors = append(doors, l.door)
	}
	g.Go("doors", func(ctx context.Context) error { return admission.Run(ctx, doors...) })
}

// announce appends the record of a member to the ledger, with retries until it
// succeeds or ctx ends. Only the first failure is logged.
func announce(ctx context.Context, store ledger.Store, topic ledger.Topic, m ledger.Member, logger log.Logger) error {
	record, err := ledger.EncodeMember(m)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := store.Append(callCtx, topic, []ledger.Record{record})
		cancel()
		if err == nil {
			_ = level.Info(logger).Log("event", "announced", "member", m.Name, "address", m.Address, "tries", attempt)
			return nil
		}
		if attempt == 1 {
			_ = level.Warn(logger).Log("event", "not announced", "member", m.Name, "reason", err)
		}
		if err := group.Pause(ctx, announceRetryDelay); err != nil {
			return err
		}
	}
}

// memberName returns a name that is unique to a host and stays the same after a
// restart of the process.
func memberName(node string, address netip.AddrPort) string {
	return node + "@" + address.Addr().String()
}
