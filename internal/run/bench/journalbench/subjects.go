package journalbench

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// gangMembers is the size of the gangs in the measurements.
const gangMembers = 4

// subject is a kind of thing that the fold keeps.
type subject struct {
	name  string
	sizes []int
	// records returns the records for one of them. offset is that of the first
	// record when each has its own append.
	records func(i int, offset int64) []journal.Record
	// whole subjects are all in one record.
	whole func(count int) journal.Record
}

func subjects(o Options) []subject {
	return []subject{
		{name: "running-job", sizes: o.Sizes, records: runningJob},
		{name: "job-life", sizes: o.Sizes, records: jobLife},
		{name: "request-claim", sizes: o.Sizes, records: func(i int, _ int64) []journal.Record { return answeredClaim(i, o.AnswerBytes) }},
		{name: "claim-without-answer", sizes: o.Sizes, records: func(i int, _ int64) []journal.Record { return answeredClaim(i, 0) }},
		{name: "audit-entry", sizes: o.AuditSizes, records: auditEntry},
		{name: "organisation", sizes: o.Organisations, whole: func(count int) journal.Record { return Configuration(count) }},
	}
}

func identity(i int) request.Identity {
	return request.Identity{Organisation: fmt.Sprintf("organisation-%03d", i%240), ID: fmt.Sprintf("work-%08d", i)}
}

func runningJob(i int, offset int64) []journal.Record {
	shape := organisation.Shape{Members: gangMembers, Accelerators: 2, Adjacency: organisation.WithinRack}
	submitted := job.Job{
		Identity: identity(i), Kind: "costume-match", Shape: shape, Cores: 16, Memory: 64e9,
		RunTime: 2 * time.Hour, Idempotent: true, DataCentre: "mobile-back", Submitted: time.Now(),
	}
	workers := make([]string, gangMembers)
	for m := range workers {
		workers[m] = fmt.Sprintf("mobile-back-%04d", (i+m)%440)
	}
	return []journal.Record{
		journal.JobSubmitted{Job: submitted},
		journal.JobClaimed{Identity: identity(i), DataCentre: "mobile-back", Workers: workers},
		journal.JobRunning{Identity: identity(i), Claim: offset + 1},
	}
}

func jobLife(i int, offset int64) []journal.Record {
	end := journal.JobEnded{Identity: identity(i), Claim: offset + 1, Outcome: request.Done}
	return append(runningJob(i, offset), end)
}

func answeredClaim(i, size int) []journal.Record {
	return []journal.Record{
		journal.RequestClaimed{Identity: identity(i), Deadline: time.Now().Add(time.Minute)},
		journal.RequestFinished{Identity: identity(i), Outcome: request.Done, Body: make([]byte, size)},
	}
}

func auditEntry(i int, _ int64) []journal.Record {
	return []journal.Record{journal.Audit{
		Actor: "ana", Action: "publish configuration", Subject: fmt.Sprintf("version %d", i),
		Reason: "3 changes", Before: fmt.Sprintf("version %d", i-1), After: fmt.Sprintf("version %d", i),
	}}
}

// Configuration has one plan for each ten organisations.
func Configuration(count int) journal.ConfigurationPublished {
	record := journal.ConfigurationPublished{Operator: "ana"}
	shape := organisation.Shape{Members: gangMembers, Accelerators: 2, Adjacency: organisation.WithinRack}
	for i := range count {
		plan := fmt.Sprintf("plan-%03d", i/10)
		record.Organisations = append(record.Organisations, organisation.Organisation{Name: identity(i).Organisation, Plan: plan})
		if i%10 == 0 {
			record.Plans = append(record.Plans, organisation.Plan{
				Name: plan, Services: []string{"fitting-desk"}, Kinds: []string{"costume-match", "shade-check", "render-hold"},
				Guarantees: []organisation.Guarantee{{Shape: shape, Count: 2}}, AcceleratorLimit: 64, QueueLimit: 64, Share: 2,
			})
		}
	}
	return record
}
