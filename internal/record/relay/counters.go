package relay

import "expvar"

// Counters count the work of a relay since its start.
type Counters struct {
	Appends expvar.Int // Appends to the log.
	Batches expvar.Int // Batches of writers in these appends.
	Failed  expvar.Int // Failed appends.
	Refused expvar.Int // Refused batches were not tried, because the relay was full or stopping.
}
