package configuration_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/tenancy/configuration"
	"wasabihoist/internal/tenancy/organisation"
)

const validPlans = `
[[organisation]]
name = "a"
plan = "big"
closes = 2027-03-31T12:00:00Z
`

const validAllowances = `
[[plan]]
name = "big"
services = ["desk"]
kinds = ["match"]
accelerator-limit = 16

[[plan.guarantee]]
members = 2
accelerators = 8
adjacency = "rack"
`

func parse(plans, allowances string) (organisation.Configuration, error) {
	return configuration.Parse(
		configuration.Source{Path: "plans.toml", Data: []byte(plans)},
		configuration.Source{Path: "allowances.toml", Data: []byte(allowances)})
}

// Guards against example files that fail to load, since operators copy them, and
// against values that Format does not preserve.
func TestExamplesLoad(t *testing.T) {
	for _, deployment := range []string{"magnolia", "folha-viva"} {
		t.Run(deployment, func(t *testing.T) {
			c := qt.New(t)
			directory := "../../../examples/" + deployment
			loaded, err := configuration.ReadFiles(directory+"/plans.toml", directory+"/allowances.toml")
			c.Assert(err, qt.IsNil)
			c.Assert(loaded.Organisations, qt.HasLen, 4)
			plans, allowances, err := configuration.Format(loaded)
			c.Assert(err, qt.IsNil)
			again, err := parse(string(plans), string(allowances))
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.DeepEquals, loaded)
		})
	}
}

// Guards against values that parsing drops or changes, and against wrong defaults.
func TestParseMapsEveryValue(t *testing.T) {
	c := qt.New(t)
	got, err := parse(validPlans, validAllowances)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, organisation.Configuration{
		Organisations: []organisation.Organisation{
			{Name: "a", Plan: "big", Closes: time.Date(2027, 3, 31, 12, 0, 0, 0, time.UTC)},
		},
		Plans: []organisation.Plan{{
			Name: "big", Services: []string{"desk"}, Kinds: []string{"match"},
			AcceleratorLimit: 16, QueueLimit: 64, Share: 1,
			Guarantees: []organisation.Guarantee{
				{Shape: organisation.Shape{Members: 2, Accelerators: 8, Adjacency: organisation.WithinRack}, Count: 1},
			},
		}},
	})
}

// Guards against mistakes that are accepted, reported without file, line and key, or
// reported one at a time.
func TestParseReportsMistakes(t *testing.T) {
	tests := map[string]struct{ plans, allowances, want string }{
		"unknown plan": {
			"[[organisation]]\nname = \"a\"\nplan = \"none\"\n", validAllowances,
			`plans.toml:3: organisation\[0\].plan: unknown plan "none"`,
		},
		"duplicate and malformed names": {
			validPlans + "[[organisation]]\nname = \"a\"\nplan = \"big\"\n[[organisation]]\nname = \"B_b\"\n", validAllowances,
			"plans.toml:7: organisation\\[1\\].name: duplicate name \"a\"\n" +
				"plans.toml:9: organisation\\[2\\].plan: missing\n" +
				"plans.toml:10: organisation\\[2\\].name: want a name in kebab case .*",
		},
		"closing date": {
			"[[organisation]]\nname = \"a\"\nplan = \"big\"\ncloses = \"31.3.2027\"\n", validAllowances,
			`plans.toml:4: organisation\[0\].closes: want a date such as 2027-03-31 .*`,
		},
		"impossible shape": {
			validPlans, validAllowances + "[[plan.guarantee]]\nmembers = 65\naccelerators = -1\nadjacency = \"worker\"\n",
			"allowances.toml:13: plan\\[0\\].guarantee\\[1\\].members: want 1 to 64, got 65\n" +
				"allowances.toml:14: plan\\[0\\].guarantee\\[1\\].accelerators: want 1 to 8, got -1",
		},
		"beyond a worker": {
			validPlans, "[[plan]]\nname = \"big\"\nservices = [\"s\"]\nkinds = [\"k\"]\naccelerator-limit = 15\n" +
				"[[plan.guarantee]]\nmembers = 2\naccelerators = 8\nadjacency = \"worker\"\n",
			"allowances.toml:5: plan\\[0\\].accelerator-limit: limit of 15 is below the 16 accelerators .*\n" +
				"allowances.toml:9: plan\\[0\\].guarantee\\[0\\].adjacency: 16 accelerators do not fit on one worker.*",
		},
		"beyond a rack": {
			validPlans, "[[plan]]\nname = \"big\"\nservices = []\nkinds = [\"k\", \"k\"]\naccelerator-limit = -5\nqueue-limit = 0\n" +
				"[[plan.guarantee]]\nmembers = 4\naccelerators = 8\nadjacency = \"rack\"\ncount = 0\n" +
				"[[plan.guarantee]]\nmembers = 4\naccelerators = 8\nadjacency = \"rack\"\n" +
				"[[plan.guarantee]]\nmembers = 1\naccelerators = 1\nadjacency = \"room\"\n",
			"allowances.toml:3: plan\\[0\\].services: want at least one name\n" +
				"allowances.toml:4: plan\\[0\\].kinds\\[1\\]: duplicate name \"k\"\n" +
				"allowances.toml:5: plan\\[0\\].accelerator-limit: want at least 0, got -5\n" +
				"allowances.toml:6: plan\\[0\\].queue-limit: want at least 1, got 0\n" +
				"allowances.toml:11: plan\\[0\\].guarantee\\[0\\].count: want 1 to 10000, got 0\n" +
				"allowances.toml:15: plan\\[0\\].guarantee\\[1\\].adjacency: 32 accelerators do not fit in one rack.*\n" +
				"allowances.toml:19: plan\\[0\\].guarantee\\[2\\].adjacency: unknown adjacency \"room\".*",
		},
		"long name": {
			"[[organisation]]\nname = \"" + strings.Repeat("a", 64) + "\"\nplan = \"big\"\n", validAllowances,
			"plans.toml:2: organisation\\[0\\].name: want a name in kebab case of at most 63 characters, .*",
		},
		"both files": {
			"[[organisation]]\nname = 1\nplan = \"big\"\n", "[[plan]]\nname = \"big\"\nservices = [\"s\"]\nkinds = [\"Kind\"]\nshare = 0\n",
			"allowances.toml:1: plan\\[0\\].accelerator-limit: missing\n" +
				"allowances.toml:4: plan\\[0\\].kinds\\[0\\]: want a name in kebab case .*\n" +
				"allowances.toml:5: plan\\[0\\].share: want at least 1, got 0\n" +
				"plans.toml:2: organisation\\[0\\].name: want a string, got 1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse(tt.plans, tt.allowances)
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against changes that are missing from the difference shown to operators.
func TestDifferenceNamesEveryChange(t *testing.T) {
	c := qt.New(t)
	old, err := parse(validPlans, validAllowances)
	c.Assert(err, qt.IsNil)
	c.Assert(configuration.Difference(old, old), qt.HasLen, 0)
	next := organisation.Configuration{
		Organisations: []organisation.Organisation{{Name: "b", Plan: "big"}},
		Plans:         append([]organisation.Plan{}, old.Plans...),
	}
	next.Plans[0].Share = 3
	var lines []string
	for _, change := range configuration.Difference(old, next) {
		lines = append(lines, change.String())
	}
	c.Assert(lines, qt.DeepEquals, []string{
		"organisation a removed: plan big, closes 2027-03-31T12:00:00Z",
		"organisation b added: plan big, closes open",
		"plan big changed: share: 1 -> 3",
	})
}

// Guards against a reordering of entries, names or guarantees that is shown as a
// change.
func TestDifferenceIgnoresOrder(t *testing.T) {
	c := qt.New(t)
	one := organisation.Guarantee{Shape: organisation.Shape{Members: 1, Accelerators: 1, Adjacency: organisation.WithinWorker}, Count: 1}
	two := organisation.Guarantee{Shape: organisation.Shape{Members: 2, Accelerators: 8, Adjacency: organisation.WithinRack}, Count: 1}
	old := organisation.Configuration{Plans: []organisation.Plan{
		{Name: "a", Kinds: []string{"x", "y"}, Guarantees: []organisation.Guarantee{one, two}}, {Name: "b"},
	}}
	reordered := organisation.Configuration{Plans: []organisation.Plan{
		{Name: "b"}, {Name: "a", Kinds: []string{"y", "x"}, Guarantees: []organisation.Guarantee{two, one}},
	}}
	c.Assert(configuration.Difference(old, reordered), qt.HasLen, 0)
	slices.Reverse(reordered.Plans)
	reordered.Plans[0].Guarantees[0].Count = 2
	c.Assert(configuration.Difference(old, reordered), qt.HasLen, 1)
}
