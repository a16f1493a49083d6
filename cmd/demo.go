package cmd

import (
	"context"

	"wasabihoist/internal/run/demo"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/logging"
)

type demoCommand struct {
	Deployment string `long:"deployment" value-name:"NAME" default:"magnolia" description:"magnolia or folha-viva"`
	LogLevel   string `long:"log-level" default:"error" description:"debug, info, warn or error"`
}

func demoEntry() command {
	return command{
		name:  "demo",
		short: "Run a whole deployment in one process and check the promises",
		long: `Runs every role of a deployment over loopback TCP in this process, with stand-ins for the platform. It submits requests and gang jobs, edits a plan, drains a minion, loses a worker, and prints what became of each kind of work, the promises it checked and the tail of the audit trail. It ends within 30 seconds.

Exit codes: 0 when every promise held, 1 otherwise, 2 for wrong usage.`,
		examples: []string{"wasabihoist demo", "wasabihoist demo --deployment folha-viva"},
		runner:   &demoCommand{},
	}
}

// Run implements runner.
func (c *demoCommand) Run(ctx context.Context, env environment) error {
	d, err := deployment.Find(c.Deployment)
	if err != nil {
		return usageError{err.Error()}
	}
	logger, err := logging.New(env.stderr, c.LogLevel, "demo")
	if err != nil {
		return usageError{err.Error()}
	}
	o := demo.Default(d)
	o.Logger = logger
	if env.progress != nil {
		o.Progress = env.progress
	}
	return demo.Run(ctx, o, env.stdout)
}
