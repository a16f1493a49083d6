package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestMillis = 120_000
	precision     = 3
)

// tally counts what became of one kind of work.
type tally struct {
	submitted int
	done      int
	failed    int
	refused   int
	unknown   int
	late      int
	times     *hdrhistogram.Histogram // times from submission to answer, in milliseconds.
}

// outcome is the result of one piece of work as its caller saw it.
type outcome struct {
	kind         string
	organisation string
	id           string
	idempotent   bool
	result       string
	reason       string
	useful       interval // useful is from the submission to the deadline.
	took         time.Duration
	late         bool
}

// record keeps the outcomes of all work.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
	tallies  map[string]*tally
	broken   []string // broken lists answers that were not what was asked for.
}

func newRecord() *record { return &record{tallies: map[string]*tally{}} }

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
	t := r.tallies[o.kind]
	if t == nil {
		t = &tally{times: hdrhistogram.New(0, longestMillis, precision)}
		r.tallies[o.kind] = t
	}
	t.submitted++
	switch o.result {
	case "done":
		t.done++
		// Times beyond the range of the histogram do not occur in a run of
		// at most 30 s.
		_ = t.times.RecordValue(o.took.Milliseconds())
	case "failed":
		t.failed++
	case "not-run":
		t.refused++
	default:
		t.unknown++
	}
	if o.late {
		t.late++
	}
}

func (r *record) complain(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.outcomes...)
}
