package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
)

type configurationCommand struct {
	operatorOptions
	Directory string `long:"directory" value-name:"DIR" default:"." description:"Directory to write plans.toml and allowances.toml to"`
}

func configurationEntry() command {
	return command{
		name:  "configuration",
		short: "Fetch the two lists in force, to edit them",
		long: `Writes the lists in force to plans.toml and allowances.toml and prints their version, which publish wants as --base. Files that exist are not overwritten.

Exit codes: 0 for success, 1 when the lists could not be fetched or written, 2 for wrong usage.`,
		examples: []string{"wasabihoist configuration --operator 10.0.0.1:7080 --directory edit"},
		runner:   &configurationCommand{},
	}
}

// Run implements runner.
func (c *configurationCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(c.Directory, "plans.toml"), current.Plans); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(c.Directory, "allowances.toml"), current.Allowances); err != nil {
		return err
	}
	writeLine(env.stdout, "version %d", current.Version)
	return nil
}

func writeNew(path, content string) error {
	const mode = 0o644
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	if _, err := f.WriteString(content); err != nil {
		_ = f.Close()
		return fmt.Errorf("write configuration: %w", err)
	}
	return f.Close()
}
