// Package guarantee evaluates the guarantee predicate: the guaranteed shapes of all
// organisations can be placed at the same time, by reclaiming only borrowed
// accelerators and without splitting a gang.
//
// The predicate covers accelerators only. It is evaluated for each data centre,
// because a gang never spans data centres. Divide assigns the guarantees to data
// centres.
package guarantee

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/tenancy/organisation"
)

// Worker is one worker as the predicate sees it.
type Worker struct {
	Name         string
	Rack         string
	Accelerators int
	Unusable     bool // Unusable workers keep their running jobs but accept no new ones.
}

// Entitlement is a shape that is guaranteed to one organisation Count times.
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

// State is the input of the predicate. Accelerators that are not in Held are free
// or borrowed.
type State struct {
	Workers      []Worker
	Entitlements []Entitlement
	Held         []HeldShape
}

// Shortfall is a guarantee that cannot be placed in full.
type Shortfall struct {
	Organisation string
	Plan         string
	Shape        organisation.Shape
	Count        int // Count is the number of shapes without a placement.
}

// String formats the shortfall for messages.
func (s Shortfall) String() string {
	return fmt.Sprintf("plan %s of organisation %s lacks a place for %d of %s (%d accelerators)",
		s.Plan, s.Organisation, s.Count, s.Shape, s.Count*s.Shape.Total())
}

// Verdict is the result of an evaluation of the predicate.
type Verdict struct {
	Holds bool
	// Exact is false when the predicate does not hold and the search reached its
	// step limit, so that a placement may have been missed. Holds is never wrongly
	// true.
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

// Evaluate evaluates the predicate in a state. It builds a new Ledger; a caller
// that evaluates often should keep one and update it.
func Evaluate(s State) Verdict {
	l := NewLedger(MaxSearchSteps)
	for _, w := range s.Workers {
		l.SetWorker(w)
	}
	l.SetEntitlements(s.Entitlements)
	for _, h := range s.Held {
		l.restoreHold(h)
	}
	l.placeAll()
	return l.Verdict()
}

// Entitlements returns the guaranteed shapes of the organisations that are open at
// now, sorted by organisation. Shapes without accelerators are left out, because the
// predicate does not cover them.
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
// The adjacency of the job is not checked, because it depends on the placement. If
// both shapes are within a worker, only their numbers of accelerators count.
func Covers(guaranteed, wanted organisation.Shape) bool {
	if wanted.Total() == 0 {
		return false
	}
	if guaranteed.Adjacency == organisation.WithinWorker && wanted.Adjacency == organisation.WithinWorker {
		return wanted.Total() <= guaranteed.Total()
	}
	return wanted.Members <= guaranteed.Members && wanted.Accelerators <= guaranteed.Accelerators
}
