package cmd

import (
	"context"
	"fmt"

	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/hosted"
	"wasabihoist/internal/run/logging"
	"wasabihoist/platform"

	"net/http"
)

// hostedSettings loads the settings of a process on the platform and starts
// its log.
func hostedSettings(env environment) (platform.Settings, log.Logger, error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return platform.Settings{}, nil, err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return s, nil, err
	}
	logger, err := logging.New(env.stdout, "info", s.Node)
	if err != nil {
		return s, nil, fmt.Errorf("start logging: %w", err)
	}
	return s, logger, nil
}

type hostedEntryCommand struct{}

func hostedEntryEntry() command {
	return command{
		name:     "hosted-entry",
		short:    "Run an entry on the users' platform",
		long:     "Runs an entry on the users' platform: it serves clients and takes part in the election of the coordinator, until SIGTERM. The environment names the settings file." + roleExitCodes,
		examples: []string{"wasabihoist hosted-entry"},
		runner:   &hostedEntryCommand{},
	}
}

// Run implements runner.
func (*hostedEntryCommand) Run(ctx context.Context, env environment) error {
	s, logger, err := hostedSettings(env)
	if err != nil {
		return err
	}
	return hosted.RunEntry(ctx, hosted.EntryOptions{
		Node: s.Node, DataCentre: s.DataCentre, Regions: s.Regions, Callers: s.Callers, Ready: s.Ready, Internal: s.Internal,
		MemoryMB: s.MemoryMB, FreshTime: s.RevokeTime / 2, StopGrace: s.StopGrace,
		Topic: platform.FleetTopic, OperatorTopic: platform.OperatorTopic, ConfigurationKey: platform.ConfigurationKey,
		Coordinator: coordinator.Options{
			LongestLease: s.LongestLease, GangTime: s.GangTime, TaskStopTime: s.TaskStopTime, StatusTime: s.StatusTime,
			FarFactor: s.FarFactor, CheckpointEvery: s.CheckpointEvery, RestoreTime: s.RestoreTime, LeadershipTime: s.ShortestTimeLive,
		},
		DecodeConfiguration: platform.DecodeConfiguration, DecodeJob: platform.DecodeJob,
		CallerHandler: platform.CallerHandler, ReadyHandler: platform.ReadyHandler,
	}, platform.NewStore(s.Store), logger)
}

type hostedAgentCommand struct{}

func hostedAgentEntry() command {
	return command{
		name:     "hosted-agent",
		short:    "Run the agent beside a minion on the users' platform",
		long:     "Runs the agent beside a minion on the users' platform, until SIGTERM. Tasks go on meanwhile. The environment names the settings file." + roleExitCodes,
		examples: []string{"wasabihoist hosted-agent"},
		runner:   &hostedAgentCommand{},
	}
}

// Run implements runner.
func (*hostedAgentCommand) Run(ctx context.Context, env environment) error {
	s, logger, err := hostedSettings(env)
	if err != nil {
		return err
	}
	return hosted.RunAgent(ctx, hosted.AgentOptions{
		Node: s.Node, DataCentre: s.DataCentre, Internal: s.Internal, Control: s.Control, MemoryMB: s.MemoryMB,
		Topic:          platform.FleetTopic,
		ControlHandler: func(a *hostagent.Agent) http.Handler { return platform.ControlHandler(a, logger) },
	}, platform.NewStore(s.Store), platform.NewMinionClient(s.Minion), logger)
}
