package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wasabihoist/internal/role/restapi"
)

type configurationCommand struct {
	operatorOptions
	Directory string `long:"directory" value-name:"DIR" default:"." description:"Directory to write plans.toml and allowances.toml to"`
}

func configurationEntry() command {
	return command{
		name:  "configuration",
		short: "Fetch the two lists in force, to edit them",
		long: `Writes the lists in force to plans.toml and allowances.toml and prints their version, which publish wants as --base. The directory is made when it is missing. When one of the files exists, nothing is written.

Exit codes: 0 for success, 1 when the lists could not be fetched or written, 2 for wrong usage.`,
		examples: []string{"wasabihoist configuration --directory edit"},
		runner:   &configurationCommand{},
	}
}

// Run implements runner.
func (c *configurationCommand) Run(ctx context.Context, env environment) error {
	current, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.Configuration, error) {
		return client.Configuration(ctx)
	})
	if err != nil {
		return err
	}
	if err := c.write(current); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	writeLine(env.stdout, "version %d", current.Version)
	return nil
}

// write leaves nothing behind when one of the files exists, because a pair of
// lists of two versions could be published as one.
func (c *configurationCommand) write(current restapi.Configuration) error {
	const mode = 0o755
	if err := os.MkdirAll(c.Directory, mode); err != nil {
		return err
	}
	plans := filepath.Join(c.Directory, "plans.toml")
	if err := writeNew(plans, current.Plans); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(c.Directory, "allowances.toml"), current.Allowances); err != nil {
		return errors.Join(err, os.Remove(plans))
	}
	return nil
}

func writeNew(path, content string) error {
	const mode = 0o644
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(content); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
