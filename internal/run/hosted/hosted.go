// Package hosted assembles the processes that run on a platform with a store:
// entries, one of which coordinates, and the agents beside the minions. What
// speaks to the platform is passed in.
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
	// memoryShare is the part of the memory limit that the runtime aims to stay
	// under; the rest is for stacks, buffers of the kernel and the C library.
	memoryShare = 0.7
	// announceTimeout bounds one try to write the record of a member.
	announceTimeout = time.Second
	announcePause   = 200 * time.Millisecond
)

// limitMemory makes the runtime collect garbage before the process reaches the
// limit of its host. 0 is no limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}

// Endpoint is an address with what is served there.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
}

type listening struct {
	Endpoint
	listener net.Listener
	server   *http.Server
}

func listen(endpoints []Endpoint) ([]listening, error) {
	var open []listening
	var errs []error
	for _, e := range endpoints {
		l, err := net.Listen("tcp", e.Address.String())
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s: %w", e.Name, err))
			continue
		}
		server := &http.Server{Handler: e.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		open = append(open, listening{e, l, server})
	}
	if len(errs) > 0 {
		for _, o := range open {
			errs = append(errs, o.listener.Close())
		}
	}
	return open, errors.Join(errs...)
}

func (l listening) start(g *group.Group) {
	g.Go(l.Name, func(ctx context.Context) error { return webserver.Serve(ctx, l.server, l.listener) })
}

// announce writes the record of a member until that is done.
func announce(ctx context.Context, store ledger.Store, topic ledger.Topic, m ledger.Member, logger log.Logger) error {
	record, err := ledger.EncodeMember(m)
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := store.Append(callCtx, topic, []ledger.Record{record})
		cancel()
		if err == nil {
			_ = level.Info(logger).Log("event", "announced", "member", m.Name, "address", m.Address, "tries", try)
			return nil
		}
		if try == 1 {
			_ = level.Warn(logger).Log("event", "not announced", "member", m.Name, "reason", err)
		}
		if err := group.Pause(ctx, announcePause); err != nil {
			return err
		}
	}
}

// memberName is different for each host and the same in each life of a process.
func memberName(node string, address netip.AddrPort) string {
	return node + "@" + address.Addr().String()
}
