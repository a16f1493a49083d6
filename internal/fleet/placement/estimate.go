package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
)

const (
	// sampleWindow is the number of ended jobs that a ratio is learned from.
	sampleWindow = 32
	// sampleLeast is the number of ended jobs below which declared values stand.
	sampleLeast = 5
	// ratioLeast and ratioMost bound the correction, so that a few broken jobs
	// cannot make all later ones of their kind impossible to place.
	ratioLeast, ratioMost = 0.05, 20
)

// window holds the last ratios of real to declared values.
type window struct {
	samples []float64
	next    int
	sorted  []float64 // sorted copy of samples; nil after a change.
}

func (w *window) add(ratio float64) {
	w.sorted = nil
	if len(w.samples) < sampleWindow {
		w.samples = append(w.samples, ratio)
		return
	}
	w.samples[w.next] = ratio
	w.next = (w.next + 1) % sampleWindow
}

// quantile returns the ratio to apply to declared values.
func (w *window) quantile(q float64) float64 {
	if len(w.samples) < sampleLeast {
		return 1
	}
	if w.sorted == nil {
		w.sorted = slices.Sorted(slices.Values(w.samples))
	}
	at := min(int(q*float64(len(w.sorted))), len(w.sorted)-1)
	return min(max(w.sorted[at], ratioLeast), ratioMost)
}

// ratios are what is learned of one kind of job of one organisation.
type ratios struct {
	runTime, memory, cores window
}

type kindKey struct{ organisation, kind string }

// estimator learns how far declared values are off.
type estimator struct {
	kinds map[kindKey]*ratios
}

func (x *estimator) of(j job.Job) *ratios {
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
	r := x.of(j)
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
	return time.Duration(float64(j.RunTime) * x.of(j).runTime.quantile(o.RunTimeQuantile))
}

// member returns the expected size of one member. Memory and cores are rounded
// up to steps, so that jobs of one kind stay in few classes.
func (x *estimator) member(j job.Job, o *Options) worker.Resources {
	const memoryStep, coreStep = 1 << 28, 0.25
	r := x.of(j)
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
