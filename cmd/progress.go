package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
)

const (
	// progressAfter keeps commands that end soon quiet.
	progressAfter = 2 * time.Second
	progressEvery = 2 * time.Second
	// progressRepeat shows that a command whose state does not change still runs.
	progressRepeat = 20 * time.Second
)

// describer says what a command waits for at the moment.
type describer func(ctx context.Context) string

// showProgress writes what a command waits for to the terminal until stop is
// called. Without a terminal it does nothing.
func (env environment) showProgress(ctx context.Context, describe describer) (stop func()) {
	if env.progress == nil {
		return func() {}
	}
	g := group.New(ctx)
	g.Go("progress", func(ctx context.Context) error {
		env.followProgress(ctx, describe)
		return nil
	})
	return func() {
		g.Stop()
		_ = g.Wait()
	}
}

func (env environment) followProgress(ctx context.Context, describe describer) {
	start := time.Now()
	last, shown := "", start
	for pause := progressAfter; ; pause = progressEvery {
		if group.Pause(ctx, pause) != nil {
			return
		}
		text := describe(ctx)
		if ctx.Err() != nil {
			return
		}
		if text != last || time.Since(shown) >= progressRepeat {
			writeLine(env.progress, "%s: %s", time.Since(start).Round(time.Second), text)
			last, shown = text, time.Now()
		}
	}
}

// callProgress is shown by commands that make one call.
func callProgress(address string) describer {
	return func(context.Context) string { return "waiting for the answer of entry " + address }
}

// requestProgress is shown while a request has no answer.
func requestProgress(r restapi.Request) describer {
	return func(context.Context) string {
		return fmt.Sprintf("waiting for the answer to request %s, until %s", r.ID, r.Deadline.Format(time.RFC3339))
	}
}

// jobProgress says what a job waits for.
func jobProgress(client *restapi.Client, id string) describer {
	return func(ctx context.Context) string {
		ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
		status, err := client.Job(ctx, id, 0)
		if err != nil {
			return fmt.Sprintf("job %s: %v", id, err)
		}
		if status.State != "queued" {
			return fmt.Sprintf("job %s is %s in %s on %s, attempt %d",
				id, status.State, status.DataCentre, strings.Join(status.Workers, " "), status.Attempt)
		}
		e, err := client.Explain(ctx, id)
		if err != nil {
			return fmt.Sprintf("job %s is queued; what it waits for is not known: %v", id, err)
		}
		text := fmt.Sprintf("job %s is queued; it waits for %s", id, e.WaitsFor)
		if e.BlockedBy != "" {
			text += "; blocked by " + e.BlockedBy
		}
		return text
	}
}
