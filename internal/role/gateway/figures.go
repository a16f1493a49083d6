package gateway

import (
	"time"

	"wasabihoist/internal/run/metrics"
)

// callMetrics counts calls by what they ask for and by their outcome.
type callMetrics struct {
	calls     map[Method]map[Outcome]metrics.Counter
	durations map[Method]*metrics.Histogram
}

func newCallMetrics(r *metrics.Registry) callMetrics {
	f := callMetrics{calls: make(map[Method]map[Outcome]metrics.Counter), durations: make(map[Method]*metrics.Histogram)}
	for m := Submit; m <= Count; m++ {
		f.calls[m] = make(map[Outcome]metrics.Counter)
		for o := Accepted; o <= Unavailable; o++ {
			f.calls[m][o] = r.Counter("gateway-"+m.String()+"-"+o.String(), "calls", "Calls to "+m.String()+" that were answered as "+o.String()+".")
		}
		f.durations[m] = r.Histogram("gateway-"+m.String()+"-time", "Time from the arrival of a call to "+m.String()+" until its answer.")
	}
	return f
}

func (f callMetrics) record(m Method, o Outcome, took time.Duration) {
	f.calls[m][o].Add(1)
	f.durations[m].Record(took)
}
