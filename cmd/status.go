package cmd

import (
	"context"
	"fmt"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
)

const (
	waitStep  = 30 * time.Second // waitStep is how long one call waits; an entry bounds it as well.
	waitGrace = 5 * time.Second  // waitGrace is how much later the answer to such a call may come.
	waitRetry = time.Second      // waitRetry is the pause after a call without an answer.
)

type statusCommand struct {
	callerOptions
	outputOption
	Request bool `long:"request" description:"The id is that of a request; without this option it is that of a job"`
	Args    struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

func statusEntry() command {
	return command{
		name:  "status",
		short: "Show a job or a request",
		long: `Shows what is known of a job, or of a request with --request. Any entry can be asked.

Exit codes: 0 when it is known (for a request: when it is done), 1 otherwise, 2 for wrong usage.`,
		examples: []string{"wasabihoist status match-17", "wasabihoist status --request check-1"},
		runner:   &statusCommand{},
	}
}

// Run implements runner.
func (c *statusCommand) Run(ctx context.Context, env environment) error {
	if c.Request {
		answer, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.Answer, error) {
			return client.Request(ctx, c.Args.ID)
		})
		if err != nil {
			return err
		}
		return writeAnswer(env.stdout, c.outputOption, answer)
	}
	status, err := callEntry(ctx, env, c, func(ctx context.Context, client *restapi.Client) (restapi.JobStatus, error) {
		return client.Job(ctx, c.Args.ID, 0)
	})
	if err != nil {
		return err
	}
	return writeJobStatus(env.stdout, c.outputOption, status)
}

type waitCommand struct {
	callerOptions
	outputOption
	Timeout time.Duration `long:"timeout" default:"10m" description:"How long to wait"`
	Args    struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`

	step time.Duration // step is how long one call waits.
}

func waitEntry() command {
	return command{
		name:  "wait",
		short: "Wait until a job has ended",
		long: `Waits until a job has ended and shows its outcome. Once the entry has answered, the command goes on waiting when the entry is replaced or a connection breaks.

Exit codes: 0 when the job is done, 1 for any other outcome or when the time is over, 2 for wrong usage.`,
		examples: []string{"wasabihoist wait --timeout 1h match-17"},
		runner:   &waitCommand{step: waitStep},
	}
}

// Run implements runner.
func (c *waitCommand) Run(ctx context.Context, env environment) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(defaultCallTimeout))
	defer cancel()
	defer env.showProgress(ctx, jobProgress(client, c.Args.ID))()
	var last restapi.JobStatus
	for {
		status, err := c.ask(ctx, client, time.Until(deadline))
		switch {
		case err == nil:
			last = status
		case last.ID == "" || !restapi.Retryable(err) || !time.Now().Before(deadline):
			return err
		default:
			_ = group.Pause(ctx, waitRetry)
			continue
		}
		if ended(status) || !time.Now().Before(deadline) {
			return c.finish(env, status)
		}
	}
}

// ask waits for the job in one call. The call is bounded, because a connection
// may fall silent for good.
func (c *waitCommand) ask(ctx context.Context, client *restapi.Client, rest time.Duration) (restapi.JobStatus, error) {
	wait := max(min(c.step, rest), time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait+waitGrace)
	defer cancel()
	return client.Job(ctx, c.Args.ID, wait)
}

func (c *waitCommand) finish(env environment, status restapi.JobStatus) error {
	if err := writeJobStatus(env.stdout, c.outputOption, status); err != nil {
		return err
	}
	if !ended(status) {
		return fmt.Errorf("job %s is still %s after %s", c.Args.ID, status.State, c.Timeout)
	}
	if status.Outcome != "done" {
		return errFindings
	}
	return nil
}

func ended(s restapi.JobStatus) bool { return s.State == "ended" }
