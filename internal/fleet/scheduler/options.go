// Package scheduler is the duty that runs the jobs of one data centre: it gives
// the leases of the workers to holders, decides with the planner, and starts,
// stops and settles attempts by the journal.
package scheduler

import (
	"errors"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
)

// ErrSuperseded is returned by Run when another scheduler has taken the lease
// of a worker.
var ErrSuperseded = errors.New("another scheduler holds the leases")

// Logger takes keys and values in turn. It is the Logger of go-kit/log.
type Logger interface {
	Log(keyvals ...any) error
}

type noLogger struct{}

// Log discards the line.
func (noLogger) Log(...any) error { return nil }

// Limits are the times of the duty. All durations must be positive.
type Limits struct {
	TTL        time.Duration // TTL of the worker leases.
	Renew      time.Duration // Renew is the time between two renewals; well below TTL.
	Call       time.Duration // Call bounds every call to a worker.
	Retry      time.Duration // Retry is the pause after a failed call or append.
	Grace      time.Duration // Grace is how long a new term waits for workers before it places jobs.
	OtherClaim time.Duration // OtherClaim is how long the preferred data centre has for its claim.
	// ReclaimTurn is how long a data centre has to start an urgent job before
	// the next one may ask jobs to leave for it.
	ReclaimTurn time.Duration

	Drain time.Duration // Drain bounds the starts in progress at a graceful stop.
	Skew  time.Duration // Skew is the largest difference of clocks between hosts.
	Tick  time.Duration // Tick is the longest time between two decisions.
	Usage time.Duration // Usage is the time between two reads of a worker's usage.

	Divide time.Duration // Divide is the time between two comparisons of the parts of the leases with the tasks.
}

// defaultShare keeps an agent within 13 KB/s: a worker with 13 tasks costs its
// holder 199 B/s, and membership and the journal take 4.2 KB/s.
const defaultShare = 40

// DefaultLimits are those of production. An urgent job may wait for the claim of
// its preferred data centre (2 s) and for a checkpoint (4 s), which leaves 3 s
// of the 9.1 s for the log, the stop and the start.
func DefaultLimits() Limits {
	return Limits{
		TTL:        10 * time.Second,
		Renew:      3 * time.Second,
		Call:       time.Second,
		Retry:      200 * time.Millisecond,
		Grace:      time.Second,
		OtherClaim: 2 * time.Second,
		// The first data centre needs up to 4 s for a checkpoint and 1 s for the
		// start; the second one has 4 s left of the 9.1 s.
		ReclaimTurn: 5 * time.Second,
		Drain:       5 * time.Second,
		Skew:        2 * time.Second,
		Tick:        500 * time.Millisecond,
		Usage:       30 * time.Second,
		Divide:      time.Minute,
	}
}

// Options are the settings of a Scheduler.
type Options struct {
	DataCentre string
	Region     string
	Holder     string          // Holder is unique to the process incarnation.
	Workers    []worker.Worker // Workers of all data centres of the deployment.
	Policy     placement.Policy
	Planner    placement.Options
	Limits     Limits
	Gang       gang.Options
	Health     HealthOptions
	Holders    Holders // Holders are the other agents; nil for none.
	Share      int     // Share is the number of workers for one holder; many tasks on a worker count as further workers.
	Logger     Logger  // Logger receives changes of state; nil for none.
}

// Default returns production options without names and workers.
func Default() Options {
	return Options{
		Policy:  placement.FirstFit{},
		Planner: placement.DefaultOptions(),
		Limits:  DefaultLimits(),
		Gang:    gang.Default(),
		Health:  DefaultHealth(),
		Share:   defaultShare,
	}
}
