package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
)

const (
	// maxSamples is the number of most recent jobs that a ratio is learned from.
	maxSamples = 32
	// minSamples is the number of ended jobs below which declared values are used.
	minSamples = 5
	// minRatio and maxRatio bound the correction, so that a few faulty jobs
	// cannot make all later jobs of their kind impossible to place.
	minRatio, maxRatio = 0.05, 20
)

// window is a ring buffer of the last ratios of measured to declared values.
type window struct {
	samples []float64
	next    int
	sorted  []float64 // sorted copy of samples; nil after a change.
}

func (w *window) add(ratio float64) {
	w.sorted = nil
	if len(w.samples) < maxSamples {
		w.samples = append(w.samples, ratio)
		return
	}
	w.samples[w.next] = ratio
	w.next = (w.next + 1) % maxSamples
}

// quantile returns the ratio by which declared values are corrected; 1 below
// minSamples.
func (w *window) quantile(q float64) float64 {
	if len(w.samples) < minSamples {
		return 1
	}
	if w.sorted == nil {
		w.sorted = slices.Sorted(slices.Values(w.samples))
	}
	at := min(int(q*float64(len(w.sorted))), len(w.sorted)-1)
	return min(max(w.sorted[at], minRatio), maxRatio)
}

// ratios are learned for one kind of job of one organisation.
type ratios struct {
	runTime, memory, cores window
}

type kindKey struct{ organisation, kind string }

// estimator learns how much measured values differ from declared ones.
type estimator struct {
	kinds map[kindKey]*ratios
}

func (x *estimator) ratiosOf(j job.Job) *ratios {
	key := kindKey{j.Identity.Organisation, j.Kind}
	r, ok := x.kinds[key]
	if !ok {
		r = &ratios{}
		x.kinds[key] = r
	}
	return r
}

// learn records a job that ran to its end.
func (x *estimator) learn(j job.Job, ran time.Duration, peak worker.Resources) {
	r := x.ratiosOf(j)
	if j.RunTime > 0 && ran > 0 {
		r.runTime.add(float64(ran) / float64(j.RunTime))
	}
	if j.Memory > 0 && peak.Memory > 0 {
		r.memory.add(float64(peak.Memory) / float64(j.Memory))
	}
	if j.Cores > 0 && peak.Cores > 0 {
		r.cores.add(peak.Cores / j.Cores)
	}
}

// runTime returns the expected run time.
func (x *estimator) runTime(j job.Job, o *Options) time.Duration {
	return time.Duration(float64(j.RunTime) * x.ratiosOf(j).runTime.quantile(o.RunTimeQuantile))
}

// member returns the expected size of one member. Corrected memory and cores
// are rounded up to steps of 256 MiB and a quarter of a core, so that jobs of one kind
// form few classes.
func (x *estimator) member(j job.Job, o *Options) worker.Resources {
	const memoryStep, coreStep = 1 << 28, 0.25
	r := x.ratiosOf(j)
	memory := float64(j.Memory) * r.memory.quantile(o.SizeQuantile)
	cores := j.Cores * r.cores.quantile(o.SizeQuantile)
	member := j.Member()
	if int64(memory) != j.Memory {
		member.Memory = (int64(memory)/memoryStep + 1) * memoryStep
	}
	if cores != j.Cores {
		member.Cores = float64(int(cores/coreStep)+1) * coreStep
	}
	return member
}
