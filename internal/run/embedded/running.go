package embedded

import (
	"context"
	"errors"
	"fmt"

	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/process"
	"wasabihoist/internal/run/settings"
	"wasabihoist/internal/standin/minionhost"
)

// running is a process that can be stopped on its own.
type running struct {
	version func() int64 // version is the configuration in force at the process.
	kill    func()
	stop    context.CancelFunc
	done    chan struct{} // done is closed when the process has ended.
	err     error         // err is set before done is closed.
}

// StartMinion starts a minion, or starts it again after a crash.
func (c *Cluster) StartMinion(m *Minion) {
	c.group.Go(m.Name, func(ctx context.Context) error {
		err := m.Host.Run(ctx)
		if errors.Is(err, minionhost.ErrCrashed) {
			return nil
		}
		return err
	})
}

func (c *Cluster) environment(site deployment.Site, s settings.Settings) process.Environment {
	return process.Environment{
		Logger:     c.Options.Logger,
		Middleware: c.network.middleware(site, s.ListenAddress),
		Listen:     c.network.listen,
	}
}

// StartEntry starts an entry that is not running.
func (c *Cluster) StartEntry(e *Entry) error {
	p, err := process.NewEntry(e.Settings, c.environment(e.Site, e.Settings))
	if err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.process = c.run(e.Name, p)
	return nil
}

// StartAgent starts the agent beside a minion when it is not running.
func (c *Cluster) StartAgent(m *Minion) error {
	p, err := process.NewAgent(m.Settings, c.environment(m.Site, m.Settings))
	if err != nil {
		return fmt.Errorf("start %s: %w", m.Settings.Name, err)
	}
	m.agent = c.run(m.Settings.Name, p)
	return nil
}

// role is a process with either role.
type role interface {
	Run(ctx context.Context) error
	ConfigurationVersion() int64
	Kill()
}

func (c *Cluster) run(name string, p role) *running {
	ctx, stop := context.WithCancel(c.group.Context())
	r := &running{version: p.ConfigurationVersion, kill: p.Kill, stop: stop, done: make(chan struct{})}
	c.group.Go(name, func(context.Context) error {
		r.err = p.Run(ctx)
		close(r.done)
		return nil
	})
	return r
}

// StopEntry ends an entry by a planned stop and waits for it.
func (c *Cluster) StopEntry(e *Entry) error { return e.process.stopAndWait() }

// StopAgent ends an agent by a planned stop and waits for it.
func (c *Cluster) StopAgent(m *Minion) error { return m.agent.stopAndWait() }

// KillEntry ends an entry at once and waits until it is gone.
func (c *Cluster) KillEntry(e *Entry) error { return e.process.killAndWait() }

// KillAgent ends an agent at once and waits until it is gone.
func (c *Cluster) KillAgent(m *Minion) error { return m.agent.killAndWait() }

func (r *running) killAndWait() error {
	r.kill()
	<-r.done
	return r.err
}

func (r *running) stopAndWait() error {
	r.stop()
	<-r.done
	return r.err
}

func (c *Cluster) processes() []*running {
	var list []*running
	for _, m := range c.Minions {
		if m.agent != nil {
			list = append(list, m.agent)
		}
	}
	for _, e := range c.Entries {
		if e.process != nil {
			list = append(list, e.process)
		}
	}
	return list
}
