package cmd

import (
	"context"
	"fmt"

	"wasabihoist/internal/run/logging"
	"wasabihoist/internal/run/process"
	"wasabihoist/internal/run/settings"
)

// settingsOption is embedded by the commands that start a process.
type settingsOption struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings file of the process"`
}

// load reads the settings and refuses those of another role.
func (o settingsOption) load(want settings.Role) (settings.Settings, error) {
	s, err := settings.Load(o.Settings)
	if err != nil {
		return s, err
	}
	if s.Role != want {
		return s, fmt.Errorf("%s: role: is %s, this command starts %s", o.Settings, s.Role, want)
	}
	return s, nil
}

// runRole runs the process that build makes of the settings until ctx ends.
func runRole[P interface {
	Run(ctx context.Context) error
}](ctx context.Context, env environment, o settingsOption, role settings.Role,
	build func(settings.Settings, process.Environment) (P, error),
) error {
	s, err := o.load(role)
	if err != nil {
		return err
	}
	logging.IgnoreBrokenPipe()
	logger, err := logging.New(env.stderr, s.LogLevel, s.Name)
	if err != nil {
		return fmt.Errorf("start logging: %w", err)
	}
	p, err := build(s, process.Environment{Logger: logger})
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

const roleExitCodes = "\n\nExit codes: 0 after a planned stop (SIGTERM or SIGINT), 1 when the settings have findings, an address cannot be used or the process failed, 2 for wrong usage."

type entryCommand struct{ settingsOption }

func entryEntry() command {
	return command{
		name:     "entry",
		short:    "Run an entry",
		long:     "Runs an entry: it serves callers and operators until SIGTERM and then finishes open calls." + roleExitCodes,
		examples: []string{"wasabihoist entry --settings entry.toml"},
		runner:   &entryCommand{},
	}
}

// Run implements runner.
func (c *entryCommand) Run(ctx context.Context, env environment) error {
	return runRole(ctx, env, c.settingsOption, settings.Entry, process.NewEntry)
}

type agentCommand struct{ settingsOption }

func agentEntry() command {
	return command{
		name:     "agent",
		short:    "Run the agent beside a minion",
		long:     "Runs an agent: it runs requests on the minion beside it and carries duties, until SIGTERM; then it hands over the duties and finishes accepted requests." + roleExitCodes,
		examples: []string{"wasabihoist agent --settings agent.toml"},
		runner:   &agentCommand{},
	}
}

// Run implements runner.
func (c *agentCommand) Run(ctx context.Context, env environment) error {
	return runRole(ctx, env, c.settingsOption, settings.Agent, process.NewAgent)
}
