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
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/record/ledger"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// memoryShare is the part of the memory limit that becomes the soft limit of
	// the Go runtime; the rest is for stacks, kernel buffers and the C library.
	memoryShare = 0.7
	// announceTimeout bounds one attempt to write the record of a member.
	announceTimeout    = time.Second
	announceRetryDelay = 200 * time.Millisecond
)

// limitMemory makes the runtime collect garbage before the process reaches its
// memory limit. 0 means that there is no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}

// Endpoint is a listen address and its handler. The name appears in log lines
// and errors.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
}

// listeningEndpoint is an endpoint with its open listener and its server.
type listeningEndpoint struct {
	Endpoint
	listener net.Listener
	server   *http.Server
}

// listen listens on the addresses of all endpoints. If one fails, it closes the
// others and returns an error.
func listen(endpoints []Endpoint) ([]listeningEndpoint, error) {
	var open []listeningEndpoint
	var errs []error
	for _, e := range endpoints {
		l, err := net.Listen("tcp", e.Address.String())
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", e.Name, err))
			continue
		}
		server := &http.Server{Handler: e.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		open = append(open, listeningEndpoint{e, l, server})
	}
	if len(errs) > 0 {
		for _, o := range open {
			errs = append(errs, o.listener.Close())
		}
	}
	return open, errors.Join(errs...)
}

// start serves the endpoint in the group.
func (l listeningEndpoint) start(g *group.Group) {
	g.Go(l.Name, func(ctx context.Context) error { return webserver.Serve(ctx, l.server, l.listener) })
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
