// Package organisation holds the domain types of tenants: organisations, their
// plans, and what each plan may use.
package organisation

import (
	"fmt"
	"slices"
	"time"
)

// Adjacency says how close together the accelerators of a shape must be.
type Adjacency int

// The levels of adjacency, from the closest to the widest.
const (
	WithinWorker Adjacency = iota + 1
	WithinRack
	WithinDataCentre
)

var adjacencyNames = map[Adjacency]string{
	WithinWorker:     "worker",
	WithinRack:       "rack",
	WithinDataCentre: "data-centre",
}

// String returns the name used in files and messages.
func (a Adjacency) String() string {
	if name, ok := adjacencyNames[a]; ok {
		return name
	}
	return fmt.Sprintf("adjacency(%d)", int(a))
}

// ParseAdjacency converts a name used in files and messages.
func ParseAdjacency(name string) (Adjacency, error) {
	for a, n := range adjacencyNames {
		if n == name {
			return a, nil
		}
	}
	return 0, fmt.Errorf("unknown adjacency %q: want worker, rack or data-centre", name)
}

// Shape is a set of adjacent accelerators. Each member is one task on one
// worker.
type Shape struct {
	Members      int       // Members is the number of tasks of the gang, 1 to 64.
	Accelerators int       // Accelerators is the number for each member; 0 for work without accelerators.
	Adjacency    Adjacency // Adjacency bounds all members together.
}

// Total returns the number of accelerators of all members.
func (s Shape) Total() int { return s.Members * s.Accelerators }

// String formats the shape as members x accelerators within adjacency.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d within %s", s.Members, s.Accelerators, s.Adjacency)
}

// Guarantee is a shape that an organisation can always have.
type Guarantee struct {
	Shape Shape
	Count int // Count is how many of the shape are guaranteed at the same time, at least 1.
}

// Plan is what the organisations on it may use.
type Plan struct {
	Name             string
	Services         []string // Services that requests may name.
	Kinds            []string // Kinds of requests and jobs that are allowed.
	Guarantees       []Guarantee
	AcceleratorLimit int  // AcceleratorLimit bounds guaranteed and borrowed accelerators together.
	QueueLimit       int  // QueueLimit bounds the waiting requests of one organisation at one agent.
	Share            int  // Share is the weight of the organisation when organisations take turns, at least 1.
	Urgent           bool // Urgent allows jobs that may reclaim borrowed accelerators at once.
}

// AllowsKind reports whether work of the kind may be submitted.
func (p Plan) AllowsKind(kind string) bool { return slices.Contains(p.Kinds, kind) }

// AllowsService reports whether requests may name the service.
func (p Plan) AllowsService(service string) bool { return slices.Contains(p.Services, service) }

// Organisation is one customer.
type Organisation struct {
	Name   string
	Plan   string
	Closes time.Time // Closes is when the plan closes for this organisation; zero when it stays open.
}

// Open reports whether the organisation may submit work at now.
func (o Organisation) Open(now time.Time) bool {
	return o.Closes.IsZero() || now.Before(o.Closes)
}

// Configuration is one accepted version of the two lists.
type Configuration struct {
	Version       int64 // Version is the log offset of the record; 0 before the first configuration.
	Organisations []Organisation
	Plans         []Plan
}

// NextClose returns when the next organisation closes after now; zero when none
// will.
func (c Configuration) NextClose(now time.Time) time.Time {
	var next time.Time
	for _, o := range c.Organisations {
		if o.Closes.After(now) && (next.IsZero() || o.Closes.Before(next)) {
			next = o.Closes
		}
	}
	return next
}

// PlanOf returns the plan of the organisation, and whether both exist.
func (c Configuration) PlanOf(name string) (Organisation, Plan, bool) {
	for _, o := range c.Organisations {
		if o.Name != name {
			continue
		}
		for _, p := range c.Plans {
			if p.Name == o.Plan {
				return o, p, true
			}
		}
	}
	return Organisation{}, Plan{}, false
}
