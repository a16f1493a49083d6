// Package guarantee evaluates the guarantee predicate: every organisation's
// guaranteed shapes can be placed now, all at the same time, by taking back
// only borrowed accelerators and without splitting a gang.
//
// The predicate covers accelerators. It is evaluated for one data centre; a
// gang never spans data centres, and Divide gives each data centre its part of
// the guarantees.
package guarantee

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/tenancy/organisation"
)

// Worker is what the predicate knows of one worker.
type Worker struct {
	Name         string
	Rack         string
	Accelerators int
	Unusable     bool // Unusable workers keep what they run but take nothing new.
}

// Entitlement is a guaranteed shape of one organisation.
type Entitlement struct {
	Organisation string
	Plan         string
	Shape        organisation.Shape
	Count        int
}

// HeldShape is a guaranteed shape that a running job of its organisation occupies.
type HeldShape struct {
	Organisation string
	Shape        organisation.Shape
	Workers      []string // Workers has one name for each member of the shape.
}

// State is everything that the predicate depends on. Accelerators that are not
// in Held are free or borrowed.
type State struct {
	Workers      []Worker
	Entitlements []Entitlement
	Held         []HeldShape
}

// Shortfall says which guarantee cannot be placed.
type Shortfall struct {
	Organisation string
	Plan         string
	Shape        organisation.Shape
	Count        int // Count is how many of the shape have no place.
}

// String formats the shortfall for messages.
func (s Shortfall) String() string {
	return fmt.Sprintf("plan %s of organisation %s lacks a place for %d of %s (%d accelerators)",
		s.Plan, s.Organisation, s.Count, s.Shape, s.Count*s.Shape.Total())
}

// Verdict is the value of the predicate.
type Verdict struct {
	Holds bool
	// Exact is false when the search stopped at its limit. A verdict that does
	// not hold may then be wrong; one that holds is always right.
	Exact      bool
	Shortfalls []Shortfall // Shortfalls by organisation and shape; empty when the predicate holds.
}

// String formats the verdict for messages.
func (v Verdict) String() string {
	if v.Holds {
		return "every guaranteed shape has a place"
	}
	lines := make([]string, 0, len(v.Shortfalls))
	for _, s := range v.Shortfalls {
		lines = append(lines, s.String())
	}
	return strings.Join(lines, "; ")
}

// Evaluate returns the value of the predicate in the state. It builds a Ledger;
// a caller that asks often keeps one.
func Evaluate(s State) Verdict {
	l := NewLedger(MaxSearchSteps)
	for _, w := range s.Workers {
		l.SetWorker(w)
	}
	l.SetEntitlements(s.Entitlements)
	for _, h := range s.Held {
		l.adopt(h)
	}
	l.reset()
	return l.Verdict()
}

// Entitlements lists the guaranteed shapes of the organisations that are open
// at now. Shapes without accelerators are left out: they have no place to keep.
func Entitlements(c organisation.Configuration, now time.Time) []Entitlement {
	plans := map[string]organisation.Plan{}
	for _, p := range c.Plans {
		plans[p.Name] = p
	}
	var entitlements []Entitlement
	for _, o := range c.Organisations {
		if !o.Open(now) {
			continue
		}
		for _, g := range plans[o.Plan].Guarantees {
			if g.Shape.Total() == 0 {
				continue
			}
			entitlements = append(entitlements, Entitlement{
				Organisation: o.Name, Plan: o.Plan, Shape: g.Shape, Count: g.Count,
			})
		}
	}
	slices.SortStableFunc(entitlements, func(a, b Entitlement) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return entitlements
}

// Covers reports whether a job of the given shape fits in the guaranteed shape.
// The adjacency of the job is not compared, because it depends on the place.
func Covers(guaranteed, wanted organisation.Shape) bool {
	if wanted.Total() == 0 {
		return false
	}
	if guaranteed.Adjacency == organisation.WithinWorker && wanted.Adjacency == organisation.WithinWorker {
		return wanted.Total() <= guaranteed.Total()
	}
	return wanted.Members <= guaranteed.Members && wanted.Accelerators <= guaranteed.Accelerators
}
