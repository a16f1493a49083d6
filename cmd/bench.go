package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// subject is something that can be measured.
type subject struct {
	name  string
	short string
	run   func(ctx context.Context, o benchOptions) (any, error)
}

// benchOptions are what all subjects understand.
type benchOptions struct {
	seed     uint64
	progress io.Writer // progress gets a line now and then; it may discard them.
}

type benchCommand struct {
	Seed   uint64 `long:"seed" default:"1" description:"Seed of random choices"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"json prints one object on the last line"`
	Args   struct {
		Subject string `positional-arg-name:"SUBJECT" description:"What to measure; without it the subjects are listed"`
	} `positional-args:"yes"`
}

func benchEntry() command {
	return command{
		name:  "bench",
		short: "Measure a part of the system",
		long: `Measures a subject, or lists the subjects when none is given. With --output json the last line is one JSON object.

Exit codes: 0 when the measurement ran, 1 when it failed, 2 for wrong usage.`,
		examples: []string{"wasabihoist bench", "wasabihoist bench placement --seed 1 --output json"},
		runner:   &benchCommand{},
	}
}

// Run implements runner.
func (c *benchCommand) Run(ctx context.Context, env environment) error {
	list := subjects()
	if c.Args.Subject == "" {
		return listSubjects(env, list)
	}
	for _, s := range list {
		if s.name == c.Args.Subject {
			return c.measure(ctx, env, s)
		}
	}
	return usageError{fmt.Sprintf("unknown subject %q", c.Args.Subject)}
}

func (c *benchCommand) measure(ctx context.Context, env environment, s subject) error {
	start := time.Now()
	progress := io.Discard
	if env.progress != nil {
		progress = env.progress
		writeLine(progress, "measuring %s", s.name)
	}
	result, err := s.run(ctx, benchOptions{seed: c.Seed, progress: progress})
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	if c.Output == "json" {
		return writeCompactJSON(env.stdout, result)
	}
	writeLine(env.stdout, "%s, seed %d, %s", s.name, c.Seed, time.Since(start).Round(time.Millisecond))
	return writeJSON(env.stdout, result)
}

func listSubjects(env environment, list []subject) error {
	rows := make([][]string, 0, len(list))
	for _, s := range list {
		rows = append(rows, []string{s.name, s.short})
	}
	return writeTable(env.stdout, []string{"SUBJECT", "MEASURES"}, rows)
}

// writeCompactJSON writes a value on one line.
func writeCompactJSON(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	writeLine(w, "%s", data)
	return nil
}
