package entry

import (
	"sync/atomic"

	"wasabihoist/internal/traffic/request"
)

// Counters count the calls of callers by their outcome.
type Counters struct {
	Requests atomic.Int64
	Jobs     atomic.Int64
	Done     atomic.Int64
	Failed   atomic.Int64
	NotRun   atomic.Int64
	Unknown  atomic.Int64
	Refused  atomic.Int64 // Refused at the limit of open calls.
	Invalid  atomic.Int64 // Invalid calls were refused with a list of findings.
	Behind   atomic.Int64 // Behind counts lookups of unknown work that the log did not confirm.
}

func (c *Counters) count(o request.Outcome) {
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
