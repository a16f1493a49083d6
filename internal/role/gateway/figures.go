package gateway

import (
	"time"

	"wasabihoist/internal/run/metrics"
)

// figures counts calls by what they ask for and by their outcome.
type figures struct {
	calls map[Method]map[Outcome]metrics.Counter
	times map[Method]*metrics.Histogram
}

func newFigures(r *metrics.Registry) figures {
	f := figures{calls: make(map[Method]map[Outcome]metrics.Counter), times: make(map[Method]*metrics.Histogram)}
	for m := Submit; m <= Count; m++ {
		f.calls[m] = make(map[Outcome]metrics.Counter)
		for o := Accepted; o <= Unavailable; o++ {
			f.calls[m][o] = r.Counter("gateway-"+m.String()+"-"+o.String(), "calls", "Calls to "+m.String()+" that were answered as "+o.String()+".")
		}
		f.times[m] = r.Histogram("gateway-"+m.String()+"-time", "Time from the arrival of a call to "+m.String()+" until its answer.")
	}
	return f
}

func (f figures) count(m Method, o Outcome, took time.Duration) {
	f.calls[m][o].Add(1)
	f.times[m].Record(took)
}
