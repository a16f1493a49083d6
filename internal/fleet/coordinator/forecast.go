package coordinator

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// ErrNotLeading means that this process does not lead, so that it knows no fleet.
var ErrNotLeading = errors.New("this process does not lead")

// Forecast tells where the waiting tasks of a job would go in a plan made now.
type Forecast struct {
	Known bool            // Known is set if the job was accepted before.
	Rank  allocation.Rank // Rank is that of its first waiting step.
	Slack time.Duration   // Slack is how long the job can wait and still be done by its due time; negative if it will be late.
	Steps []StepForecast  // Steps has the steps that may start now. Those that depend on others are left out.
}

// StepForecast tells where the waiting tasks of a step would go.
type StepForecast struct {
	Step        int                                       // Step is the index among the steps of all occurrences.
	Tasks       int                                       // Tasks is the number of waiting tasks.
	Before      int                                       // Before is how many waiting steps are served first.
	Hosts       []string                                  // Hosts has one name for each task that would start now.
	Stops       []workload.ID                             // Stops has the job of each attempt that would be stopped to make room.
	Waits       bool                                      // Waits is set if tasks would get room that is about to become free.
	Reservation collection.Option[allocation.Reservation] // Reservation is what a gang would reserve.
	Fits        map[allocation.Fit]int                    // Fits counts the hosts of the service by their room for one task.
	Headroom    int                                       // Headroom is the number of accelerators that the step has to leave free.
}

// Forecast returns where the tasks of a job would go if it were accepted now. If a job
// with its ID was accepted before, it is that job. Nothing is started, stopped or
// recorded. The error is ErrNotLeading, or that of ctx.
func (c *Coordinator) Forecast(ctx context.Context, job workload.Job) (Forecast, error) {
	t := c.leading.Load()
	if t == nil {
		return Forecast{}, ErrNotLeading
	}
	forecast, ok := callLoop(ctx, t, func() Forecast { return t.forecast(job) })
	switch {
	case ok:
		return forecast, nil
	case ctx.Err() != nil:
		return Forecast{}, ctx.Err()
	default:
		return Forecast{}, ErrNotLeading
	}
}

// forecast makes a plan that includes the job, and carries nothing out.
func (t *term) forecast(job workload.Job) Forecast {
	j, known := t.jobs[job.ID]
	if !known {
		j = &jobState{job: job, acceptOrder: math.MaxInt64, progress: workload.NewProgress(job), failuresByStep: make(map[int]*stepFailures)}
		t.jobs[job.ID] = j
	}
	headroom, query := t.headroom, t.adviceCalls.next
	defer func() {
		t.headroom, t.adviceCalls.next = headroom, query
		if !known {
			t.forgetForecast(j)
		}
	}()
	plan := t.decide()
	f := Forecast{Known: known, Slack: t.slack(j, 0)}
	for i, d := range plan.demands {
		if plan.steps[d.ID].job != j {
			continue
		}
		if len(f.Steps) == 0 {
			f.Rank = d.Rank
		}
		s := t.forecastStep(d, plan.plan)
		s.Step, s.Before, s.Fits = plan.steps[d.ID].step, i, allocation.CountFits(d, plan.hosts)
		f.Steps = append(f.Steps, s)
	}
	return f
}

// forecastStep returns what the plan has for a demand.
func (t *term) forecastStep(d allocation.Demand, plan allocation.Plan) StepForecast {
	s := StepForecast{Tasks: d.Tasks, Headroom: d.Headroom, Waits: plan.Reserved.Has(d.ID)}
	for _, p := range plan.Placements {
		if p.Demand == d.ID {
			s.Hosts = p.Hosts
		}
	}
	for _, unit := range plan.Preempted {
		if plan.PreemptedFor[unit] == d.ID {
			s.Stops = append(s.Stops, t.attempts[unit].job.job.ID)
		}
	}
	slices.Sort(s.Stops)
	if r, ok := plan.Reservations[d.ID]; ok {
		s.Reservation = collection.Some(r)
	}
	return s
}

// forgetForecast removes what the plan has noted of a job that was not accepted.
func (t *term) forgetForecast(j *jobState) {
	delete(t.jobs, j.job.ID)
	for key := range t.reservations.byGang {
		if key.job == j {
			delete(t.reservations.byGang, key)
		}
	}
}
