package coordinator

import "time"

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job         *jobState
	number      int
	latestStart time.Time // latestStart is the latest time to start its remaining work; see the function latestStart.
}

// firstStep returns the index of its first step among the steps of all
// occurrences.
func (o occurrence) firstStep() int { return o.number * len(o.job.job.Steps) }

// activeOccurrences returns the numbers of the occurrences whose start time has
// passed and that have not finished.
func (j *jobState) activeOccurrences(at time.Time) []int {
	if j.progress.State.Ended() {
		return nil
	}
	var list []int
	for number := range j.job.Occurrences() {
		if j.job.Scheduled() && at.Before(j.job.EarliestStart(number)) {
			break
		}
		if !j.occurrenceFinished(number) {
			list = append(list, number)
		}
	}
	return list
}

// occurrenceFinished reports whether all steps of an occurrence have completed.
func (j *jobState) occurrenceFinished(number int) bool {
	stepCount := len(j.job.Steps)
	for s := number * stepCount; s < (number+1)*stepCount; s++ {
		if !j.progress.StepFinished(s) {
			return false
		}
	}
	return true
}

// activeAccelerators returns the number of accelerators that the active
// occurrences need.
func (j *jobState) activeAccelerators(at time.Time) int {
	return len(j.activeOccurrences(at)) * j.job.Accelerators()
}
