package cmd

import (
	"context"
	"os/user"

	"wasabihoist/internal/role/restapi"
)

type publishCommand struct {
	operatorOptions
	Base     int64  `long:"base" value-name:"VERSION" required:"yes" description:"Version that the edit was made on; 0 for the first"`
	Operator string `long:"as" value-name:"NAME" description:"Name of the operator for the audit trail (default: the user's name)"`
	Args     struct {
		Plans      string `positional-arg-name:"PLANS" description:"plans.toml"`
		Allowances string `positional-arg-name:"ALLOWANCES" description:"allowances.toml"`
	} `positional-args:"yes" required:"yes"`
}

func publishEntry() command {
	return command{
		name:  "publish",
		short: "Publish an edit of plans and allowances",
		long: `Publishes an edit of the two lists. The edit names the version that it was made on; when another version is in force, nothing is published and the differences are shown. Findings in the files and guarantees that the fleet cannot keep are reported together, and nothing is published.

Exit codes: 0 when the edit is in force at the entry, 1 when it was refused, 2 for wrong usage.`,
		examples: []string{
			"wasabihoist publish --base 0 plans.toml allowances.toml",
		},
		runner: &publishCommand{},
	}
}

// Run implements runner.
func (c *publishCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	plans, err := readInput(c.Args.Plans)
	if err != nil {
		return err
	}
	allowances, err := readInput(c.Args.Allowances)
	if err != nil {
		return err
	}
	edit := restapi.PublishRequest{
		BaseVersion:    c.Base,
		Operator:       c.operatorName(),
		PlansPath:      c.Args.Plans,
		Plans:          string(plans),
		AllowancesPath: c.Args.Allowances,
		Allowances:     string(allowances),
	}
	published, err := callClient(ctx, env, c, client, func(ctx context.Context, client *restapi.Client) (restapi.PublishReply, error) {
		return client.Publish(ctx, edit)
	})
	if err != nil {
		return err
	}
	for _, change := range published.Changes {
		writeLine(env.stdout, "%s", change)
	}
	writeLine(env.stdout, "version %d is in force", published.Version)
	return nil
}

func (c *publishCommand) operatorName() string {
	if c.Operator != "" {
		return c.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
