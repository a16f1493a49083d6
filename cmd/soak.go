package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/run/soak"
)

type soakCommand struct {
	Seed    uint64        `long:"seed" value-name:"N" default:"1" description:"First seed"`
	Seeds   uint64        `long:"seeds" value-name:"N" default:"1" description:"Number of seeds, played one after the other"`
	Length  time.Duration `long:"length" value-name:"DURATION" default:"20s" description:"Length of the load of each seed"`
	Entries int           `long:"entries" value-name:"N" default:"3" description:"Number of entries"`
	Agents  int           `long:"agents" value-name:"N" default:"4" description:"Number of agents with a minion"`
	Clients int           `long:"clients" value-name:"N" default:"6" description:"Number of clients"`
	Draw    int           `long:"draw" value-name:"N" default:"2" description:"Draw that turns a seed into a schedule and a load, 1 or 2"`
	Cases   string        `long:"cases" value-name:"FILE" description:"Plays the seeds in a file instead, one a line with its draw, as in 113 v1; what follows is a remark"`
	Only    []int         `long:"only" value-name:"N" description:"Plays only the fault with this number of the schedule; may be given more than once"`
}

func soakEntry() command {
	return command{
		name:  "soak",
		short: "Disturb real processes at random and check the promises",
		long: `Starts this program in the roles of the users' platform as separate processes on the loopback interface, against stand-ins of store and minions, and plays a random schedule of faults: killed, stopped and paused processes, connections that are delayed, reset, silent or cut one way, a store that is down, loses answers or forgets, minions that are silent, mute, late, unhealthy, reborn, stalled, drained or replaced, hosts that leave or lose their power, new configurations and withdrawn keys. It checks what clients and minions see. The logs of a seed with findings are kept.

Exit codes: 0 without findings, 1 otherwise, 2 for wrong usage.`,
		examples: []string{
			"wasabihoist soak --seed 1 --length 6s --entries 2 --agents 3",
			"wasabihoist soak --seed 100 --seeds 50",
			"wasabihoist soak --seed 113 --draw 1 --only 5",
			"wasabihoist soak --cases testdata/soak/seeds.txt",
		},
		runner: &soakCommand{},
	}
}

// Run implements runner.
func (c *soakCommand) Run(ctx context.Context, env environment) error {
	if c.Entries < 1 || c.Agents < 1 || c.Clients < 1 || c.Length <= 0 {
		return usageError{fmt.Sprintf("%d entries, %d agents, %d clients and a length of %s: all must be above 0", c.Entries, c.Agents, c.Clients, c.Length)}
	}
	if !knownDraw(c.Draw) {
		return usageError{fmt.Sprintf("draw %d, want 1 or 2", c.Draw)}
	}
	binary, err := exec.LookPath(os.Args[0])
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	cases, err := c.cases()
	if err != nil {
		return err
	}
	var errs []error
	for _, played := range cases {
		if ctx.Err() != nil {
			break
		}
		o := soak.Default(played.seed)
		o.Binary, o.Length, o.Entries, o.Agents, o.Clients, o.Draw, o.Out = binary, c.Length, c.Entries, c.Agents, c.Clients, played.draw, env.stdout
		if len(c.Only) > 0 {
			o.Only = collection.NewSet(c.Only...)
		}
		errs = append(errs, soak.Run(ctx, o))
	}
	return errors.Join(errs...)
}

// soakCase is a seed with the draw that it was found with.
type soakCase struct {
	seed uint64
	draw int
}

func knownDraw(draw int) bool { return draw >= soak.FirstDraw && draw <= soak.LatestDraw }

// cases returns the seeds to play.
func (c *soakCommand) cases() ([]soakCase, error) {
	var cases []soakCase
	if c.Cases == "" {
		for i := range c.Seeds {
			cases = append(cases, soakCase{c.Seed + i, c.Draw})
		}
		return cases, nil
	}
	data, err := os.ReadFile(c.Cases)
	if err != nil {
		return nil, fmt.Errorf("read cases: %w", err)
	}
	var findings []error
	for number, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			findings = append(findings, fmt.Errorf("%s:%d: %q is not a seed", c.Cases, number+1, fields[0]))
			continue
		}
		draw := 0
		if len(fields) > 1 {
			_, _ = fmt.Sscanf(fields[1], "v%d", &draw) // What cannot be read is no known draw.
		}
		if !knownDraw(draw) {
			findings = append(findings, fmt.Errorf("%s:%d: seed %d lacks its draw, v1 or v2", c.Cases, number+1, seed))
			continue
		}
		cases = append(cases, soakCase{seed, draw})
	}
	return cases, errors.Join(findings...)
}
