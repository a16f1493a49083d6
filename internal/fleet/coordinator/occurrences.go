package coordinator

import "time"

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job    *jobState
	number int
	latest time.Time // latest is when it has to start next.
}

// first returns the number of its first step.
func (o occurrence) first() int { return o.number * len(o.job.job.Steps) }

// begun returns the occurrences whose time has come and that have not finished.
func (j *jobState) begun(at time.Time) []int {
	if j.progress.State.Ended() {
		return nil
	}
	var list []int
	for number := range j.job.Occurrences() {
		if j.job.Scheduled() && at.Before(j.job.Begin(number)) {
			break
		}
		if !j.finished(number) {
			list = append(list, number)
		}
	}
	return list
}

// finished reports whether all steps of an occurrence have ended well.
func (j *jobState) finished(number int) bool {
	cycle := len(j.job.Steps)
	for s := number * cycle; s < (number+1)*cycle; s++ {
		if !j.progress.StepFinished(s) {
			return false
		}
	}
	return true
}

// accelerators returns what the occurrences in progress need.
func (j *jobState) accelerators(at time.Time) int {
	return len(j.begun(at)) * j.job.Accelerators()
}
