package configuration

import (
	"fmt"
	"os"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/run/tomlfile"
	"wasabihoist/internal/tenancy/organisation"
)

// Source is the contents of a file and its path, which findings name.
type Source struct {
	Path string
	Data []byte
}

// ReadFiles reads and parses plans.toml and allowances.toml. The error is a *finding.List if the
// files can be read but are invalid. The version of the result is 0.
func ReadFiles(plansPath, allowancesPath string) (organisation.Configuration, error) {
	plans, err := readSource(plansPath)
	if err != nil {
		return organisation.Configuration{}, err
	}
	allowances, err := readSource(allowancesPath)
	if err != nil {
		return organisation.Configuration{}, err
	}
	return Parse(plans, allowances)
}

func readSource(path string) (Source, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Source{}, fmt.Errorf("read configuration: %w", err)
	}
	return Source{Path: path, Data: data}, nil
}

// Parse parses and checks the contents of plans.toml and allowances.toml. The error
// is a *finding.List with the findings of both files. The version of the result is
// 0.
func Parse(plans, allowances Source) (organisation.Configuration, error) {
	p, plansDocument := decodePlans(plans)
	a, allowancesDocument := decodeAllowances(allowances)
	if plansDocument.Parsed() && allowancesDocument.Parsed() {
		checkReferences(plansDocument, p, a)
	}
	var all finding.List
	all.Merge(plansDocument.Findings())
	all.Merge(allowancesDocument.Findings())
	if err := all.Err(); err != nil {
		return organisation.Configuration{}, err
	}
	return organisation.Configuration{Organisations: organisationsToDomain(p), Plans: plansToDomain(a)}, nil
}

// CheckPlans returns the findings of plans.toml alone. It does not check that the
// plans of the organisations exist.
func CheckPlans(s Source) *finding.List {
	_, d := decodePlans(s)
	return d.Findings()
}

// CheckAllowances returns the findings of allowances.toml.
func CheckAllowances(s Source) *finding.List {
	_, d := decodeAllowances(s)
	return d.Findings()
}

func decodePlans(s Source) (plansFile, *tomlfile.Document) {
	var f plansFile
	d := tomlfile.Decode(s.Path, s.Data, &f)
	if d.Parsed() {
		checkOrganisations(d, f.Organisations)
	}
	return f, d
}

func decodeAllowances(s Source) (allowancesFile, *tomlfile.Document) {
	var f allowancesFile
	d := tomlfile.Decode(s.Path, s.Data, &f)
	if !d.Parsed() {
		return f, d
	}
	applyDefaults(d, f.Plans)
	checkPlanTables(d, f.Plans)
	return f, d
}

func applyDefaults(d *tomlfile.Document, plans []planTable) {
	for i := range plans {
		key := tomlfile.Index(planKey, i)
		if !d.Has(tomlfile.Join(key, "queue-limit")) {
			plans[i].QueueLimit = DefaultQueueLimit
		}
		if !d.Has(tomlfile.Join(key, "share")) {
			plans[i].Share = DefaultShare
		}
		applyGuaranteeDefaults(d, tomlfile.Join(key, guaranteeKey), plans[i].Guarantees)
	}
}

func applyGuaranteeDefaults(d *tomlfile.Document, key string, guarantees []guaranteeTable) {
	for i := range guarantees {
		if !d.Has(tomlfile.Join(tomlfile.Index(key, i), "count")) {
			guarantees[i].Count = 1
		}
	}
}
