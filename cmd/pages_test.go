package cmd

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// demonstrated is the reason why the scenarios leave the demonstration out.
const demonstrated = "internal/run/demo tests both deployments with a longer time to start, because other tests run beside it"

// longSoak is the reason why a scenario plays short soaks only.
const longSoak = "each seed takes half a minute"

// notScripted are commands of the pages that a scenario cannot run, with the
// reason.
var notScripted = map[string]string{
	"go test ./...": "it would run itself",
	".ci/run":       "it would run itself",
	"wasabihoist bench placement --seed 1 --output json": "it takes minutes under the race detector",
	"go test -tags crowd ./platform/crowd":               "CI runs it by itself",
	"go run . demo":                                      demonstrated,
	"go run . demo --deployment folha-viva":              demonstrated,
	"./wasabihoist demo":                                 demonstrated,
	"wasabihoist demo":                                   demonstrated,
	"wasabihoist demo --deployment folha-viva":           demonstrated,
	"wasabihoist soak --seed 100 --seeds 50":             longSoak,
	"wasabihoist soak --seed 113 --draw 1 --only 5":      longSoak,
	"wasabihoist soak --cases testdata/soak/seeds.txt":   longSoak,
	"wasabihoist forecast --host desk.example --path /match/5c0e7a21d94b36f8 --key secret job.json": "TestForecastOfAnEntry runs it",
	"go build -o wasabihoist .": "the scenario builds into its own directory",
	"export WASABIHOIST_OPERATOR=127.0.0.1:17801 WASABIHOIST_OPERATOR_TOKEN=example-operator-token": "the scenario sets its own address",
}

// Guards against a command in README.md, docs/operations or a help text that no
// scenario runs, so that it may stop working unseen.
func TestPagesAreScripted(t *testing.T) {
	scripted := scriptedCommands(t)
	for place, commands := range pageCommands(t) {
		for _, c := range commands {
			if notScripted[c] == "" && !slices.Contains(scripted, c) {
				t.Errorf("%s: no scenario runs %q", place, c)
			}
		}
	}
}

// scriptedCommands returns the commands of all scenarios as the pages write
// them.
func scriptedCommands(t *testing.T) []string {
	t.Helper()
	asOnPages := strings.NewReplacer("$VERSION", "112", "$METRICS1", "127.0.0.1:17601")
	background := regexp.MustCompile(` &(\w+&)?$`)
	run := regexp.MustCompile(`(?m)^(?:\[[^]]*\] )?exec (?:timeout \d+ )?(.*)$`)
	var list []string
	for _, path := range glob(t, "testdata/script/*.txtar") {
		for _, match := range run.FindAllStringSubmatch(read(t, path), -1) {
			list = append(list, asOnPages.Replace(background.ReplaceAllString(match[1], "")))
		}
	}
	return list
}

// pageCommands returns the commands of the pages by file or help text. A name
// of a command without arguments only refers to it, and must exist.
func pageCommands(t *testing.T) map[string][]string {
	t.Helper()
	pages := map[string][]string{}
	names := map[string]bool{}
	for _, c := range commands() {
		names[c.name] = true
		pages["help "+c.name] = c.examples
	}
	block := regexp.MustCompile("(?ms)^ *```\n(.*?)^ *```$")
	inline := regexp.MustCompile("`((?:\\./)?wasabihoist |go run |\\.ci/)([^`]*)`")
	for _, path := range append(glob(t, "../docs/operations/*.md"), "../README.md") {
		text := read(t, path)
		for _, match := range block.FindAllStringSubmatch(text, -1) {
			pages[path] = append(pages[path], blockCommands(match[1])...)
		}
		for _, match := range inline.FindAllStringSubmatch(block.ReplaceAllString(text, ""), -1) {
			if match[1] != "wasabihoist " || strings.Contains(match[2], " ") {
				pages[path] = append(pages[path], match[1]+match[2])
			} else if !names[match[2]] {
				t.Errorf("%s: there is no command %q", path, match[2])
			}
		}
	}
	return pages
}

// blockCommands returns the lines that begin with a prompt, or all lines of a
// block whose first line begins with go.
func blockCommands(block string) []string {
	var list []string
	plain := strings.HasPrefix(strings.TrimSpace(block), "go ")
	for line := range strings.Lines(block) {
		command, prompt := strings.CutPrefix(strings.TrimSpace(line), "$ ")
		if prompt || plain {
			list = append(list, command)
		}
	}
	return list
}

func glob(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %d files, %v", pattern, len(paths), err)
	}
	return paths
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
