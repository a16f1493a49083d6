package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
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
	Length  time.Duration // Length of the load. The faults end with it.
	Entries int
	Agents  int
	Folder  string              // Folder gets the settings and logs; it is removed after a run without findings.
	Only    collection.Set[int] // Only keeps the faults with these numbers; nil keeps all.
	Out     io.Writer
}

// Default returns the options for a seed.
func Default(seed uint64) Options {
	return Options{
		Seed: seed, Length: 20 * time.Second, Entries: 3, Agents: 4, Out: io.Discard,
		Folder: filepath.Join(os.TempDir(), fmt.Sprintf("wasabihoist-soak-%d-%d", seed, os.Getpid())),
	}
}

// Run plays one seed. It returns an error when a promise was broken; the logs
// stay in the folder then.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	faults := Draw(o.Seed, o.Length)
	_, _ = fmt.Fprintf(o.Out, "seed %d, %s, %d entries, %d agents, %d faults\n", o.Seed, o.Length, o.Entries, o.Agents, len(faults))
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
	for i := range clients {
		load.Go("client", newClient(i, o.Seed, d, followers).run)
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
			return d.inject(ctx, f)
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

// inject carries out one fault and undoes it.
func (d *deployment) inject(ctx context.Context, f Fault) error {
	p, link := d.all[f.Target%len(d.all)], d.links[f.Target%len(d.links)]
	minion := d.minions[f.Target%len(d.minions)]
	during := func(begin, end func()) error {
		begin()
		defer end()
		_ = group.Pause(ctx, f.For)
		return nil
	}
	onLink := func(state linkState) error {
		return during(func() { link.set(state) }, func() { link.set(linkSound) })
	}
	onStore := func(faults fleetstore.Faults) error {
		return during(func() { d.store.SetFaults(faults) }, func() { d.store.SetFaults(fleetstore.Faults{}) })
	}
	onMinion := func(faults fleethost.Faults) error {
		return during(func() { minion.SetFaults(faults) }, func() { minion.SetFaults(fleethost.Faults{}) })
	}
	switch f.Kind {
	case Kill:
		return p.replace(syscall.SIGKILL, killTime)
	case Terminate:
		return p.replace(syscall.SIGTERM, stopGrace)
	case Pause:
		return during(p.pause, func() { p.signal(syscall.SIGCONT) })
	case Hangup:
		p.signal(syscall.SIGHUP)
	case LinkDelayed:
		return onLink(linkDelayed)
	case LinkReset:
		return onLink(linkReset)
	case LinkSilent:
		return onLink(linkSilent)
	case LinkOneWay:
		return onLink(linkOneWay)
	case StoreDown:
		return onStore(fleetstore.Faults{Down: true})
	case StoreLoses:
		d.store.SetFaults(fleetstore.Faults{LoseAppend: 1 + f.Target%5})
	case StoreForgets:
		d.store.Forget(platform.FleetTopic)
	case MinionSilent:
		return onMinion(fleethost.Faults{Silent: true})
	case MinionReborn:
		minion.Restart()
	case MinionStalled:
		return onMinion(fleethost.Faults{Stall: true})
	case Publish:
		_ = d.publishUntil(ctx, nil)
	default:
		d.withdraw(ctx, fmt.Sprintf("%s-%d", withdrawnKey, f.At))
	}
	return nil
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
		l.set(linkSound)
	}
	for _, m := range d.minions {
		m.SetFaults(fleethost.Faults{})
	}
	for _, p := range d.all {
		p.signal(syscall.SIGCONT)
	}
}
