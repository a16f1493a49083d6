package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"

	"wasabihoist/internal/run/story"
)

type traceCommand struct {
	Arguments struct {
		Job   string   `positional-arg-name:"JOB" required:"yes" description:"Identity of the job, or of a task as JOB.OCCURRENCE.STEP.INDEX"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"Log files; - is the standard input"`
	} `positional-args:"yes"`
}

func traceEntry() command {
	return command{
		name:     "trace",
		short:    "Print what happened to a job or task, from the logs of all processes",
		long:     "Reads the logs of any processes and prints the lines about one job or task in the order of their times. Lines marked with ~ are about no job and say what happened around it, such as a change of the coordinator, a loss of the store, or a silent minion on a host that was used. Silences of more than a second are pointed out.\n\nExit codes: 0 success, 1 when no line is about it or a log cannot be read, 2 for wrong usage.",
		examples: []string{"wasabihoist trace 5c0e7a21d94b36f8 entry.log agent.log", "wasabihoist trace 5c0e7a21d94b36f8.0.0.3 entry.log agent.log"},
		runner:   &traceCommand{},
	}
}

// Run implements runner.
func (c *traceCommand) Run(_ context.Context, env environment) error {
	s := story.New(c.Arguments.Job)
	for _, name := range c.Arguments.Files {
		if err := readLog(s, name); err != nil {
			return err
		}
	}
	found, err := s.Write(env.stdout)
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if !found {
		return fmt.Errorf("no line is about job %s", c.Arguments.Job)
	}
	return nil
}

func readLog(s *story.Story, name string) (err error) {
	if name == "-" {
		return s.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := s.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
