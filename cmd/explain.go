package cmd

import (
	"context"

	"wasabihoist/internal/role/restapi"
)

type explainCommand struct {
	operatorOptions
	outputOption
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION"`
		ID           string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func explainEntry() command {
	return command{
		name:  "explain",
		short: "Explain why a job waits",
		long: `Shows what a job waits for, which plan or shape stands before it, and what would have to change.

Exit codes: 0 when a scheduler explained the job, 1 otherwise, 2 for wrong usage.`,
		examples: []string{"wasabihoist explain lyceum-players match-17"},
		runner:   &explainCommand{},
	}
}

// Run implements runner.
func (c *explainCommand) Run(ctx context.Context, env environment) error {
	e, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.Explanation, error) {
		return client.ExplainAny(ctx, c.Args.Organisation, c.Args.ID)
	})
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(env.stdout, e)
	}
	rows := [][]string{
		{"state", e.State},
		{"waits for", e.WaitsFor},
		{"blocked by", e.BlockedBy},
		{"would start if", e.WouldStartIf},
	}
	return writeTable(env.stdout, []string{"JOB", c.Args.Organisation + "/" + e.ID}, rows)
}
