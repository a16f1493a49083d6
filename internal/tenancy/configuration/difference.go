package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/tenancy/organisation"
)

// The subjects of a change.
const (
	OrganisationSubject = "organisation"
	PlanSubject         = "plan"
)

// Change is one difference between two versions of the configuration.
type Change struct {
	Subject string // Subject is OrganisationSubject or PlanSubject.
	Name    string // Name is the name of the organisation or plan.
	Field   string // Field is the key in the file; empty when the whole entry was added or removed.
	Old     string // Old is the old value as text; empty when the entry was added.
	New     string // New is the new value as text; empty when the entry was removed.
}

// The actions of a change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Action returns Added, Removed or Changed.
func (c Change) Action() string {
	switch {
	case c.Old == "":
		return Added
	case c.New == "":
		return Removed
	default:
		return Changed
	}
}

// Detail describes the change: the fields of an added or removed entry, or the key
// with its old and new value.
func (c Change) Detail() string {
	switch c.Action() {
	case Added:
		return c.New
	case Removed:
		return c.Old
	default:
		return fmt.Sprintf("%s: %s -> %s", c.Field, c.Old, c.New)
	}
}

// String describes the change in one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s %s: %s", c.Subject, c.Name, c.Action(), c.Detail())
}

// field is one key of an entry with its value as text.
type field struct{ name, value string }

// entry is an organisation or plan as an ordered list of fields.
type entry struct {
	name   string
	fields []field
}

// Difference returns the changes between two versions: organisations first, then
// plans, each sorted by name. The order of entries, names and guarantees is ignored.
func Difference(old, new organisation.Configuration) []Change {
	changes := compareEntries(OrganisationSubject, organisationEntries(old), organisationEntries(new))
	return append(changes, compareEntries(PlanSubject, planEntries(old), planEntries(new))...)
}

// compareEntries returns the changes between the entries of one kind, which are
// given by name.
func compareEntries(subject string, old, new map[string]entry) []Change {
	names := collection.NewSet[string]()
	for name := range old {
		names.Add(name)
	}
	for name := range new {
		names.Add(name)
	}
	var changes []Change
	for _, name := range names.Sorted() {
		before, existed := old[name]
		after, exists := new[name]
		switch {
		case !existed:
			changes = append(changes, Change{Subject: subject, Name: name, New: after.String()})
		case !exists:
			changes = append(changes, Change{Subject: subject, Name: name, Old: before.String()})
		default:
			changes = append(changes, compareFields(subject, before, after)...)
		}
	}
	return changes
}

func compareFields(subject string, before, after entry) []Change {
	var changes []Change
	for i, f := range before.fields {
		if now := after.fields[i].value; now != f.value {
			changes = append(changes, Change{Subject: subject, Name: before.name, Field: f.name, Old: f.value, New: now})
		}
	}
	return changes
}

// String formats the fields of the entry in one line.
func (e entry) String() string {
	parts := make([]string, 0, len(e.fields))
	for _, f := range e.fields {
		parts = append(parts, f.name+" "+f.value)
	}
	return strings.Join(parts, ", ")
}

func organisationEntries(c organisation.Configuration) map[string]entry {
	entries := make(map[string]entry)
	for _, o := range c.Organisations {
		entries[o.Name] = entry{o.Name, []field{
			{"plan", o.Plan},
			{"closes", formatClosing(o.Closes)},
		}}
	}
	return entries
}

func planEntries(c organisation.Configuration) map[string]entry {
	entries := make(map[string]entry)
	for _, p := range c.Plans {
		entries[p.Name] = entry{p.Name, []field{
			{"services", formatNames(p.Services)},
			{"kinds", formatNames(p.Kinds)},
			{"guarantee", formatGuarantees(p.Guarantees)},
			{"accelerator-limit", strconv.Itoa(p.AcceleratorLimit)},
			{"queue-limit", strconv.Itoa(p.QueueLimit)},
			{"share", strconv.Itoa(p.Share)},
			{"urgent", strconv.FormatBool(p.Urgent)},
		}}
	}
	return entries
}

func formatNames(names []string) string {
	return "[" + strings.Join(collection.NewSet(names...).Sorted(), " ") + "]"
}

func formatGuarantees(guarantees []organisation.Guarantee) string {
	parts := make([]string, 0, len(guarantees))
	for _, g := range guarantees {
		parts = append(parts, fmt.Sprintf("%d of %s", g.Count, g.Shape))
	}
	slices.Sort(parts)
	return "[" + strings.Join(parts, "; ") + "]"
}
