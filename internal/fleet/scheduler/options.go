// Package scheduler implements the scheduler duty: the role of the one process
// that runs the jobs of a data centre. It assigns worker leases to the agents
// that hold them, asks the placement planner for decisions, and starts, stops
// and recovers job attempts as the journal records them.
//
// A term is one period in which a process holds the duty. A record of the log is
// folded once the journal of this process has applied it. A claim is the record
// by which a data centre takes a queued job; an attempt is the work under one
// claim. The members of its gang are first started but held, and run once all of
// them are released. After a takeover, the new term settles each claim that an
// earlier one has left: it adopts the gang or ends the claim.
package scheduler

import (
	"errors"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
)

// ErrSuperseded is returned by Run when another scheduler of the data centre has
// acquired the lease of a worker.
var ErrSuperseded = errors.New("another scheduler holds the leases")

// Logger logs alternating keys and values. It has the method of go-kit/log.Logger.
type Logger interface {
	Log(keyvals ...any) error
}

type discardLogger struct{}

// Log implements Logger.
func (discardLogger) Log(...any) error { return nil }

// Timing holds the intervals, delays and timeouts of a scheduler. All durations
// must be positive.
type Timing struct {
	TTL           time.Duration // TTL is how long a worker lease lasts without renewal.
	RenewInterval time.Duration // RenewInterval is the time between two lease renewals; it is well below TTL.
	CallTimeout   time.Duration // CallTimeout bounds each call to a worker.
	RetryDelay    time.Duration // RetryDelay is the pause after a failed call or append.
	StartupGrace  time.Duration // StartupGrace is how long a new term waits for its workers before it places jobs.
	// ClaimDelay is how long other data centres wait before they claim a job that
	// prefers one. For a job without a preference, the turns of all data centres
	// share this time.
	ClaimDelay time.Duration
	// ReclaimInterval is how long a data centre has to start an urgent job before
	// the next one may reclaim accelerators for it.
	ReclaimInterval time.Duration

	DrainTimeout     time.Duration // DrainTimeout bounds the wait for starts in progress at a graceful stop.
	MaxClockSkew     time.Duration // MaxClockSkew is the largest difference between the clocks of two hosts.
	DecisionInterval time.Duration // DecisionInterval is the longest time between two decisions.
	UsageInterval    time.Duration // UsageInterval is the time between two reads of a worker's usage.

	PartitionInterval time.Duration // PartitionInterval is the time between two checks whether the racks must be partitioned anew among the lease holders.
}

// defaultWorkersPerHolder, in workers, keeps the traffic of an agent within
// 13 KB/s: a worker with 13 tasks costs its lease holder 199 B/s, and membership
// and the journal take 4.2 KB/s.
const defaultWorkersPerHolder = 40

// DefaultTiming returns the timing used in production. Urgent jobs must start
// within 9.1 s. One may wait for the claim of its preferred data centre (2 s)
// and for a checkpoint (4 s), which leaves 3 s for the log, the stop and the
// start.
func DefaultTiming() Timing {
	return Timing{
		TTL:           10 * time.Second,
		RenewInterval: 3 * time.Second,
		CallTimeout:   time.Second,
		RetryDelay:    200 * time.Millisecond,
		StartupGrace:  time.Second,
		ClaimDelay:    2 * time.Second,
		// The first data centre needs up to 4 s for a checkpoint and 1 s for the
		// start. About 4 s of the 9.1 s then remain for the second one.
		ReclaimInterval:   5 * time.Second,
		DrainTimeout:      5 * time.Second,
		MaxClockSkew:      2 * time.Second,
		DecisionInterval:  500 * time.Millisecond,
		UsageInterval:     30 * time.Second,
		PartitionInterval: time.Minute,
	}
}

// Options configure a Scheduler.
type Options struct {
	DataCentre       string
	Region           string
	Holder           string          // Holder names this process as a lease holder; it is unique to the process incarnation.
	Workers          []worker.Worker // Workers are those of all data centres of the deployment.
	Policy           placement.Policy
	Planner          placement.Options
	Timing           Timing
	Gang             gang.Options
	Health           HealthOptions
	Holders          Holders // Holders are the other agents that can hold leases; nil for none.
	WorkersPerHolder int     // WorkersPerHolder is the number of workers for one lease holder; a worker with many tasks counts as several.
	Logger           Logger  // Logger receives changes of state; nil for none.
}

// Default returns the options used in production. The caller sets the
// data centre, region, holder and workers.
func Default() Options {
	return Options{
		Policy:           placement.FirstFit{},
		Planner:          placement.Default(),
		Timing:           DefaultTiming(),
		Gang:             gang.Default(),
		Health:           DefaultHealthOptions(),
		WorkersPerHolder: defaultWorkersPerHolder,
	}
}
