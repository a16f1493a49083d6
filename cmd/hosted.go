package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/hosted"
	"wasabihoist/internal/run/logging"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/platform"
)

// logDrainTime is how long the last log lines may take at a stop.
const logDrainTime = 200 * time.Millisecond

// hostedOptions are the options of the processes on the users' platform.
type hostedOptions struct {
	MetricsPort uint16 `long:"metrics-port" value-name:"PORT" default:"9464" description:"Port of the host's address that serves counters and histograms"`
}

// hostedProcess is what a process on the platform is given.
type hostedProcess struct {
	settings platform.Settings
	metrics  netip.AddrPort
	changes  <-chan platform.Settings // changes brings settings that have changed.
	logger   log.Logger
}

// runHosted loads the settings that the environment names, and runs a process
// with its log and with the watch of its settings file until ctx ends.
func runHosted(ctx context.Context, env environment, o hostedOptions, run func(ctx context.Context, p hostedProcess) error) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	logging.IgnoreBrokenPipe()
	lines := logging.NewQueue(s.Node)
	logger, err := logging.New(lines, "info", s.Node)
	if err != nil {
		return fmt.Errorf("start logging: %w", err)
	}
	metrics.For(s.Node).Func(metrics.Description{
		Name: "log-lines-dropped", Kind: metrics.CounterKind, Unit: "lines", Meaning: "Log lines that were dropped because there was no room or no reader.",
	}, func() float64 { return float64(lines.Dropped()) })
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	changes := make(chan platform.Settings, 1)
	g := group.New(context.WithoutCancel(ctx))
	logs := group.New(context.WithoutCancel(ctx))
	logs.Go("log", func(ctx context.Context) error { return lines.Run(ctx, env.stdout) })
	g.Go("settings", func(ctx context.Context) error {
		return platform.WatchSettings(ctx, path, hangup, func(next platform.Settings) {
			select {
			case changes <- next:
			case <-ctx.Done():
			}
		}, logger)
	})
	err = run(ctx, hostedProcess{s, netip.AddrPortFrom(s.IP, o.MetricsPort), changes, logger})
	g.Stop()
	watchErr := g.Wait()
	stopLog(logs)
	if err == nil {
		err = watchErr
	}
	return err
}

// stopLog lets the last lines out, unless nobody reads them.
func stopLog(logs *group.Group) {
	done := make(chan struct{})
	waiting := group.New(context.Background())
	waiting.Go("last lines", func(context.Context) error {
		defer close(done)
		return logs.Wait()
	})
	logs.Stop()
	select {
	case <-done:
	case <-time.After(logDrainTime):
	}
}

type hostedEntryCommand struct{ hostedOptions }

func hostedEntryEntry() command {
	return command{
		name:     "hosted-entry",
		short:    "Run an entry on the users' platform",
		long:     "Runs an entry on the users' platform: it serves clients and takes part in the election of the coordinator, until SIGTERM. The environment names the settings file; it is read again on SIGHUP and when it changes." + roleExitCodes,
		examples: []string{"wasabihoist hosted-entry --metrics-port 9464"},
		runner:   &hostedEntryCommand{},
	}
}

// Run implements runner.
func (c *hostedEntryCommand) Run(ctx context.Context, env environment) error {
	return runHosted(ctx, env, c.hostedOptions, func(ctx context.Context, p hostedProcess) error {
		s := p.settings
		tunings := make(chan hosted.ReloadableOptions)
		g := group.New(ctx)
		g.Go("settings", func(ctx context.Context) error { return passTunings(ctx, p.changes, tunings, p.logger) })
		defer g.Stop()
		return hosted.RunEntry(ctx, hosted.EntryOptions{
			Node: s.Node, DataCentre: s.DataCentre, Regions: s.Regions, Callers: s.Callers, Ready: s.Ready, Internal: s.Internal,
			Metrics: p.metrics, MemoryMB: s.MemoryMB, MaxDescriptors: s.MaxDescriptors, Reloadable: tuning(s, p.logger), Reloads: tunings,
			Topic: platform.FleetTopic, OperatorTopic: platform.OperatorTopic, ConfigurationKey: platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration, EvacuatedDataCentre: platform.EvacuatedDataCentre, DecodeJob: platform.DecodeJob,
			CallerHandler: platform.CallerHandler, ReadyHandler: platform.ReadyHandler,
		}, platform.NewStore(s.Store), p.logger)
	})
}

func tuning(s platform.Settings, logger log.Logger) hosted.ReloadableOptions {
	t := hosted.ReloadableOptions{
		MaxConfigAge: s.KeyRevocationTimeout / 2, StopGrace: s.StopGrace, // Half of the time leaves the other half to a call in progress.
		Coordinator: coordinator.Options{
			MaxLease: s.MaxLease, GangStartTimeout: s.GangStartTimeout, TaskStopTimeout: s.TaskStopTimeout, StatusRetention: s.StatusRetention,
			CheckpointRestoreTime: s.CheckpointRestoreTime, LeadershipTTL: s.MinLeadershipTTL,
			Adaptive: s.Adaptive, EvacuationTimeout: s.EvacuationTimeout, NoticeTime: s.NoticeTime,
		},
	}
	if s.Adviser.IsValid() {
		t.Coordinator.Adviser = platform.NewAdviser(s.Adviser, logger)
	}
	return t
}

func passTunings(ctx context.Context, changes <-chan platform.Settings, tunings chan<- hosted.ReloadableOptions, logger log.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-changes:
			select {
			case <-ctx.Done():
				return nil
			case tunings <- tuning(s, logger):
			}
		}
	}
}

type hostedAgentCommand struct{ hostedOptions }

func hostedAgentEntry() command {
	return command{
		name:     "hosted-agent",
		short:    "Run the agent beside a minion on the users' platform",
		long:     "Runs the agent beside a minion on the users' platform, until SIGTERM. Tasks go on meanwhile. The environment names the settings file; it is read again on SIGHUP and when it changes." + roleExitCodes,
		examples: []string{"wasabihoist hosted-agent --metrics-port 9465"},
		runner:   &hostedAgentCommand{},
	}
}

// Run implements runner.
func (c *hostedAgentCommand) Run(ctx context.Context, env environment) error {
	return runHosted(ctx, env, c.hostedOptions, func(ctx context.Context, p hostedProcess) error {
		s := p.settings
		connect := func() hostagent.Connection { return platform.NewMinionConnection(s.Minion) }
		return hosted.RunAgent(ctx, hosted.AgentOptions{
			Node: s.Node, DataCentre: s.DataCentre, Internal: s.Internal, Control: s.Control, Metrics: p.metrics, MemoryMB: s.MemoryMB, MaxDescriptors: s.MaxDescriptors, MaxLease: s.MaxLease,
			Topic:          platform.FleetTopic,
			ControlHandler: func(a *hostagent.Agent) http.Handler { return platform.ControlHandler(a, p.logger) },
		}, platform.NewStore(s.Store), platform.NewMinionClient(s.Minion), connect, p.logger)
	})
}
