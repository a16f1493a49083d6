package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and the precision of the times in a histogram.
const (
	shortestMicros = 1
	longestMicros  = int64(time.Minute / time.Microsecond)
	digits         = 2
)

// Histogram holds the distribution of times. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Record adds a time. One above a minute counts as a minute.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is inside the range, so it is always recorded.
	_ = h.values.RecordValue(min(max(d.Microseconds(), shortestMicros), longestMicros))
}

// summary is served for a histogram; times are in milliseconds.
type summary struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50-ms"`
	High   float64 `json:"p99-ms"`
	Most   float64 `json:"max-ms"`
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return summary{h.values.TotalCount(), millis(h.values.ValueAtQuantile(50)), millis(h.values.ValueAtQuantile(99)), millis(h.values.Max())}
}

// HistogramKind figures are distributions of times.
const HistogramKind Kind = "histogram"

// Histogram returns a new histogram under a name and documents it. It replaces
// an earlier one of the name.
func (r *Registry) Histogram(name, meaning string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(shortestMicros, longestMicros, digits)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.descriptions[name] = Description{Name: name, Kind: HistogramKind, Unit: "milliseconds", Meaning: meaning}
	r.values.Set(name, expvar.Func(h.summary))
	return h
}
