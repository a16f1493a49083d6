// Package journalbench measures what the journal costs: memory, processor time
// and bytes on the log for each thing that the fold keeps, the size and time
// of snapshots, and the throughput and latency of writers against the stand-in
// of the log service.
package journalbench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options are the settings of Run.
type Options struct {
	Sizes         []int         // Sizes are the numbers of jobs and of request claims.
	AuditSizes    []int         // AuditSizes are below the bound of the kept audit trail.
	Organisations []int         // Organisations are the numbers in a configuration.
	Batch         int           // Batch is the number of records in an append.
	AnswerBytes   int           // AnswerBytes is the size of the answer of a claim.
	Hold          Hold          // Hold has the numbers of the state whose snapshots are taken while records are folded.
	Writers       []Writers     // Writers are the deployments that append.
	Callers       int           // Callers wait for a record each at every writer.
	Duration      time.Duration // Duration of each measurement with writers.
	Output        io.Writer     // Output gets the result as JSON; nil for none.
}

// Writers is a deployment whose processes append.
type Writers struct {
	Processes int
	Relays    int // Relays append for the processes; 0 when each one appends directly.
}

// Default returns the options used by the command line.
func Default() Options {
	return Options{
		Sizes:         []int{1_000, 10_000, 40_000},
		AuditSizes:    []int{250, 500, 1_000},
		Organisations: []int{60, 240, 960},
		Batch:         50,
		AnswerBytes:   100,
		Hold:          Hold{RunningJobs: 11_000, EndedJobs: 11_000, Claims: 78_000, Organisations: 240},
		Writers:       []Writers{{1, 0}, {14, 0}, {60, 0}, {60, 4}, {200, 0}, {200, 14}},
		Callers:       2,
		Duration:      5 * time.Second,
	}
}

// Result holds all measurements.
type Result struct {
	Folds   []Fold
	Hold    Hold
	Writers []Throughput
}

// Run measures. It takes about a minute with the default options.
func Run(ctx context.Context, o Options) (Result, error) {
	var result Result
	for _, s := range subjects(o) {
		for _, count := range s.sizes {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			fold, err := measureFold(ctx, s, count, o.Batch)
			if err != nil {
				return result, fmt.Errorf("measure %d of %s: %w", count, s.name, err)
			}
			result.Folds = append(result.Folds, fold)
		}
	}
	hold, err := measureHold(ctx, o)
	if err != nil {
		return result, fmt.Errorf("measure snapshots while records are folded: %w", err)
	}
	result.Hold = hold
	for _, w := range o.Writers {
		throughput, err := measureWriters(ctx, w, o)
		if err != nil {
			return result, fmt.Errorf("measure %d writers: %w", w.Processes, err)
		}
		result.Writers = append(result.Writers, throughput)
	}
	return result, result.write(o.Output)
}
