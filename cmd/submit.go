package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"wasabihoist/internal/role/restapi"
)

type submitCommand struct {
	callerOptions
	outputOption
	Request bool `long:"request" description:"The file holds a request for a minion; without this option it holds a job"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"JSON file as docs/api.md describes it, or - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func submitEntry() command {
	return command{
		name:  "submit",
		short: "Submit a job or a request",
		long: `Submits a gang job, or a request with --request, from a JSON file. Submitting the same id again returns the same job or answer.

Exit codes: 0 when the job was accepted or the request was done, 1 when it was refused, failed or its outcome is unknown, 2 for wrong usage.`,
		examples: []string{
			"wasabihoist submit job.json",
			"wasabihoist submit --request check.json",
		},
		runner: &submitCommand{},
	}
}

// Run implements runner.
func (c *submitCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	if c.Request {
		return c.runRequest(ctx, env, client, data)
	}
	var j restapi.Job
	if err := decodeStrict(c.Args.File, data, &j); err != nil {
		return err
	}
	status, err := callClient(ctx, env, c, client, func(ctx context.Context, client *restapi.Client) (restapi.JobStatus, error) {
		return client.Submit(ctx, j)
	})
	if err != nil {
		return err
	}
	if err := writeJobStatus(env.stdout, c.outputOption, status); err != nil {
		return err
	}
	if status.State == "" {
		return errFindings
	}
	return nil
}

func (c *submitCommand) runRequest(ctx context.Context, env environment, client *restapi.Client, data []byte) error {
	var r restapi.Request
	if err := decodeStrict(c.Args.File, data, &r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, latest(r.Deadline, time.Now()).Add(defaultCallTimeout))
	defer cancel()
	defer env.showProgress(ctx, requestProgress(r))()
	answer, err := client.Run(ctx, r)
	if err != nil {
		return err
	}
	return writeAnswer(env.stdout, c.outputOption, answer)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func decodeStrict(path string, data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// writeAnswer prints the answer to a request. Every outcome but done is a
// failure of the command.
func writeAnswer(w io.Writer, o outputOption, a restapi.Answer) error {
	if o.json() {
		if err := writeJSON(w, a); err != nil {
			return err
		}
	} else if err := writeTable(w, []string{"ID", "OUTCOME", "REASON", "BODY"}, [][]string{{a.ID, a.Outcome, a.Reason, string(a.Body)}}); err != nil {
		return err
	}
	if a.Outcome != "done" {
		return errFindings
	}
	return nil
}

func writeJobStatus(w io.Writer, o outputOption, s restapi.JobStatus) error {
	if o.json() {
		return writeJSON(w, s)
	}
	row := []string{s.ID, s.State, s.Outcome, s.DataCentre, fmt.Sprint(s.Attempt), s.Reason}
	return writeTable(w, []string{"ID", "STATE", "OUTCOME", "DATA CENTRE", "ATTEMPT", "REASON"}, [][]string{row})
}
