package cmd

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/run/tomlfile"
	"wasabihoist/internal/tenancy/configuration"
)

type checkCommand struct {
	outputOption
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Settings file, plans.toml or allowances.toml"`
	} `positional-args:"yes"`
}

func checkEntry() command {
	return command{
		name:  "check",
		short: "Check settings, plans and allowances files",
		long: `Checks files and prints each finding as file:line: key: message. A file is recognised by its keys, or by its name when it has none of them. Plans and allowances in one directory are checked together.

Exit codes: 0 when all files are clean, 1 when there are findings or a file cannot be read, 2 for wrong usage.`,
		examples: []string{
			"wasabihoist check plans.toml allowances.toml",
			"wasabihoist check --output json entry.toml agent.toml",
		},
		runner: &checkCommand{},
	}
}

// Run implements runner.
func (c *checkCommand) Run(_ context.Context, env environment) error {
	findings := checkFiles(c.Args.Files).All()
	if c.json() {
		if err := writeJSON(env.stdout, findingsToJSON(findings)); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			writeLine(env.stdout, "%s", f)
		}
	}
	if len(findings) > 0 {
		return errFindings
	}
	return nil
}

type findingJSON struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

func findingsToJSON(findings []finding.Finding) []findingJSON {
	list := make([]findingJSON, 0, len(findings))
	for _, f := range findings {
		list = append(list, findingJSON(f))
	}
	return list
}

// contents is what a file is recognised as.
type contents int

const (
	unrecognised contents = iota
	settingsContents
	plansContents
	allowancesContents
)

// recognise looks at the keys of a file first, because a key is also there
// when the file was renamed.
func recognise(s configuration.Source) contents {
	keys := tomlfile.TopLevel(s.Data)
	name := filepath.Base(s.Path)
	switch {
	case keys.Has("role"):
		return settingsContents
	case keys.Has("organisation"):
		return plansContents
	case keys.Has("plan"):
		return allowancesContents
	case strings.Contains(name, "plans"):
		return plansContents
	case strings.Contains(name, "allowances"):
		return allowancesContents
	case slices.ContainsFunc(settings.Keys(), func(k settings.Key) bool { return keys.Has(k.Name) }):
		return settingsContents
	default:
		return unrecognised
	}
}

// pair is the plans and allowances that are found in one directory.
type pair struct{ plans, allowances []configuration.Source }

func checkFiles(paths []string) *finding.List {
	var findings finding.List
	pairs := make(map[string]*pair)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			findings.Addf(path, 0, "", "cannot be read: %v", reason(err))
			continue
		}
		source := configuration.Source{Path: path, Data: data}
		directory := filepath.Dir(path)
		if pairs[directory] == nil {
			pairs[directory] = &pair{}
		}
		switch recognise(source) {
		case settingsContents:
			_, err := settings.Parse(path, data)
			mergeError(&findings, path, err)
		case plansContents:
			pairs[directory].plans = append(pairs[directory].plans, source)
		case allowancesContents:
			pairs[directory].allowances = append(pairs[directory].allowances, source)
		default:
			findings.Addf(path, 0, "", "not recognised: want a settings, plans or allowances file")
		}
	}
	for _, p := range pairs {
		checkPair(&findings, p)
	}
	return &findings
}

func checkPair(findings *finding.List, p *pair) {
	if len(p.plans) == 1 && len(p.allowances) == 1 {
		_, err := configuration.Parse(p.plans[0], p.allowances[0])
		mergeError(findings, p.plans[0].Path, err)
		return
	}
	for _, s := range p.plans {
		findings.Merge(configuration.CheckPlans(s))
	}
	for _, s := range p.allowances {
		findings.Merge(configuration.CheckAllowances(s))
	}
}

func mergeError(findings *finding.List, path string, err error) {
	var list *finding.List
	switch {
	case err == nil:
	case errors.As(err, &list):
		findings.Merge(list)
	default:
		findings.Addf(path, 0, "", "%v", err)
	}
}

// reason leaves out the path of an error about a file.
func reason(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
