// Package worker holds the domain types of the platform's workers and a client for
// their HTTP API.
package worker

import (
	"fmt"
	"net/netip"
)

// Resources is the capacity of a worker, or the demand or usage of a task.
type Resources struct {
	Cores        float64 // Cores is the number of processor cores.
	Memory       int64   // Memory is in bytes.
	Accelerators int
}

// Fits reports whether r is within available.
func (r Resources) Fits(available Resources) bool {
	return r.Cores <= available.Cores && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// String formats the resources for messages, with memory in megabytes.
func (r Resources) String() string {
	return fmt.Sprintf("%g cores, %d MB, %d accelerators", r.Cores, r.Memory/1_000_000, r.Accelerators)
}

// Worker is one machine of the platform that runs tasks.
type Worker struct {
	Name       string
	Rack       string
	DataCentre string
	Address    netip.AddrPort // Address of the worker's HTTP API.
	Capacity   Resources
}
