package gateway

import (
	"time"

	"wasabihoist/internal/run/metrics"
)

// callMetrics counts calls by method and outcome and records their durations by
// method.
type callMetrics struct {
	calls     map[Method]map[Outcome]metrics.Counter
	durations map[Method]*metrics.Histogram
}

func newCallMetrics(r *metrics.Registry) callMetrics {
	c := callMetrics{calls: make(map[Method]map[Outcome]metrics.Counter), durations: make(map[Method]*metrics.Histogram)}
	for m := Submit; m <= Count; m++ {
		c.calls[m] = make(map[Outcome]metrics.Counter)
		for o := Accepted; o <= TooSlow; o++ {
			c.calls[m][o] = r.Counter("gateway-"+m.String()+"-"+o.String(), "calls", "Calls to "+m.String()+" that were answered as "+o.String()+".")
		}
		c.durations[m] = r.Histogram("gateway-"+m.String()+"-time", "Time from the arrival of a call to "+m.String()+" until its answer.")
	}
	return c
}

func (c callMetrics) record(m Method, o Outcome, took time.Duration) {
	c.calls[m][o].Add(1)
	c.durations[m].Record(took)
}
