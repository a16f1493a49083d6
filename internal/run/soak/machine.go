package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/platform"
)

const (
	mostDrift = 0.02 // mostDrift is how slow the clock of a minion may run.
	// sameIDShare is the part of the new minions that get the id of the former
	// one.
	sameIDShare    = 0.3
	longestVacancy = time.Second // longestVacancy is until a new minion starts.
)

// machine is a host with an agent and a minion.
type machine struct {
	name    string // name is the id of its first minion, and begins the ids of the others.
	agent   *process
	minion  *fleethost.Minion
	service *proxy // service carries the calls of the agent to the minion.
	control *proxy // control carries the heartbeats.
	group   *group.Group

	changing sync.Mutex // changing is held while the minion or its host is replaced.

	mu      sync.Mutex
	minions int          // minions is the number of ids that the host's minions have had.
	life    *group.Group // life sends the heartbeats of the present minion.
	faults  []fleethost.Faults
}

// machineKinds are the labels for kinds of hosts.
var machineKinds = []string{"a", "b"}

// rackOf returns the rack of a host; every rack has two.
func rackOf(number int) string { return fmt.Sprintf("r%d", number/2) }

func (d *deployment) newMachine(g *group.Group, p *process, number int) (*machine, error) {
	rack, kind := rackOf(number), machineKinds[number%len(machineKinds)]
	report := host.Minion{ID: fmt.Sprintf("m-%d", number), Service: service, DataCentre: "one", Rack: rack, Labels: []string{kind, rack}, Capacity: capacity}
	m := &machine{name: report.ID, agent: p, minion: fleethost.NewMinion(d.fleet, report), group: g}
	m.minion.SetDrift(mostDrift * rand.Float64())
	address, err := serve(g, "minion", platform.MinionServer(m.minion))
	if err != nil {
		return nil, err
	}
	if m.service, err = d.link(g, address); err != nil {
		return nil, err
	}
	p.settings.Minion = m.service.address()
	m.control, err = d.link(g, p.settings.Control)
	return m, err
}

// beat sends the heartbeats of the minion until it leaves.
func (m *machine) beat() {
	life := group.New(m.group.Context())
	m.mu.Lock()
	m.life = life
	m.mu.Unlock()
	life.Go("heartbeats", func(ctx context.Context) error { return platform.SendHeartbeats(ctx, m.control.address(), m.minion) })
	m.group.Go("life of a minion", func(context.Context) error { return life.Wait() })
}

// leave ends the minion: nothing runs, and connections to it are refused.
func (m *machine) leave() {
	m.mu.Lock()
	life := m.life
	m.mu.Unlock()
	life.Stop()
	_ = life.Wait() // Heartbeats return no errors.
	m.minion.Leave()
	m.service.down()
}

// come starts a new minion, as the successor of one that the platform describes.
func (m *machine) come(former host.Minion) error {
	m.mu.Lock()
	former.ID = m.minion.Report().ID
	if rand.Float64() >= sameIDShare {
		m.minions++
		former.ID = fmt.Sprintf("%s-%d", m.name, m.minions)
	}
	m.mu.Unlock()
	m.minion.Replace(former)
	if err := m.service.up(); err != nil {
		return err
	}
	m.beat()
	return nil
}

// drain announces that the minion leaves, waits and deregisters it.
func (m *machine) drain(ctx context.Context, remaining time.Duration) {
	m.minion.Drain(remaining)
	_ = group.Pause(ctx, remaining)
	platform.Deregister(ctx, m.control.address(), m.minion.Report().ID)
}

// replaceMinion drains the minion and puts another one in its place.
func (m *machine) replaceMinion(ctx context.Context, remaining time.Duration) error {
	if !m.changing.TryLock() {
		return nil
	}
	defer m.changing.Unlock()
	m.drain(ctx, remaining)
	m.leave()
	_ = group.Pause(ctx, rand.N(longestVacancy))
	return m.come(m.minion.Report())
}

// reborn loses all runs of the minion, which comes back under its id at once.
func (m *machine) reborn() {
	if m.changing.TryLock() {
		m.minion.Restart()
		m.changing.Unlock()
	}
}

// crash ends the agent and the minion at once. The host answers nothing until it
// is back.
func (m *machine) crash(ctx context.Context, away time.Duration) error {
	if !m.changing.TryLock() {
		return nil
	}
	defer m.changing.Unlock()
	m.minion.Leave()
	if err := m.agent.crash(ctx, away, m.leave); err != nil {
		return err
	}
	return m.come(m.minion.Report())
}

// crash ends the process with the host that it runs on, calls ended, and starts
// it again when the host is back.
func (p *process) crash(ctx context.Context, away time.Duration, ended func()) error {
	p.replacing.Lock()
	defer p.replacing.Unlock()
	if p.retired {
		return nil
	}
	p.front.begin(linkSilent)
	defer p.front.end(linkSilent)
	p.end(syscall.SIGKILL, killTime)
	ended()
	_ = group.Pause(ctx, away)
	return p.start()
}

// replaceHost brings a spare host up and lets one leave for good with its
// minion. Without a spare one only the minion is replaced.
func (d *deployment) replaceHost(ctx context.Context, m *machine, remaining time.Duration) error {
	d.mu.Lock()
	if len(d.spares) == 0 {
		d.mu.Unlock()
		return m.replaceMinion(ctx, remaining)
	}
	if !m.changing.TryLock() {
		d.mu.Unlock()
		return nil
	}
	defer m.changing.Unlock()
	spare := d.spares[0]
	d.spares = d.spares[1:]
	for i := range d.machines {
		if d.machines[i] == m {
			d.machines[i] = spare
		}
	}
	d.mu.Unlock()
	if err := spare.agent.revive(); err != nil {
		return err
	}
	if err := spare.come(m.minion.Report()); err != nil {
		return err
	}
	m.drain(ctx, remaining)
	m.leave()
	m.agent.retire()
	d.mu.Lock()
	d.spares = append(d.spares, m)
	d.mu.Unlock()
	return nil
}

// during makes the minion misbehave for a while. Faults add up.
func (m *machine) during(ctx context.Context, f fleethost.Faults, length time.Duration) {
	m.mu.Lock()
	m.faults = append(m.faults, f)
	m.minion.SetFaults(sum(m.faults))
	m.mu.Unlock()
	_ = group.Pause(ctx, length)
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.faults {
		if m.faults[i] == f {
			m.faults = append(m.faults[:i:i], m.faults[i+1:]...)
			break
		}
	}
	m.minion.SetFaults(sum(m.faults))
}

func sum(list []fleethost.Faults) fleethost.Faults {
	var all fleethost.Faults
	for _, f := range list {
		all.Silent, all.Stall = all.Silent || f.Silent, all.Stall || f.Stall
		all.Mute, all.Unhealthy = max(all.Mute, f.Mute), max(all.Unhealthy, f.Unhealthy)
		all.Late, all.LateBy = max(all.Late, f.Late), max(all.LateBy, f.LateBy)
	}
	return all
}
