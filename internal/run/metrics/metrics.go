// Package metrics counts what happens in a process and serves the figures over
// HTTP with expvar.
package metrics

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
)

// root is the expvar variable that holds the figures of all processes. Tests
// and the demonstration run several roles in one operating system process.
const root = "wasabihoist"

var (
	registriesMu sync.Mutex
	registries   = make(map[string]*Registry)
	published    = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(root) })
)

// Kind says how a figure behaves.
type Kind string

// The kinds of figures.
const (
	CounterKind Kind = "counter" // CounterKind figures only grow while the process runs.
	GaugeKind   Kind = "gauge"   // GaugeKind figures rise and fall.
)

// Description documents one figure.
type Description struct {
	Name    string
	Kind    Kind
	Unit    string
	Meaning string
}

// Registry holds the figures of one process. It is safe for concurrent use.
type Registry struct {
	values *expvar.Map

	mu           sync.Mutex
	descriptions map[string]Description
}

// For returns the registry of the named process. The same name gives the same
// registry, because expvar panics when a name is published twice.
func For(process string) *Registry {
	registriesMu.Lock()
	defer registriesMu.Unlock()
	if r, ok := registries[process]; ok {
		return r
	}
	r := &Registry{values: new(expvar.Map).Init(), descriptions: make(map[string]Description)}
	registries[process] = r
	published().Set(process, r.values)
	return r
}

// Counter counts events.
type Counter struct{ value *expvar.Int }

// Add increases the counter by n. A negative n is ignored.
func (c Counter) Add(n int64) {
	if n > 0 {
		c.value.Add(n)
	}
}

// Value returns the count.
func (c Counter) Value() int64 { return c.value.Value() }

// Gauge is a figure that rises and falls.
type Gauge struct{ value *expvar.Float }

// Set replaces the value.
func (g Gauge) Set(v float64) { g.value.Set(v) }

// Value returns the value.
func (g Gauge) Value() float64 { return g.value.Value() }

// Counter returns the counter of the name and documents it. The first
// description of a name stays.
func (r *Registry) Counter(name, unit, meaning string) Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, ok := r.values.Get(name).(*expvar.Int)
	if !ok {
		value = new(expvar.Int)
		r.register(Description{Name: name, Kind: CounterKind, Unit: unit, Meaning: meaning}, value)
	}
	return Counter{value}
}

// Gauge returns the gauge of the name and documents it. The first description
// of a name stays.
func (r *Registry) Gauge(name, unit, meaning string) Gauge {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, ok := r.values.Get(name).(*expvar.Float)
	if !ok {
		value = new(expvar.Float)
		r.register(Description{Name: name, Kind: GaugeKind, Unit: unit, Meaning: meaning}, value)
	}
	return Gauge{value}
}

// Func documents a figure that is read from its owner whenever it is served. A
// later call for the same name replaces the owner, because a process may start
// again within one operating system process.
func (r *Registry) Func(d Description, read func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.descriptions[d.Name] = d
	r.values.Set(d.Name, expvar.Func(func() any { return read() }))
}

// register publishes a value unless the name is in use for the other kind. The
// value works in that case but is not served.
func (r *Registry) register(d Description, value expvar.Var) {
	if _, taken := r.descriptions[d.Name]; taken {
		return
	}
	r.descriptions[d.Name] = d
	r.values.Set(d.Name, value)
}

// Descriptions returns the descriptions in ascending order of names.
func (r *Registry) Descriptions() []Description {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Description, 0, len(r.descriptions))
	for _, d := range r.descriptions {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Description) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
