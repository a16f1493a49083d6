package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"wasabihoist/internal/role/restapi"
)

type explainCommand struct {
	operatorOptions
	outputOption
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION"`
		ID           string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func explainEntry() command {
	return command{
		name:  "explain",
		short: "Explain why a job waits, and what has happened to it",
		long: `Shows what a job waits for, which plan or shape stands before it, and what would have to change. Below it is the history of the job: its last 20 steps such as start, move, reclaim, release and end, the oldest of them first, with time, log offset and reason.

Exit codes: 0 when a scheduler explained the job, 1 otherwise, 2 for wrong usage.`,
		examples: []string{"wasabihoist explain lyceum-players match-17"},
		runner:   &explainCommand{},
	}
}

// Run implements runner.
func (c *explainCommand) Run(ctx context.Context, env environment) error {
	e, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.Explanation, error) {
		return client.ExplainAny(ctx, c.Args.Organisation, c.Args.ID)
	})
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(env.stdout, e)
	}
	rows := [][]string{
		{"state", e.State},
		{"waits for", e.WaitsFor},
		{"blocked by", e.BlockedBy},
		{"would start if", e.WouldStartIf},
	}
	if err := writeTable(env.stdout, []string{"JOB", c.Args.Organisation + "/" + e.ID}, rows); err != nil {
		return err
	}
	return writeHistory(env.stdout, e.History)
}

// writeHistory writes a second table, unless nothing has happened to the job.
func writeHistory(w io.Writer, history []restapi.HistoryEntry) error {
	if len(history) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	var rows [][]string
	for _, h := range history {
		rows = append(rows, []string{h.Time.UTC().Format(time.RFC3339), fmt.Sprint(h.Offset), h.Action, h.Reason, h.After})
	}
	return writeTable(w, []string{"TIME", "OFFSET", "ACTION", "REASON", "AFTER"}, rows)
}
