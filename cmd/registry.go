package cmd

import "strings"

const overview = `Schedules multi-accelerator jobs and short requests.

Exit codes: 0 success, 1 failure or findings, 2 wrong usage.`

// command is one entry of the registry.
type command struct {
	name     string
	short    string   // short is one line for the list of commands.
	long     string   // long says what the command does and prints.
	examples []string // examples are complete command lines.
	runner   runner
}

// commands returns a new value of every command, in the order of the help
// text. A new command is added here.
func commands() []command {
	return []command{
		demoEntry(),
		soakEntry(),
		entryEntry(),
		agentEntry(),
		hostedEntryEntry(),
		hostedAgentEntry(),
		traceEntry(),
		standinEntry(),
		submitEntry(),
		statusEntry(),
		waitEntry(),
		cancelEntry(),
		checkEntry(),
		diffEntry(),
		configurationEntry(),
		publishEntry(),
		membersEntry(),
		fleetEntry(),
		jobsEntry(),
		explainEntry(),
		forecastEntry(),
		auditEntry(),
		benchEntry(),
		versionEntry(),
		helpEntry(),
	}
}

// description is the text of the help page.
func (c command) description() string {
	var b strings.Builder
	b.WriteString(c.long)
	b.WriteString(connectionHelp(c.runner))
	b.WriteString("\n\nExamples:")
	for _, e := range c.examples {
		b.WriteString("\n$ " + e)
	}
	return b.String()
}
