// Package configuration converts plans.toml and allowances.toml to the types of
// package organisation and back, and compares two versions. plans.toml lists the
// organisations with their plans, and allowances.toml what each plan allows.
package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wasabihoist/internal/tenancy/organisation"
)

// Defaults of optional keys in allowances.toml.
const (
	DefaultQueueLimit = 64
	DefaultShare      = 1
)

// plansFile is the layout of plans.toml.
type plansFile struct {
	Organisations []organisationTable `toml:"organisation,omitempty"`
}

type organisationTable struct {
	Name   string      `toml:"name"`
	Plan   string      `toml:"plan"`
	Closes closingDate `toml:"closes,omitempty"`
}

// allowancesFile is the layout of allowances.toml.
type allowancesFile struct {
	Plans []planTable `toml:"plan,omitempty"`
}

type planTable struct {
	Name             string           `toml:"name"`
	Services         []string         `toml:"services"`
	Kinds            []string         `toml:"kinds"`
	AcceleratorLimit int              `toml:"accelerator-limit"`
	QueueLimit       int              `toml:"queue-limit"`
	Share            int              `toml:"share"`
	Urgent           bool             `toml:"urgent"`
	Guarantees       []guaranteeTable `toml:"guarantee,omitempty"`
}

type guaranteeTable struct {
	Members      int    `toml:"members"`
	Accelerators int    `toml:"accelerators"`
	Adjacency    string `toml:"adjacency"`
	Count        int    `toml:"count"`
}

// closingDate is the time at which an organisation closes. The file has it as a
// date, which means 00:00 UTC of that day, or as a time in RFC 3339 format.
type closingDate struct{ time time.Time }

// IsZero reports whether there is no closing date.
func (c closingDate) IsZero() bool { return c.time.IsZero() }

// MarshalText implements encoding.TextMarshaler.
func (c closingDate) MarshalText() ([]byte, error) {
	return []byte(formatClosing(c.time)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *closingDate) UnmarshalText(text []byte) error {
	for _, layout := range []string{time.DateOnly, time.RFC3339} {
		if t, err := time.Parse(layout, string(text)); err == nil {
			c.time = t.UTC()
			return nil
		}
	}
	return fmt.Errorf("want a date such as 2027-03-31 or an RFC 3339 time, got %q", text)
}

// formatClosing formats a closing date so that UnmarshalText reads it. It returns
// "open" for none, which UnmarshalText does not read.
func formatClosing(t time.Time) string {
	if t.IsZero() {
		return "open"
	}
	if t.Equal(t.Truncate(24 * time.Hour)) {
		return t.UTC().Format(time.DateOnly)
	}
	return t.UTC().Format(time.RFC3339Nano)
}

// Format returns the contents of plans.toml and allowances.toml. Parse returns the
// same organisations and plans for them.
func Format(c organisation.Configuration) (plans, allowances []byte, err error) {
	plans, err = encode(plansFromDomain(c.Organisations))
	if err != nil {
		return nil, nil, fmt.Errorf("format plans: %w", err)
	}
	allowances, err = encode(allowancesFromDomain(c.Plans))
	if err != nil {
		return nil, nil, fmt.Errorf("format allowances: %w", err)
	}
	return plans, allowances, nil
}

func encode(v any) ([]byte, error) {
	var b strings.Builder
	if err := toml.NewEncoder(&b).Encode(v); err != nil {
		return nil, err
	}
	return []byte(b.String()), nil
}

func plansFromDomain(organisations []organisation.Organisation) plansFile {
	var f plansFile
	for _, o := range organisations {
		f.Organisations = append(f.Organisations, organisationTable{
			Name:   o.Name,
			Plan:   o.Plan,
			Closes: closingDate{o.Closes},
		})
	}
	return f
}

func allowancesFromDomain(plans []organisation.Plan) allowancesFile {
	var f allowancesFile
	for _, p := range plans {
		f.Plans = append(f.Plans, planTable{
			Name:             p.Name,
			Services:         p.Services,
			Kinds:            p.Kinds,
			AcceleratorLimit: p.AcceleratorLimit,
			QueueLimit:       p.QueueLimit,
			Share:            p.Share,
			Urgent:           p.Urgent,
			Guarantees:       guaranteesFromDomain(p.Guarantees),
		})
	}
	return f
}

func guaranteesFromDomain(guarantees []organisation.Guarantee) []guaranteeTable {
	var tables []guaranteeTable
	for _, g := range guarantees {
		tables = append(tables, guaranteeTable{
			Members:      g.Shape.Members,
			Accelerators: g.Shape.Accelerators,
			Adjacency:    g.Shape.Adjacency.String(),
			Count:        g.Count,
		})
	}
	return tables
}

func organisationsToDomain(f plansFile) []organisation.Organisation {
	var organisations []organisation.Organisation
	for _, t := range f.Organisations {
		organisations = append(organisations, organisation.Organisation{
			Name:   t.Name,
			Plan:   t.Plan,
			Closes: t.Closes.time,
		})
	}
	return organisations
}

func plansToDomain(f allowancesFile) []organisation.Plan {
	var plans []organisation.Plan
	for _, t := range f.Plans {
		plans = append(plans, organisation.Plan{
			Name:             t.Name,
			Services:         t.Services,
			Kinds:            t.Kinds,
			Guarantees:       guaranteesToDomain(t.Guarantees),
			AcceleratorLimit: t.AcceleratorLimit,
			QueueLimit:       t.QueueLimit,
			Share:            t.Share,
			Urgent:           t.Urgent,
		})
	}
	return plans
}

func guaranteesToDomain(tables []guaranteeTable) []organisation.Guarantee {
	var guarantees []organisation.Guarantee
	for _, t := range tables {
		guarantees = append(guarantees, organisation.Guarantee{Shape: t.shape(), Count: t.Count})
	}
	return guarantees
}

// shape returns the shape of the table, whose adjacency must be valid.
func (t guaranteeTable) shape() organisation.Shape {
	adjacency, _ := organisation.ParseAdjacency(t.Adjacency)
	return organisation.Shape{Members: t.Members, Accelerators: t.Accelerators, Adjacency: adjacency}
}
