package cmd

import (
	"context"
	"fmt"
	"strings"

	"wasabihoist/internal/role/restapi"
)

type membersCommand struct {
	operatorOptions
	outputOption
}

func membersEntry() command {
	return command{
		name:     "members",
		short:    "List the processes, their state and load",
		long:     "Lists entries and agents as the asked entry sees them.\n\nExit codes: 0 for success, 1 when the entry cannot be asked, 2 for wrong usage.",
		examples: []string{"wasabihoist members"},
		runner:   &membersCommand{},
	}
}

// Run implements runner.
func (c *membersCommand) Run(ctx context.Context, env environment) error {
	return list(ctx, env, c.operatorOptions, c.outputOption,
		func(ctx context.Context, client *restapi.Client) ([]restapi.Member, error) {
			return client.Members(ctx)
		},
		[]string{"NAME", "ROLE", "REGION", "DATA CENTRE", "ADDRESS", "STATE", "WAITING", "RUNNING"},
		func(m restapi.Member) [][]string {
			return [][]string{{m.Name, m.Role, m.Region, m.DataCentre, m.Address, m.State, fmt.Sprint(m.Waiting), fmt.Sprint(m.Running)}}
		})
}

type fleetCommand struct {
	operatorOptions
	outputOption
}

func fleetEntry() command {
	return command{
		name:     "fleet",
		short:    "List the data centres and their workers",
		long:     "Lists the workers of each data centre, which agent schedules it, and how fragmented it is.\n\nExit codes: 0 for success, 1 when the entry cannot be asked, 2 for wrong usage.",
		examples: []string{"wasabihoist fleet"},
		runner:   &fleetCommand{},
	}
}

// Run implements runner.
func (c *fleetCommand) Run(ctx context.Context, env environment) error {
	return list(ctx, env, c.operatorOptions, c.outputOption,
		func(ctx context.Context, client *restapi.Client) ([]restapi.DataCentre, error) {
			return client.Fleet(ctx)
		},
		[]string{"DATA CENTRE", "SCHEDULER", "RACK", "WORKER", "STATE", "CORES", "MEMORY MB", "ACCELERATORS"}, fleetRows)
}

func fleetRows(d restapi.DataCentre) [][]string {
	rows := [][]string{}
	for _, w := range d.Workers {
		rows = append(rows, []string{
			d.Name, d.Scheduler, w.Rack, w.Name, w.State, fmt.Sprint(w.Cores), fmt.Sprint(w.MemoryMB), fmt.Sprint(w.Accelerators),
		})
	}
	summary := fmt.Sprintf("free %d, largest gang %d, fragmentation %.2f, %d waiting, %d running",
		d.FreeAccelerators, d.LargestGang, d.Fragmentation, d.Waiting, d.Running)
	return append(rows, []string{d.Name, summary})
}

type jobsCommand struct {
	operatorOptions
	outputOption
	Organisation string `long:"organisation" value-name:"NAME" description:"List the jobs of this organisation only"`
}

func jobsEntry() command {
	return command{
		name:     "jobs",
		short:    "List the jobs",
		long:     "Lists waiting, running and recently ended jobs in order of submission.\n\nExit codes: 0 for success, 1 when the entry cannot be asked, 2 for wrong usage.",
		examples: []string{"wasabihoist jobs --organisation lyceum-players"},
		runner:   &jobsCommand{},
	}
}

// Run implements runner.
func (c *jobsCommand) Run(ctx context.Context, env environment) error {
	return list(ctx, env, c.operatorOptions, c.outputOption,
		func(ctx context.Context, client *restapi.Client) ([]restapi.OperatorJob, error) {
			return client.Jobs(ctx, c.Organisation)
		},
		[]string{"ORGANISATION", "ID", "STATE", "OUTCOME", "DATA CENTRE", "WORKERS", "REASON"},
		func(j restapi.OperatorJob) [][]string {
			return [][]string{{j.Organisation, j.ID, j.State, j.Outcome, j.DataCentre, strings.Join(j.Workers, " "), j.Reason}}
		})
}

type auditCommand struct {
	operatorOptions
	outputOption
	Actor   string `long:"actor" value-name:"NAME" description:"Entries of this actor only"`
	Action  string `long:"action" value-name:"ACTION" description:"Entries of this action only"`
	Subject string `long:"subject" value-name:"TEXT" description:"Entries whose subject contains this text"`
	Limit   int    `long:"limit" value-name:"N" default:"100" description:"Number of newest entries"`
}

func auditEntry() command {
	return command{
		name:     "audit",
		short:    "Show the audit trail",
		long:     "Shows who or what changed configuration, membership and placement, when and why.\n\nExit codes: 0 for success, 1 when the entry cannot be asked, 2 for wrong usage.",
		examples: []string{"wasabihoist audit --action reclaim --limit 20"},
		runner:   &auditCommand{},
	}
}

// Run implements runner.
func (c *auditCommand) Run(ctx context.Context, env environment) error {
	if c.Limit < 1 {
		return usageError{fmt.Sprintf("--limit is %d: want a number above 0", c.Limit)}
	}
	filter := restapi.AuditFilter{Actor: c.Actor, Action: c.Action, Subject: c.Subject, Limit: c.Limit}
	return list(ctx, env, c.operatorOptions, c.outputOption,
		func(ctx context.Context, client *restapi.Client) ([]restapi.AuditEntry, error) {
			return client.Audit(ctx, filter)
		}, auditHeader, auditRows)
}

var auditHeader = []string{"OFFSET", "TIME", "ACTOR", "ACTION", "SUBJECT", "REASON", "BEFORE", "AFTER"}

func auditRows(a restapi.AuditEntry) [][]string {
	const form = "15:04:05.000"
	return [][]string{{fmt.Sprint(a.Offset), a.Time.Format(form), a.Actor, a.Action, a.Subject, a.Reason, a.Before, a.After}}
}

// list fetches values from the operator interface and prints them.
func list[T any](ctx context.Context, env environment, operator operatorOptions, output outputOption,
	fetch func(context.Context, *restapi.Client) ([]T, error), header []string, rows func(T) [][]string,
) error {
	values, err := callEntry(ctx, env, operator, fetch)
	if err != nil {
		return err
	}
	if output.json() {
		return writeJSON(env.stdout, values)
	}
	var table [][]string
	for _, v := range values {
		table = append(table, rows(v)...)
	}
	return writeTable(env.stdout, header, table)
}
