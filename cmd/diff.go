package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"wasabihoist/internal/tenancy/configuration"
	"wasabihoist/internal/tenancy/organisation"
)

type diffCommand struct {
	outputOption
	Args struct {
		Paths []string `positional-arg-name:"PATH" required:"2" description:"OLD and NEW directories, or OLD-PLANS OLD-ALLOWANCES NEW-PLANS NEW-ALLOWANCES files"`
	} `positional-args:"yes"`
}

func diffEntry() command {
	return command{
		name:  "diff",
		short: "Show what differs between two versions of plans and allowances",
		long: `Shows what differs between two versions. A version is a directory that holds plans.toml and allowances.toml, or a plans file followed by an allowances file.

Exit codes: 0 whether or not the versions differ, 1 when a file has findings or cannot be read, 2 for wrong usage.`,
		examples: []string{
			"wasabihoist diff old new",
			"wasabihoist diff --output json old new",
		},
		runner: &diffCommand{},
	}
}

// Run implements runner.
func (c *diffCommand) Run(_ context.Context, env environment) error {
	paths, err := versionPaths(c.Args.Paths)
	if err != nil {
		return err
	}
	old, err := configuration.ReadFiles(paths[0], paths[1])
	if err != nil {
		return err
	}
	edited, err := configuration.ReadFiles(paths[2], paths[3])
	if err != nil {
		return err
	}
	return c.write(env, old, edited)
}

// versionPaths returns the paths of the old plans, old allowances, new plans
// and new allowances.
func versionPaths(args []string) ([]string, error) {
	if len(args) == 4 {
		return args, nil
	}
	if len(args) != 2 {
		return nil, usageError{fmt.Sprintf("want 2 directories or 4 files, got %d arguments", len(args))}
	}
	var paths []string
	for _, directory := range args {
		info, err := os.Stat(directory)
		if err != nil {
			return nil, fmt.Errorf("read version: %w", err)
		}
		if !info.IsDir() {
			return nil, usageError{fmt.Sprintf("%s is not a directory: give 2 directories or 4 files", directory)}
		}
		paths = append(paths, filepath.Join(directory, "plans.toml"), filepath.Join(directory, "allowances.toml"))
	}
	return paths, nil
}

type changeJSON struct {
	Action  string `json:"action"`
	Subject string `json:"subject"`
	Name    string `json:"name"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

func (c *diffCommand) write(env environment, old, edited organisation.Configuration) error {
	changes := configuration.Difference(old, edited)
	if c.json() {
		list := make([]changeJSON, 0, len(changes))
		for _, change := range changes {
			list = append(list, changeJSON{
				Action:  change.Action(),
				Subject: change.Subject,
				Name:    change.Name,
				Key:     change.Field,
				Old:     change.Old,
				New:     change.New,
			})
		}
		return writeJSON(env.stdout, list)
	}
	if len(changes) == 0 {
		writeLine(env.stdout, "no differences")
		return nil
	}
	var rows [][]string
	for _, change := range changes {
		rows = append(rows, []string{change.Action(), change.Subject, change.Name, change.Detail()})
	}
	return writeTable(env.stdout, []string{"ACTION", "SUBJECT", "NAME", "DETAIL"}, rows)
}
