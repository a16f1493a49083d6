package cmd

import (
	"context"

	"wasabihoist/internal/role/restapi"
)

type cancelCommand struct {
	callerOptions
	outputOption
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func cancelEntry() command {
	return command{
		name:  "cancel",
		short: "Cancel a job",
		long: `Asks for the end of a job. A job that has not started ends as not-run; the tasks of a running one are stopped.

Exit codes: 0 when the cancellation is recorded or the job has ended, 1 otherwise, 2 for wrong usage.`,
		examples: []string{"wasabihoist cancel match-17"},
		runner:   &cancelCommand{},
	}
}

// Run implements runner.
func (c *cancelCommand) Run(ctx context.Context, env environment) error {
	status, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.JobStatus, error) {
		return client.Cancel(ctx, c.Args.ID)
	})
	if err != nil {
		return err
	}
	return writeJobStatus(env.stdout, c.outputOption, status)
}
