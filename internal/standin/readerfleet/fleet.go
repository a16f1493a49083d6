// Package readerfleet runs the reading part of all processes of a fleet in one
// process, over an in-memory network with latencies and faults. It measures how
// long a configuration takes to reach all members, on the real clock or in a
// synctest bubble.
package readerfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/readertree"
	"wasabihoist/internal/cluster/rendezvous"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/standin/logservice"
)

const (
	// LogRegion is the region of the log service and of the publisher.
	LogRegion = "region-0"
	// FarRegion is the first region without the log service.
	FarRegion = "region-1"

	// siteLatency is one way between data centres. It is used within them as
	// well, where it is an upper bound.
	siteLatency   = 1500 * time.Microsecond
	regionLatency = 8 * time.Millisecond // regionLatency is one way between regions.
	pollPause     = time.Millisecond
	peerPort      = 7000
	// candidates is how many peers a process knows to ask while the log is down.
	candidates = 3
	// partedChanges is how many configurations are published while regions are
	// parted.
	partedChanges = 4
)

var logAddress = netip.MustParseAddrPort("10.255.0.1:7000")

// Layout is the size of a fleet.
type Layout struct {
	DataCentres []int // DataCentres of each region; the log service is in the first one, which may have none.
	Members     int   // Members of each data centre.
}

// Planned is the planned size: 14 data centres in 4 regions.
func Planned() Layout { return Layout{DataCentres: []int{4, 4, 3, 3}, Members: 443} }

// PlannedRegion is the largest region without the log service.
func PlannedRegion() Layout { return Layout{DataCentres: []int{0, 4}, Members: 443} }

// Fleet is a running fleet. Its member lists stay as they are until Suspect.
type Fleet struct {
	service   http.Handler
	group     *group.Group
	regions   []*region
	processes map[string]*Process // processes by address, as in URLs.
	parted    atomic.Bool         // parted keeps the log region and the far region from each other.
	publisher *Process
	writer    *journal.Writer
	reverted  atomic.Bool // reverted is set when an older configuration came into force.
}

// region is a region with the member list of its processes.
type region struct {
	name      string
	members   []membership.Member
	processes []*Process
}

// Start runs a fleet until Stop or the end of ctx.
func Start(ctx context.Context, l Layout) *Fleet {
	f := &Fleet{
		service:   logservice.New(logservice.DefaultLimits()).Handler(),
		group:     group.New(ctx),
		processes: map[string]*Process{},
	}
	site := 0
	for i, count := range l.DataCentres {
		r := &region{name: fmt.Sprint("region-", i)}
		for range count {
			r.addDataCentre(f, site, l.Members)
			site++
		}
		f.regions = append(f.regions, r)
	}
	for _, r := range f.regions {
		r.place()
		for _, p := range r.processes {
			p.run()
		}
	}
	f.publisher = newProcess(f, membership.Member{Name: "publisher", Region: LogRegion})
	f.writer = journal.NewWriter("publisher@1", f.publisher.log(), f.publisher.journal, journal.DefaultWriterOptions())
	f.publisher.run()
	f.group.Go("writer", f.writer.Run)
	return f
}

// addDataCentre adds the members in the order of the tree, because sorting them
// again for each of 6,200 processes would take most of the time of a test.
func (r *region) addDataCentre(f *Fleet, site, members int) {
	var list []membership.Member
	for i := range members {
		m := membership.Member{
			Name: fmt.Sprintf("agent-%d-%d", site, i), Role: membership.Agent,
			Region: r.name, DataCentre: fmt.Sprint("centre-", site),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(site), byte(i >> 8), byte(i)}), peerPort),
		}
		list = append(list, m)
	}
	duty := rendezvous.Hash(readertree.Duty + "\x00")
	weight := func(m membership.Member) uint64 { return rendezvous.Combine(duty, rendezvous.Hash(m.Name)) }
	slices.SortFunc(list, func(a, b membership.Member) int { return cmp.Compare(weight(b), weight(a)) })
	for _, m := range list {
		p := newProcess(f, m)
		r.members = append(r.members, m)
		r.processes = append(r.processes, p)
		f.processes[m.Address.String()] = p
	}
}

// placeOf returns the place of a member. Only roots depend on other data centres.
func (r *region) placeOf(m membership.Member, own []membership.Member) readertree.Place {
	if place := readertree.Of(m, own, LogRegion); len(place.Parents) > 0 {
		return place
	}
	return readertree.Of(m, r.members, LogRegion)
}

// place gives all processes their places by the member list as it is now. Members
// of other regions have no influence on a place.
func (r *region) place() {
	reader, hasReader := duty.Holder(readertree.Duty, "", r.name, r.members)
	var near []source.Peer
	for _, m := range r.members {
		if m.Working() && len(near) <= candidates {
			near = append(near, peerOf(m))
		}
	}
	centres := map[string][]membership.Member{}
	for _, m := range r.members {
		centres[m.DataCentre] = append(centres[m.DataCentre], m)
	}
	for _, p := range r.processes {
		place := r.placeOf(p.member, centres[p.member.DataCentre])
		v := &view{place: source.TreePlace{Standby: place.Standby, Guest: place.Guest}}
		for _, parent := range place.Parents {
			v.place.Parents = append(v.place.Parents, peerOf(parent))
		}
		if hasReader && r.name != LogRegion && reader.Name != p.member.Name {
			v.reader = peerOf(reader)
		}
		v.near = slices.DeleteFunc(slices.Clone(near), func(o source.Peer) bool { return o.Name == p.member.Name })
		p.view.Store(v)
		p.tree.SetPlace(v.place)
	}
}

func peerOf(m membership.Member) source.Peer { return source.Peer{Name: m.Name, Address: m.Address} }

// Suspect tells all members of the region after a while that the processes are
// suspect.
func (f *Fleet) Suspect(after time.Duration, list ...*Process) {
	f.group.Go("membership", func(ctx context.Context) error {
		if err := group.Pause(ctx, after); err != nil {
			return err
		}
		for _, r := range f.regions {
			changed := false
			for i, p := range r.processes {
				if slices.Contains(list, p) {
					r.members[i].State, changed = membership.Suspect, true
				}
			}
			if changed {
				r.place()
			}
		}
		return nil
	})
}

// Part cuts the far region off from the log region. Calls that meet the cut stay
// silent until their deadline, even when it ends before.
func (f *Fleet) Part() { f.parted.Store(true) }

// Join ends the cut.
func (f *Fleet) Join() { f.parted.Store(false) }

// isCut reports whether messages between two regions are lost.
func (f *Fleet) isCut(a, b string) bool {
	return f.parted.Load() && a != b && (a == LogRegion || b == LogRegion) && (a == FarRegion || b == FarRegion)
}

// Publish appends a configuration and returns its version as soon as the
// publisher has folded it.
func (f *Fleet) Publish(ctx context.Context) (int64, error) {
	verdict, err := f.writer.Append(ctx, journal.ConfigurationPublished{Base: f.publisher.journal.Configuration().Version})
	if err != nil {
		return 0, fmt.Errorf("publish: %w", err)
	}
	if !verdict.Valid {
		return 0, errors.New("publish: " + verdict.Reason)
	}
	return verdict.Offset, nil
}

// Await returns when all live members that can be reached have the version. It
// fails when one of them does not have it before ctx ends.
func (f *Fleet) Await(ctx context.Context, version int64) error {
	for _, r := range f.regions {
		if f.isCut(r.name, LogRegion) {
			continue
		}
		for _, p := range r.processes {
			for !p.failed() && p.Version() < version {
				if err := group.Pause(ctx, pollPause); err != nil {
					return fmt.Errorf("%s does not have version %d: %w", p.member.Name, version, err)
				}
			}
		}
	}
	return nil
}

// Measure returns the time from the append of a configuration until the last
// live member has it.
func (f *Fleet) Measure(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	version, err := f.Publish(ctx)
	if err != nil {
		return 0, err
	}
	err = f.Await(ctx, version)
	return time.Since(begun), err
}

// MeasureRejoin parts the far region from the log region, publishes
// configurations meanwhile, and returns the time from the end of the cut until
// all live members have the last one. It fails when the cut lets one through.
func (f *Fleet) MeasureRejoin(ctx context.Context, parted time.Duration) (time.Duration, error) {
	before := f.publisher.Version()
	f.Part()
	defer f.Join()
	var version int64
	for range partedChanges {
		var err error
		if version, err = f.Publish(ctx); err != nil {
			return 0, err
		}
		if err := f.Await(ctx, version); err != nil {
			return 0, err
		}
		if err := group.Pause(ctx, parted/partedChanges); err != nil {
			return 0, fmt.Errorf("regions parted: %w", err)
		}
	}
	for _, p := range f.region().processes {
		if p.Version() != before {
			return 0, fmt.Errorf("%s has version %d during the cut, not %d", p.member.Name, p.Version(), before)
		}
	}
	f.Join()
	begun := time.Now()
	err := f.Await(ctx, version)
	return time.Since(begun), err
}

// Members returns the number of members.
func (f *Fleet) Members() int { return len(f.processes) }

// Reverted reports whether a member ever went back to an older configuration.
func (f *Fleet) Reverted() bool { return f.reverted.Load() }

// Stop ends all processes.
func (f *Fleet) Stop() {
	f.group.Stop()
	for _, p := range f.processes {
		p.Die()
	}
	_ = f.group.Wait()
}

// region returns the far region, or the log region when it is the only one.
func (f *Fleet) region() *region { return f.regions[min(1, len(f.regions)-1)] }

// Path returns one member of each level of the first tree, the root first: those
// through which records reach the member that is furthest from the log.
func (f *Fleet) Path() []*Process {
	var longest []*Process
	for _, p := range f.region().processes {
		path := f.pathTo(p)
		if len(path) > len(longest) {
			longest = path
		}
	}
	slices.Reverse(longest)
	return longest
}

// pathTo returns the ancestors of a process, the nearest one first.
func (f *Fleet) pathTo(p *Process) []*Process {
	var path []*Process
	for parents := p.parents(); len(parents) > 0; parents = p.parents() {
		p = f.processes[parents[0].Address.String()]
		path = append(path, p)
	}
	return path
}

// Roots returns the two members that read the log, the holder of the reader duty
// first.
func (f *Fleet) Roots() []*Process {
	var roots []*Process
	for _, p := range f.region().processes {
		switch {
		case len(p.parents()) > 0:
		case p.view.Load().place.Standby:
			roots = append(roots, p)
		default:
			roots = slices.Insert(roots, 0, p)
		}
	}
	return roots
}

// GuestRoots returns the roots of a data centre whose roots read from another
// data centre.
func (f *Fleet) GuestRoots() []*Process {
	home := f.Roots()[0].member.DataCentre
	var roots []*Process
	for _, p := range f.region().processes {
		dataCentre := p.member.DataCentre
		crosses := func(o source.Peer) bool { return f.processes[o.Address.String()].member.DataCentre != dataCentre }
		if dataCentre == home || !slices.ContainsFunc(p.parents(), crosses) {
			continue
		}
		if len(roots) == 0 || roots[0].member.DataCentre == dataCentre {
			roots = append(roots, p)
		}
	}
	return roots
}

// Home returns the members of the data centre whose roots read the log.
func (f *Fleet) Home() []*Process {
	home := f.Roots()[0].member.DataCentre
	var list []*Process
	for _, p := range f.region().processes {
		if p.member.DataCentre == home {
			list = append(list, p)
		}
	}
	return list
}
