package demo

import (
	"time"

	"wasabihoist/internal/role/restapi"
)

// requestKind is a kind of request and how often it is submitted.
type requestKind struct {
	kind          string
	organisations []string
	idempotent    bool
	every         time.Duration // every is the time between two submissions.
	work          time.Duration // work is the time a minion takes.
	deadline      time.Duration // deadline after which the answer is of no use.
}

// jobKind is a kind of gang job and when it is submitted.
type jobKind struct {
	kind          string
	organisations []string
	job           restapi.Job
	run           time.Duration
	deadline      time.Duration
	bursts        []burst
}

// burst is a number of jobs that are submitted together.
type burst struct {
	at    time.Duration // at is the time since the start of the workload.
	count int
}

// workload is what the callers of a deployment submit.
type workload struct {
	requests []requestKind
	jobs     []jobKind
	plan     string // plan is the one that the operator edits.
}

// workloads returns the kinds of work of each deployment, shortened so that
// the demonstration ends in time: what takes hours in production takes seconds.
func workloads() map[string]workload {
	return map[string]workload{"magnolia": magnoliaWorkload(), "folha-viva": folhaVivaWorkload()}
}

func magnoliaWorkload() workload {
	stages := []string{"lyceum-players", "delta-opera"}
	return workload{
		plan: "wedding",
		requests: []requestKind{
			{
				kind: "shade-check", organisations: append([]string{"bayou-weddings"}, stages...), idempotent: true,
				every: 12 * time.Millisecond, work: 40 * time.Millisecond, deadline: 2 * time.Second,
			},
			{
				kind: "render-hold", organisations: []string{"bayou-weddings", "corner-catalog"},
				every: 60 * time.Millisecond, work: 30 * time.Millisecond, deadline: 4 * time.Second,
			},
		},
		jobs: []jobKind{
			{
				kind: "costume-match", organisations: stages, run: 2500 * time.Millisecond, deadline: 9 * time.Second,
				job:    restapi.Job{Members: 2, Accelerators: 8, Adjacency: "rack", Cores: 16, MemoryMB: 64_000},
				bursts: []burst{{0, 2}, {3 * time.Second, 2}, {6 * time.Second, 2}},
			},
			{
				kind: "catalog-render", organisations: []string{"corner-catalog"}, run: 1200 * time.Millisecond, deadline: 12 * time.Second,
				job:    restapi.Job{Members: 4, Accelerators: 2, Adjacency: "data-centre", Cores: 8, MemoryMB: 32_000},
				bursts: []burst{{time.Second, 12}, {5 * time.Second, 12}},
			},
		},
	}
}

func folhaVivaWorkload() workload {
	pickers := []string{"serra-pickers", "vale-pickers"}
	return workload{
		plan: "buying",
		requests: []requestKind{
			{
				kind: "photo-check", organisations: append([]string{"weighing-shed"}, pickers...), idempotent: true,
				every: 10 * time.Millisecond, work: 50 * time.Millisecond, deadline: 1500 * time.Millisecond,
			},
			{
				kind: "moth-check", organisations: append([]string{"weighing-shed"}, pickers...),
				every: 80 * time.Millisecond, work: 60 * time.Millisecond, deadline: 4 * time.Second,
			},
			{
				kind: "pay-tally", organisations: []string{"pay-office"},
				every: 200 * time.Millisecond, work: 80 * time.Millisecond, deadline: 5 * time.Second,
			},
		},
		jobs: []jobKind{
			{
				kind: "leaf-sort", organisations: pickers, run: 1500 * time.Millisecond, deadline: 8 * time.Second,
				job:    restapi.Job{Members: 4, Accelerators: 4, Adjacency: "rack", Cores: 8, MemoryMB: 24_000},
				bursts: []burst{{0, 3}, {2500 * time.Millisecond, 4}, {6 * time.Second, 4}},
			},
		},
	}
}
