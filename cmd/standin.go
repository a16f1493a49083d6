package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/standin/workerhost"
)

const standinHeaderTimeout = 5 * time.Second

type standinCommand struct {
	settingsOption
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"log, worker or minion"`
	} `positional-args:"yes" required:"yes"`
}

func standinEntry() command {
	return command{
		name:     "standin",
		short:    "Run a stand-in of the platform or of a minion",
		long:     "Runs a small stand-in for tests: the platform's log service, a worker, or a minion. docs/platform.md and docs/minion.md describe their interfaces and faults." + roleExitCodes,
		examples: []string{"wasabihoist standin log --settings standin-log.toml", "wasabihoist standin minion --settings standin-minion.toml"},
		runner:   &standinCommand{},
	}
}

// Run implements runner.
func (c *standinCommand) Run(ctx context.Context, _ environment) error {
	role := settings.Role("standin-" + c.Args.Kind)
	switch role {
	case settings.StandinLog, settings.StandinWorker, settings.StandinMinion:
	default:
		return usageError{fmt.Sprintf("unknown stand-in %q: want log, worker or minion", c.Args.Kind)}
	}
	s, err := c.load(role)
	if err != nil {
		return err
	}
	switch role {
	case settings.StandinLog:
		return serveUntil(ctx, s.ListenAddress, logservice.New(logLimits(s.Log)).Handler())
	case settings.StandinWorker:
		return serveUntil(ctx, s.ListenAddress, workerhost.New(s.Worker.Capacity, nil).Handler())
	default:
		return runMinion(ctx, s)
	}
}

func logLimits(s settings.LogSettings) logservice.Limits {
	return logservice.Limits{
		AppendsPerSecond: s.AppendsPerSecond,
		MaxPayload:       s.MaxPayloadBytes,
		KeepEntries:      s.KeepEntries,
		KeepFor:          s.KeepFor,
	}
}

func runMinion(ctx context.Context, s settings.Settings) error {
	o := minionhost.DefaultOptions()
	o.Listen = s.ListenAddress
	o.Slots = s.Minion.Slots
	o.Agent = "http://" + s.Minion.AnnounceAddress.String()
	host, err := minionhost.New(o)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}

// serveUntil serves a handler until ctx ends.
func serveUntil(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen-address: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	return webserver.Serve(ctx, server, listener)
}
