package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/platform"
)

const folderMode = 0o700

// Options of a run.
type Options struct {
	Binary  string // Binary is the program under test.
	Seed    uint64
	Draw    int           // Draw is FirstDraw to LatestDraw.
	Length  time.Duration // Length of the load. The faults end with it.
	Entries int
	Agents  int
	Clients int
	Folder  string              // Folder gets the settings and logs; it is removed after a run without findings.
	Only    collection.Set[int] // Only keeps the faults with these numbers; nil keeps all.
	Out     io.Writer
}

// spares returns the number of hosts that are off at first.
func (o Options) spares() int {
	const perSpare = 2
	if o.Draw == FirstDraw {
		return 0
	}
	return (o.Agents + perSpare - 1) / perSpare
}

// Default returns the options for a seed.
func Default(seed uint64) Options {
	return Options{
		Seed: seed, Length: 20 * time.Second, Draw: LatestDraw, Entries: 3, Agents: 4, Clients: 6, Out: io.Discard,
		Folder: filepath.Join(os.TempDir(), fmt.Sprintf("wasabihoist-soak-%d-%d", seed, os.Getpid())),
	}
}

// Run plays one seed. It returns an error when a promise was broken; the logs
// stay in the folder then.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	faults := Draw(o.Draw, o.Seed, o.Length)
	_, _ = fmt.Fprintf(o.Out, "seed %d of draw %d, %s, %d entries, %d agents, %d faults\n", o.Seed, o.Draw, o.Length, o.Entries, o.Agents, len(faults))
	platformGroup := group.New(ctx)
	d, err := newDeployment(platformGroup, o)
	if err == nil {
		err = d.start(ctx)
	}
	if err == nil {
		err = play(ctx, o, d, faults)
	}
	d.stop()
	platformGroup.Stop()
	if stopErr := platformGroup.Wait(); err == nil {
		err = stopErr
	}
	if err == nil {
		err = ctx.Err() // A run that was broken off proves nothing.
	}
	if err != nil {
		return err
	}
	return report(o, d)
}

// report prints the findings and removes the logs when there are none.
func report(o Options, d *deployment) error {
	findings := append(d.oracle.finish(), d.fleet.Findings()...)
	_, _ = fmt.Fprintf(o.Out, "%d jobs, %d checks, %d findings\n", len(d.oracle.jobs), d.oracle.checks, len(findings))
	for _, f := range findings {
		_, _ = fmt.Fprintln(o.Out, "  "+f)
	}
	if len(findings) > 0 {
		return fmt.Errorf("seed %d: %w; logs in %s", o.Seed, errFindings, o.Folder)
	}
	if err := os.RemoveAll(o.Folder); err != nil {
		return fmt.Errorf("remove logs: %w", err)
	}
	return nil
}

// play runs the load and the faults, and then waits for the accepted work.
func play(ctx context.Context, o Options, d *deployment, faults []Fault) error {
	followers, load := group.New(ctx), group.New(ctx)
	start := time.Now()
	for i := range o.Clients {
		load.Go("client", newClient(i, o.Draw, o.Seed, d, followers).run)
	}
	injected := group.New(ctx)
	for i, f := range faults {
		if o.Only != nil && !o.Only.Has(i) {
			continue
		}
		_, _ = fmt.Fprintf(o.Out, "%3d %s\n", i, f)
		injected.Go(f.Kind.String(), func(ctx context.Context) error {
			if err := group.Pause(ctx, time.Until(start.Add(f.At))); err != nil {
				return err
			}
			return d.inject(ctx, o.Draw, f)
		})
	}
	if err := injected.Wait(); err != nil {
		return err
	}
	_ = group.Pause(ctx, time.Until(start.Add(o.Length)))
	load.Stop()
	err := load.Wait()
	d.settle()
	for deadline := time.Now().Add(settleTime); len(d.oracle.waiting()) > 0 && time.Now().Before(deadline); {
		if pauseErr := group.Pause(ctx, pollPause); pauseErr != nil {
			break
		}
	}
	followers.Stop()
	if followErr := followers.Wait(); err == nil {
		err = followErr
	}
	return err
}

// targets are what a fault may act on.
func (d *deployment) targets(draw int, f Fault) (*process, *proxy, *machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.links
	if draw == FirstDraw {
		links = links[:d.first]
	}
	m := d.machines[f.Target%len(d.machines)]
	processes := slices.Clone(d.entries)
	for _, other := range d.machines {
		processes = append(processes, other.agent)
	}
	return processes[f.Target%len(processes)], links[f.Target%len(links)], m
}

// inject carries out one fault and undoes it.
func (d *deployment) inject(ctx context.Context, draw int, f Fault) error {
	p, link, machine := d.targets(draw, f)
	switch f.Kind {
	case Kill:
		return p.replace(syscall.SIGKILL, killTime)
	case Terminate:
		return p.replace(syscall.SIGTERM, stopGrace)
	case Pause:
		p.pause()
		_ = group.Pause(ctx, f.For)
		p.signal(syscall.SIGCONT)
	case Hangup:
		p.hangup(ctx)
	case LinkDelayed, LinkReset, LinkSilent, LinkOneWay:
		state := linkStateOf[f.Kind]
		link.begin(state)
		_ = group.Pause(ctx, f.For)
		link.end(state)
	case LinkStale:
		link.goStale()
	case MinionReborn:
		machine.reborn()
	case MinionSilent, MinionStalled, MinionMute, MinionLate, MinionUnhealthy:
		machine.during(ctx, f.ofMinion(), f.For)
	case MinionReplaced:
		return machine.replaceMinion(ctx, f.For)
	case HostReplaced:
		return d.replaceHost(ctx, machine, f.For)
	case HostCrash:
		if p == machine.agent {
			return machine.crash(ctx, f.For)
		}
		return p.crash(ctx, f.For, func() {})
	case EntryCutOff:
		d.cutOff(ctx, f.Target%len(d.entries), f.For)
	default:
		d.injectPlatform(ctx, f)
	}
	return nil
}

// cutOff makes the store silent for an entry and loses what other entries answer.
func (d *deployment) cutOff(ctx context.Context, number int, length time.Duration) {
	d.links[number].begin(linkSilent) // The first links are those of the entries to the store.
	defer d.links[number].end(linkSilent)
	for i, other := range d.entries {
		if i != number {
			other.front.begin(linkOneWay)
			defer other.front.end(linkOneWay)
		}
	}
	_ = group.Pause(ctx, length)
}

var linkStateOf = map[Kind]linkState{LinkDelayed: linkDelayed, LinkReset: linkReset, LinkSilent: linkSilent, LinkOneWay: linkOneWay}

// ofMinion returns what a fault does to a minion.
func (f Fault) ofMinion() fleethost.Faults {
	switch f.Kind {
	case MinionSilent:
		return fleethost.Faults{Silent: true}
	case MinionStalled:
		return fleethost.Faults{Stall: true}
	case MinionMute:
		return fleethost.Faults{Mute: f.Share}
	case MinionLate:
		return fleethost.Faults{Late: f.Share, LateBy: longestLateness}
	default:
		return fleethost.Faults{Unhealthy: f.Share}
	}
}

// injectPlatform carries out a fault of the store or a change of the
// configuration.
func (d *deployment) injectPlatform(ctx context.Context, f Fault) {
	switch f.Kind {
	case StoreDown:
		d.store.SetFaults(fleetstore.Faults{Down: true})
		_ = group.Pause(ctx, f.For)
		d.store.SetFaults(fleetstore.Faults{})
	case StoreLoses:
		d.store.SetFaults(fleetstore.Faults{LoseAppend: 1 + f.Target%5})
	case StoreForgets:
		d.store.Forget(platform.FleetTopic)
	case Publish:
		_ = d.publishUntil(ctx, nil)
	default:
		d.withdraw(ctx, fmt.Sprintf("%s-%d", withdrawnKey, f.At))
	}
}

// publishUntil publishes a configuration, also while the store is down for a
// while, and returns when that was acknowledged.
func (d *deployment) publishUntil(ctx context.Context, keys []string) time.Time {
	for d.publish(keys) != nil {
		if group.Pause(ctx, pollPause) != nil {
			break
		}
	}
	return time.Now()
}

// withdraw adds a key, withdraws it and checks that it is refused then.
func (d *deployment) withdraw(ctx context.Context, key string) {
	d.publishUntil(ctx, []string{key})
	_ = group.Pause(ctx, configTime)
	withdrawn := d.publishUntil(ctx, nil)
	watchKey(ctx, d, key, withdrawn)
}

// settle ends whatever is left of the faults.
func (d *deployment) settle() {
	d.store.SetFaults(fleetstore.Faults{})
	for _, l := range d.links {
		l.sound()
	}
	for _, p := range d.all {
		p.signal(syscall.SIGCONT)
	}
}
