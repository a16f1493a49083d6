package outlook_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
)

var made = time.Unix(1000, 0)

func accelerators(n int) workload.Resources { return workload.Resources{Accelerators: n} }

// newOutlook returns the outlook of a service with two hosts of eight accelerators and one
// of four, where more urgent work takes two minutes before bulk work.
func newOutlook() outlook.Outlook {
	return outlook.Outlook{
		Service: "app", At: made,
		Kinds: []outlook.HostKind{{Capacity: accelerators(8), Labels: []string{"a"}, Count: 2}, {Capacity: accelerators(4), Labels: []string{"b"}, Count: 1}},
		Waits: map[lateness.Class]time.Duration{lateness.Ordinary: 10 * time.Second, lateness.Low: 2 * time.Minute},
	}
}

func newJob(priority int, step workload.Step) workload.Job {
	step.Estimate = 5 * time.Second
	return workload.Job{ID: "job", Priority: priority, Submitted: made, Stretch: 2, Steps: []workload.Step{step}} // due after 10 s
}

// Guards against jobs that wait until their deadline although they can't be served, and
// against the refusal of those that can, or may be.
func TestRefuse(t *testing.T) {
	gang := func(count, each int, label string) workload.Step {
		return workload.Step{Count: count, Gang: true, Need: accelerators(each), Label: label}
	}
	for name, tt := range map[string]struct {
		job    workload.Job
		change func(*outlook.Outlook)
		age    time.Duration
		want   bool
	}{
		"fits":                                {job: newJob(1, gang(5, 4, ""))},
		"gang larger than the service":        {job: newJob(1, gang(6, 4, "")), want: true},
		"urgent gang larger than the service": {job: newJob(0, gang(6, 4, "")), want: true},
		"more single tasks than room":         {job: newJob(1, workload.Step{Count: 99, Need: accelerators(8)})},
		"task larger than any host":           {job: newJob(1, workload.Step{Count: 1, Need: accelerators(9)}), want: true},
		"label that no host has":              {job: newJob(1, workload.Step{Count: 1, Label: "c"}), want: true},
		"label of a small host":               {job: newJob(1, gang(1, 8, "b")), want: true},
		"gang that must spread": {
			job: newJob(1, workload.Step{Count: 4, Gang: true, Need: accelerators(1), SpreadLimit: 1}), want: true,
		},
		"hosts not known":                        {job: newJob(1, gang(6, 4, "")), change: func(o *outlook.Outlook) { o.Kinds = nil }},
		"old outlook":                            {job: newJob(1, gang(6, 4, "")), age: outlook.Validity + time.Second},
		"outlook of the future":                  {job: newJob(1, gang(6, 4, "")), age: -outlook.Validity - time.Second},
		"certainly worthless":                    {job: newJob(2, gang(1, 1, "")), want: true},
		"perhaps worthless":                      {job: newJob(2, gang(1, 1, "")), change: func(o *outlook.Outlook) { o.Waits[lateness.Low] = time.Minute }},
		"ordinary beside a backlog of bulk work": {job: newJob(1, gang(1, 1, ""))},
		"urgent work doesn't wait": {
			job: newJob(0, gang(1, 1, "")), change: func(o *outlook.Outlook) { o.Waits[lateness.Urgent] = time.Hour },
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOutlook()
			if tt.change != nil {
				tt.change(&o)
			}
			refusal, refused := o.Refuse(tt.job, made.Add(tt.age))
			qt.New(t).Check(refused, qt.Equals, tt.want, qt.Commentf("%+v", refusal))
		})
	}
}

// Replays a burst that is refused: clients that return together would meet the same
// overload.
func TestReturnsAreSpread(t *testing.T) {
	c := qt.New(t)
	times := collection.NewSet[time.Duration]()
	for i := range 200 {
		j := newJob(2, workload.Step{Count: 1})
		j.ID = workload.ID(fmt.Sprintf("%016x", i))
		refusal, refused := newOutlook().Refuse(j, made)
		c.Assert(refused, qt.IsTrue)
		c.Assert(refusal.RetryAfter >= time.Minute && refusal.RetryAfter <= 2*time.Minute, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
		times.Add(refusal.RetryAfter)
	}
	c.Check(len(times) > 40, qt.IsTrue, qt.Commentf("%d different times", len(times)))
}
