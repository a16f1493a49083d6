// Package cmd holds the commands of wasabihoist, one file each.
//
// Exit codes are 0 for success, 1 for a failure or findings, and 2 for wrong
// usage.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"wasabihoist/internal/base/finding"
)

// The exit codes of all commands.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

const program = "wasabihoist"

// environment is what a command may use of the process around it.
type environment struct {
	stdout   io.Writer
	stderr   io.Writer
	progress io.Writer // progress is the terminal behind stderr; nil when there is none.
}

// runner is a command with its options. The fields of its type are filled by
// go-flags before Run is called.
type runner interface {
	// Run returns errFindings when it has printed findings, and a usageError
	// when the arguments make no sense together.
	Run(ctx context.Context, env environment) error
}

// errFindings stops a command whose output already says what is wrong.
var errFindings = errors.New("findings")

// usageError is a mistake in the arguments.
type usageError struct{ message string }

// Error implements error.
func (e usageError) Error() string { return e.message }

// Main runs the command that the arguments of the process name and returns the
// exit code. SIGINT and SIGTERM cancel the context of the command.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := environment{stdout: os.Stdout, stderr: os.Stderr}
	if isTerminal(os.Stderr) {
		env.progress = os.Stderr
	}
	return run(ctx, os.Args[1:], env)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func run(ctx context.Context, args []string, env environment) int {
	list := commands()
	parser, err := newParser(list)
	if err != nil {
		return report(env, "", err)
	}
	rest, err := parser.ParseArgs(helpArgs(args))
	if err == nil && len(rest) > 0 {
		err = usageError{fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	name := ""
	if parser.Active != nil {
		name = parser.Active.Name
	}
	if err != nil {
		return report(env, name, err)
	}
	for _, c := range list {
		if c.name == name {
			return report(env, name, c.runner.Run(ctx, env))
		}
	}
	return exitUsage
}

func newParser(list []command) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = overview
	for _, c := range list {
		if _, err := parser.AddCommand(c.name, c.short, c.description(), c.runner); err != nil {
			return nil, fmt.Errorf("define command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

// report prints the error of a command and returns the exit code.
func report(env environment, name string, err error) int {
	var flagsError *flags.Error
	var usage usageError
	var findings *finding.List
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errFindings):
		return exitFailure
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		writeLine(env.stdout, "%s", flagsError.Message)
		return exitSuccess
	case errors.As(err, &flagsError), errors.As(err, &usage):
		writeLine(env.stderr, "%s (see %s)", prefixed(name, err), helpHint(name))
		return exitUsage
	case errors.As(err, &findings):
		writeLine(env.stderr, "%s", findings.Error())
		return exitFailure
	default:
		writeLine(env.stderr, "%s", prefixed(name, err))
		return exitFailure
	}
}

func prefixed(name string, err error) string {
	if name == "" {
		return fmt.Sprintf("%s: %v", program, err)
	}
	return fmt.Sprintf("%s: %s: %v", program, name, err)
}

func helpHint(name string) string {
	if name == "" {
		return program + " help"
	}
	return program + " help " + name
}

// writeLine ignores write errors, because there is nowhere to report them.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
