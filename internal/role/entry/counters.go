package entry

import (
	"sync/atomic"

	"wasabihoist/internal/traffic/request"
)

// Counters are the counters of the caller interface: submissions by kind,
// answers by outcome, and refused calls.
type Counters struct {
	Requests           atomic.Int64
	Jobs               atomic.Int64
	Done               atomic.Int64
	Failed             atomic.Int64
	NotRun             atomic.Int64
	Unknown            atomic.Int64
	Refused            atomic.Int64 // Refused counts calls refused at the limit of concurrent calls.
	Invalid            atomic.Int64 // Invalid counts submissions refused because their body is invalid.
	UnconfirmedLookups atomic.Int64 // UnconfirmedLookups counts lookups of unknown work for which the journal could not be brought up to date with the log.
}

func (c *Counters) countOutcome(o request.Outcome) {
	switch o {
	case request.Done:
		c.Done.Add(1)
	case request.Failed:
		c.Failed.Add(1)
	case request.NotRun:
		c.NotRun.Add(1)
	case request.Unknown:
		c.Unknown.Add(1)
	case request.Pending:
	}
}
