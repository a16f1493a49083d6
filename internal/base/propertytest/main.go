// Package propertytest runs the property tests of a package with fixed cases.
package propertytest

import (
	"flag"
	"strconv"
	"testing"
)

// seed makes every run try the same cases.
const seed = "20260101"

// Main is the body of TestMain. Flags on the command line go before the fixed
// seed and the number of checks.
func Main(m *testing.M, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks)} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}
