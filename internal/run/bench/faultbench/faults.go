package faultbench

import (
	"context"
	"fmt"
	"strings"

	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/standin/workerhost"
)

// fault is one kind of failure.
type fault struct {
	name string
	// fromEnd measures the recovery from the end of the fault and not from its
	// start, because some work cannot be served while it lasts.
	fromEnd bool
	begin   func(ctx context.Context, c *embedded.Cluster, round int) (end func() error, err error)
}

// faults lists all kinds. The round decides which process is hit.
func faults() []fault {
	return []fault{
		{name: "entry-kill", begin: killEntry},
		{name: "agent-kill", begin: killAgent},
		{name: "scheduler-kill", begin: killScheduler},
		{name: "agent-planned-stop", begin: stopAgent},
		{name: "minion-crash", begin: crashMinion},
		{name: "minion-freeze", begin: freezeMinion},
		{name: "minion-silent-connections", begin: silenceMinion},
		{name: "worker-crash", begin: crashWorker},
		{name: "worker-freeze", begin: freezeWorker},
		{name: "log-outage", fromEnd: true, begin: logFault(logservice.Faults{Outage: true})},
		{name: "log-hang", fromEnd: true, begin: logFault(logservice.Faults{Hang: true})},
		{name: "log-lost-answers", begin: logFault(logservice.Faults{LoseAnswer: 0.5})},
		{name: "region-cut", fromEnd: true, begin: cutRegions},
		{name: "log-outage-and-agent-kill", fromEnd: true, begin: outageAndKill},
	}
}

func killEntry(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	e := c.Entries[round%len(c.Entries)]
	if err := c.KillEntry(e); err != nil {
		return nil, err
	}
	return func() error { return c.StartEntry(e) }, nil
}

func killAgent(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	m := c.Minions[round%len(c.Minions)]
	if err := c.KillAgent(m); err != nil {
		return nil, err
	}
	return func() error { return c.StartAgent(m) }, nil
}

func stopAgent(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	m := c.Minions[(round+1)%len(c.Minions)]
	if err := c.StopAgent(m); err != nil {
		return nil, err
	}
	return func() error { return c.StartAgent(m) }, nil
}

func killScheduler(ctx context.Context, c *embedded.Cluster, round int) (func() error, error) {
	centres, err := c.Operator(c.Entries[0]).Fleet(ctx)
	if err != nil {
		return nil, fmt.Errorf("find a scheduler: %w", err)
	}
	holder := centres[round%len(centres)].Scheduler
	for _, m := range c.Minions {
		if m.Settings.Name == holder {
			if err := c.KillAgent(m); err != nil {
				return nil, err
			}
			return func() error { return c.StartAgent(m) }, nil
		}
	}
	return nil, fmt.Errorf("scheduler %q is no agent of this deployment", holder)
}

func crashMinion(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	m := c.Minions[round%len(c.Minions)]
	m.Host.Crash()
	return func() error {
		c.StartMinion(m)
		return nil
	}, nil
}

func freezeMinion(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	m := c.Minions[round%len(c.Minions)]
	m.Host.SetFaults(minionhost.Faults{Freeze: true})
	return func() error {
		m.Host.SetFaults(minionhost.Faults{})
		return nil
	}, nil
}

func silenceMinion(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	c.Minions[round%len(c.Minions)].Host.SilenceConnections()
	return func() error { return nil }, nil
}

func crashWorker(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	w := c.Workers[round%len(c.Workers)]
	w.Host.Crash()
	return func() error {
		w.Host.Restart()
		return nil
	}, nil
}

func freezeWorker(_ context.Context, c *embedded.Cluster, round int) (func() error, error) {
	w := c.Workers[round%len(c.Workers)]
	w.Host.SetFaults(workerhost.Faults{Freeze: true})
	return func() error {
		w.Host.SetFaults(workerhost.Faults{})
		return nil
	}, nil
}

func logFault(f logservice.Faults) func(context.Context, *embedded.Cluster, int) (func() error, error) {
	return func(_ context.Context, c *embedded.Cluster, _ int) (func() error, error) {
		c.Log.SetFaults(f)
		return func() error {
			c.Log.SetFaults(logservice.Faults{})
			return nil
		}, nil
	}
}

func cutRegions(_ context.Context, c *embedded.Cluster, _ int) (func() error, error) {
	c.Partition(true)
	return func() error {
		c.Partition(false)
		return nil
	}, nil
}

func outageAndKill(ctx context.Context, c *embedded.Cluster, round int) (func() error, error) {
	endOutage, err := logFault(logservice.Faults{Outage: true})(ctx, c, round)
	if err != nil {
		return nil, err
	}
	restart, err := killAgent(ctx, c, round)
	if err != nil {
		return nil, err
	}
	return func() error {
		if err := restart(); err != nil {
			return err
		}
		return endOutage()
	}, nil
}

// Names lists the faults that are brought about.
func Names() string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}
