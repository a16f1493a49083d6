package cmd

import "context"

// helpCommand exists for the list of commands; helpArgs turns its arguments
// into those of the help option before they are parsed.
type helpCommand struct{}

func helpEntry() command {
	return command{
		name:     "help",
		short:    "Show help for a command",
		long:     "Shows the commands, or the options and examples of one command.",
		examples: []string{"wasabihoist help", "wasabihoist help check"},
		runner:   &helpCommand{},
	}
}

// Run implements runner.
func (*helpCommand) Run(context.Context, environment) error { return nil }

// helpArgs replaces "help COMMAND" with "COMMAND --help".
func helpArgs(args []string) []string {
	if len(args) == 0 || args[0] != "help" {
		return args
	}
	return append(append([]string{}, args[1:]...), "--help")
}
