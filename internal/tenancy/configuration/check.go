package configuration

import (
	"regexp"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/run/tomlfile"
	"wasabihoist/internal/tenancy/organisation"
)

// Keys of the arrays of tables in plans.toml and allowances.toml.
const (
	organisationKey = "organisation"
	planKey         = "plan"
	guaranteeKey    = "guarantee"
)

// Limits of a guaranteed shape. A worker has at most 8 accelerators, and a rack has
// 3 workers.
const (
	maxMembers            = 64
	acceleratorsPerWorker = 8
	acceleratorsPerRack   = 3 * acceleratorsPerWorker
)

// maxCount bounds the count of a guarantee. It exceeds the 7,200 accelerators of the
// largest fleet that is planned for, so a larger count can never be placed.
const maxCount = 10_000

// maxNameLength bounds the length of names in bytes, because they are part of keys,
// log lines and metrics.
const maxNameLength = 63

// namePattern matches names in kebab case.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

func checkOrganisations(d *tomlfile.Document, organisations []organisationTable) {
	seen := collection.NewSet[string]()
	for i, o := range organisations {
		key := tomlfile.Index(organisationKey, i)
		checkUniqueName(d, tomlfile.Join(key, "name"), o.Name, seen)
		checkName(d, tomlfile.Join(key, "plan"), o.Plan)
	}
}

// checkReferences reports the organisations whose plan does not exist.
func checkReferences(d *tomlfile.Document, p plansFile, a allowancesFile) {
	known := collection.NewSet[string]()
	for _, t := range a.Plans {
		known.Add(t.Name)
	}
	for i, o := range p.Organisations {
		if o.Plan != "" && !known.Has(o.Plan) {
			d.Reportf(tomlfile.Join(tomlfile.Index(organisationKey, i), "plan"), "unknown plan %q", o.Plan)
		}
	}
}

func checkPlanTables(d *tomlfile.Document, plans []planTable) {
	seen := collection.NewSet[string]()
	for i, p := range plans {
		key := tomlfile.Index(planKey, i)
		checkUniqueName(d, tomlfile.Join(key, "name"), p.Name, seen)
		checkNames(d, tomlfile.Join(key, "services"), p.Services)
		checkNames(d, tomlfile.Join(key, "kinds"), p.Kinds)
		checkLimits(d, key, p)
		checkGuarantees(d, key, p)
	}
}

func checkLimits(d *tomlfile.Document, key string, p planTable) {
	limit := tomlfile.Join(key, "accelerator-limit")
	if !d.Has(limit) {
		d.Reportf(limit, "missing")
	}
	checkAtLeast(d, limit, p.AcceleratorLimit, 0)
	checkAtLeast(d, tomlfile.Join(key, "queue-limit"), p.QueueLimit, 1)
	checkAtLeast(d, tomlfile.Join(key, "share"), p.Share, 1)
}

func checkGuarantees(d *tomlfile.Document, key string, p planTable) {
	guaranteed := 0
	for i, g := range p.Guarantees {
		element := tomlfile.Index(tomlfile.Join(key, guaranteeKey), i)
		if checkShape(d, element, g) {
			guaranteed += g.Members * g.Accelerators * g.Count
		}
	}
	limit := tomlfile.Join(key, "accelerator-limit")
	if d.Has(limit) && p.AcceleratorLimit >= 0 && guaranteed > p.AcceleratorLimit {
		d.Reportf(limit, "limit of %d is below the %d accelerators that are guaranteed",
			p.AcceleratorLimit, guaranteed)
	}
}

// checkShape checks the numbers and the adjacency of a guarantee. It returns whether
// all numbers are in range.
func checkShape(d *tomlfile.Document, key string, g guaranteeTable) bool {
	ok := checkRange(d, tomlfile.Join(key, "members"), g.Members, maxMembers)
	ok = checkRange(d, tomlfile.Join(key, "accelerators"), g.Accelerators, acceleratorsPerWorker) && ok
	ok = checkRange(d, tomlfile.Join(key, "count"), g.Count, maxCount) && ok
	adjacencyKey := tomlfile.Join(key, "adjacency")
	adjacency, err := organisation.ParseAdjacency(g.Adjacency)
	if err != nil {
		d.Reportf(adjacencyKey, "%v", err)
		return ok
	}
	if ok {
		checkAdjacency(d, adjacencyKey, adjacency, g.Members*g.Accelerators)
	}
	return ok
}

// checkAdjacency checks that the accelerators of a shape fit on one worker or in one
// rack if its adjacency requires that.
func checkAdjacency(d *tomlfile.Document, key string, a organisation.Adjacency, total int) {
	if a == organisation.WithinWorker && total > acceleratorsPerWorker {
		d.Reportf(key, "%d accelerators do not fit on one worker, which has at most %d", total, acceleratorsPerWorker)
	}
	if a == organisation.WithinRack && total > acceleratorsPerRack {
		d.Reportf(key, "%d accelerators do not fit in one rack, which has at most %d", total, acceleratorsPerRack)
	}
}

func checkUniqueName(d *tomlfile.Document, key, name string, seen collection.Set[string]) {
	if !checkName(d, key, name) {
		return
	}
	if seen.Has(name) {
		d.Reportf(key, "duplicate name %q", name)
	}
	seen.Add(name)
}

func checkNames(d *tomlfile.Document, key string, names []string) {
	if len(names) == 0 {
		d.Reportf(key, "want at least one name")
	}
	seen := collection.NewSet[string]()
	for i, name := range names {
		checkUniqueName(d, tomlfile.Index(key, i), name, seen)
	}
}

// checkName reports a missing or malformed name and returns whether it is valid.
func checkName(d *tomlfile.Document, key, name string) bool {
	switch {
	case name == "":
		d.Reportf(key, "missing")
	case !namePattern.MatchString(name) || len(name) > maxNameLength:
		d.Reportf(key, "want a name in kebab case of at most %d characters, got %q", maxNameLength, name)
	default:
		return true
	}
	return false
}

func checkAtLeast(d *tomlfile.Document, key string, n, minimum int) {
	if n < minimum {
		d.Reportf(key, "want at least %d, got %d", minimum, n)
	}
}

// checkRange reports a number outside 1 to maximum and returns whether it is in
// range.
func checkRange(d *tomlfile.Document, key string, n, maximum int) bool {
	ok := n >= 1 && n <= maximum
	if !ok {
		d.Reportf(key, "want 1 to %d, got %d", maximum, n)
	}
	return ok
}
