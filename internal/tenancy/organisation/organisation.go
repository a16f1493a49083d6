// Package organisation holds the domain types of tenants: organisations, their
// plans, and what each plan allows.
package organisation

import (
	"fmt"
	"slices"
	"time"
)

// Adjacency is the locality that the accelerators of a shape require.
type Adjacency int

// The levels of adjacency, from the narrowest to the widest.
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

// String returns the name used in configuration files and messages.
func (a Adjacency) String() string {
	if name, ok := adjacencyNames[a]; ok {
		return name
	}
	return fmt.Sprintf("adjacency(%d)", int(a))
}

// ParseAdjacency returns the adjacency with a name used in configuration files and
// messages.
func ParseAdjacency(name string) (Adjacency, error) {
	for a, n := range adjacencyNames {
		if n == name {
			return a, nil
		}
	}
	return 0, fmt.Errorf("unknown adjacency %q: want worker, rack or data-centre", name)
}

// Shape is the shape of a gang: a number of members with the same number of
// accelerators each. Each member is one task on one worker.
type Shape struct {
	Members      int       // Members is the number of tasks of the gang, 1 to 64.
	Accelerators int       // Accelerators is the number for each member; 0 for work without accelerators.
	Adjacency    Adjacency // Adjacency applies to all members together.
}

// Total returns the number of accelerators of all members.
func (s Shape) Total() int { return s.Members * s.Accelerators }

// String formats the shape as members x accelerators within adjacency.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d within %s", s.Members, s.Accelerators, s.Adjacency)
}

// Guarantee is a shape that an organisation can use at any time.
type Guarantee struct {
	Shape Shape
	Count int // Count is the number of such shapes guaranteed at the same time, at least 1.
}

// Plan is a set of permissions, guarantees and limits for the organisations on it.
type Plan struct {
	Name             string
	Services         []string // Services are the services that requests may name.
	Kinds            []string // Kinds are the kinds of requests and jobs that may be submitted.
	Guarantees       []Guarantee
	AcceleratorLimit int  // AcceleratorLimit bounds the guaranteed and borrowed accelerators of one organisation together; package placement takes 0 as no limit.
	QueueLimit       int  // QueueLimit bounds the waiting requests of one organisation on one agent.
	Share            int  // Share is the weight of the organisation in fair sharing, at least 1.
	Urgent           bool // Urgent allows urgent jobs, which may reclaim borrowed accelerators immediately.
}

// AllowsKind reports whether work of the kind may be submitted.
func (p Plan) AllowsKind(kind string) bool { return slices.Contains(p.Kinds, kind) }

// AllowsService reports whether requests may name the service.
func (p Plan) AllowsService(service string) bool { return slices.Contains(p.Services, service) }

// Organisation is one tenant.
type Organisation struct {
	Name   string
	Plan   string
	Closes time.Time // Closes is when the organisation may no longer submit work; zero for never.
}

// Open reports whether the organisation may submit work at now.
func (o Organisation) Open(now time.Time) bool {
	return o.Closes.IsZero() || now.Before(o.Closes)
}

// Configuration is one accepted version of the organisations and plans.
type Configuration struct {
	Version       int64 // Version is the log offset of the record that published it; 0 before the first configuration.
	Organisations []Organisation
	Plans         []Plan
}

// NextClose returns the earliest closing time after now; zero if there is none.
func (c Configuration) NextClose(now time.Time) time.Time {
	var next time.Time
	for _, o := range c.Organisations {
		if o.Closes.After(now) && (next.IsZero() || o.Closes.Before(next)) {
			next = o.Closes
		}
	}
	return next
}

// PlanOf returns the organisation with the given name and its plan, and whether both
// exist.
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
