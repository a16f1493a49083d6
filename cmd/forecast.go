package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/cluster/entrylink"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/platform"
)

// forecastTimeout bounds the command: reading the ledger, and one call.
const forecastTimeout = 10 * time.Second

type forecastCommand struct {
	Host string `long:"host" value-name:"HOST" required:"yes" description:"Virtual host of the queue"`
	Path string `long:"path" value-name:"PATH" required:"yes" description:"Path prefix of the queue and the ID of the job, as a client would send it"`
	Key  string `long:"key" value-name:"KEY" env:"WASABIHOIST_KEY" description:"API key of the organisation"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"Body of the submission"`
	} `positional-args:"yes" required:"yes"`
}

func forecastEntry() command {
	return command{
		name:  "forecast",
		short: "Show where a job would go now, and why, without sending it",
		long: `Asks the coordinator for the plan that it would make if the job in FILE, the body of a submission, were accepted now. For each step that could start it shows the hosts, the jobs that would be stopped to make room, or what it waits for, and how many hosts of the service are closed, unsuitable, full or free. With the ID of an accepted job it shows the same for its waiting tasks. Nothing is sent to a queue, started or stopped.

The command runs where the processes on the users' platform run: the environment names their settings file.

Exit codes: 0 with a forecast, 1 without one, 2 for wrong usage.`,
		examples: []string{"wasabihoist forecast --host desk.example --path /match/5c0e7a21d94b36f8 --key secret job.json"},
		runner:   &forecastCommand{},
	}
}

// Run implements runner.
func (c *forecastCommand) Run(ctx context.Context, env environment) error {
	ctx, cancel := context.WithTimeout(ctx, forecastTimeout)
	defer cancel()
	body, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read the submission: %w", err)
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	leader, err := findLeader(ctx, platform.NewStore(s.Store))
	if err != nil {
		return err
	}
	f, err := entrylink.Forecast(ctx, http.DefaultClient, leader, gateway.Call{Host: c.Host, Path: c.Path, Key: c.Key, Body: body})
	if err != nil {
		return err
	}
	return writeForecast(env.stdout, f)
}

// findLeader returns the internal address of the entry whose coordinator leads.
func findLeader(ctx context.Context, store ledger.Store) (netip.AddrPort, error) {
	state := ledger.NewState()
	if err := ledger.NewReader(store, platform.FleetTopic, state, 0, log.NewNopLogger()).Refresh(ctx); err != nil {
		return netip.AddrPort{}, fmt.Errorf("read the ledger: %w", err)
	}
	leader, err := store.Leader(ctx, platform.FleetTopic)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("look up the coordinator: %w", err)
	}
	for _, m := range state.Members(ledger.EntryRole) {
		if coordinator.CandidateName(m) == leader {
			return m.Address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no coordinator leads (%d entries are known)", len(state.Members(ledger.EntryRole)))
}

// writeForecast writes one table for the job and one for each step.
func writeForecast(w io.Writer, f coordinator.Forecast) error {
	rows := [][]string{
		{"accepted before", strconv.FormatBool(f.Known)},
		{"rank", f.Rank.String()},
		{"can wait for", f.Slack.Round(time.Millisecond).String()},
		{"steps that can start", strconv.Itoa(len(f.Steps))},
	}
	if err := writeTable(w, []string{"JOB", ""}, rows); err != nil {
		return err
	}
	for _, s := range f.Steps {
		if _, err := fmt.Fprintln(w); err != nil {
			return fmt.Errorf("write output: %w", err)
		}
		if err := writeTable(w, []string{"STEP " + strconv.Itoa(s.Step), ""}, forecastRows(s)); err != nil {
			return err
		}
	}
	return nil
}

// forecastRows returns the rows about a step: what is decided, and why.
func forecastRows(s coordinator.StepForecast) [][]string {
	rows := [][]string{
		{"waiting tasks", strconv.Itoa(s.Tasks)},
		{"steps served before", strconv.Itoa(s.Before)},
		{"outcome", forecastOutcome(s)},
	}
	if len(s.Hosts) > 0 {
		rows = append(rows, []string{"starts on", strings.Join(s.Hosts, " ")})
	}
	if len(s.Stops) > 0 {
		stops := make([]string, len(s.Stops))
		for i, id := range s.Stops {
			stops[i] = string(id)
		}
		rows = append(rows, []string{"stops work of", strings.Join(stops, " ")})
	}
	if r, ok := s.Reservation.Get(); ok {
		rows = append(rows, []string{"reserves", strings.Join(r.Hosts, " ")}, []string{"planned start in", r.StartIn.Round(time.Millisecond).String()})
	}
	if s.Headroom > 0 {
		rows = append(rows, []string{"leaves free", strconv.Itoa(s.Headroom) + " accelerators, for urgent work"})
	}
	for fit := allocation.Closed; fit <= allocation.Free; fit++ {
		if n := s.Fits[fit]; n > 0 {
			rows = append(rows, []string{"hosts " + fit.String(), strconv.Itoa(n)})
		}
	}
	return rows
}

// forecastOutcome says in words what would become of the waiting tasks.
func forecastOutcome(s coordinator.StepForecast) string {
	_, reserves := s.Reservation.Get()
	switch {
	case len(s.Hosts) == s.Tasks:
		return "all start now"
	case len(s.Stops) > 0:
		return "waits until other work has stopped"
	case reserves:
		return "waits on reserved hosts until running work ends"
	case s.Waits:
		return "waits for room that becomes free soon"
	case len(s.Hosts) > 0:
		return strconv.Itoa(len(s.Hosts)) + " start now, the others wait for room"
	default:
		return "waits for room"
	}
}
