package configuration

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/tomlfile"
)

// Guards against a documentation page change-a-plan.md that omits keys of plans.toml
// or allowances.toml, or documents keys that do not exist.
func TestPageListsEveryKey(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/operations/change-a-plan.md")
	c.Assert(err, qt.IsNil)
	var documented, known []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	for _, k := range append(tomlfile.Keys(plansFile{}), tomlfile.Keys(allowancesFile{})...) {
		known = append(known, k.Name[strings.LastIndex(k.Name, ".")+1:])
	}
	c.Assert(documented, qt.ContentEquals, known)
}
