package gateway

import (
	"errors"
	"fmt"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Describe returns the job that a submission would create, without accepting it. The
// error says why the configuration in force does not permit it, or what is wrong with
// its body.
func (g *Gateway) Describe(c Call) (workload.Job, error) {
	if g.currentConfig.Get() == nil {
		return workload.Job{}, errors.New("there is no configuration yet")
	}
	admitted, denial := g.admit(c)
	if denial != nil {
		return workload.Job{}, fmt.Errorf("%s: %s", denial.Outcome, denial.Reason)
	}
	submission, err := g.options.Decode(c.Body)
	if err != nil {
		return workload.Job{}, err
	}
	job := newJob(admitted, submission)
	return job, job.Validate()
}

// newJob returns the job of a submission to the queue of an admitted call.
func newJob(a admission, s Submission) workload.Job {
	q := a.queue
	return workload.Job{
		ID: a.job, Queue: q.Name, Organisation: a.organisation, Service: q.Service, Spec: s.Spec, Steps: s.Steps, Schedule: s.Schedule,
		Submitted: time.Now(), Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective,
		Adviser: workload.AdviserUseOf(q.UsesAdviser),
	}
}
