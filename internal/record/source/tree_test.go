package source_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/cluster/readertree"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/standin/logservice"
)

const (
	plannedMembers = 443
	exchangeTime   = 3 * time.Millisecond // exchangeTime is there and back within a data centre.
	// extraWait is what a failure of readers may add to the time without a tree.
	extraWait             = time.Second
	nearRegion, farRegion = "serido", "cariri"
)

// forest is a data centre whose members read through the tree. The member list
// stays as it is, as before membership has noticed a failure. It runs on the
// clock of a synctest bubble.
type forest struct {
	c         *qt.C
	service   http.Handler
	members   []membership.Member
	processes map[string]*treeProcess     // processes by address, as in URLs.
	root      atomic.Pointer[treeProcess] // root of the first tree; it holds the reader duty.
	publisher *treeProcess
	writer    *journal.Writer
	group     *group.Group
}

// treeProcess is a member of a forest and the way in which it has failed.
type treeProcess struct {
	forest  *forest
	member  membership.Member
	place   source.TreePlace
	tree    *source.Tree
	journal *journal.Journal
	server  http.Handler
	ended   context.Context // ended ends when the process dies.
	die     context.CancelFunc
	frozen  atomic.Bool // frozen processes keep connections open and do nothing.
	lagging atomic.Bool // lagging processes answer peers and learn nothing new.
}

var errGone = errors.New("connection refused")

// RoundTrip implements http.RoundTripper for the calls of the process.
func (p *treeProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(exchangeTime)
	target, handler := p.forest.processes[r.URL.Host], p.forest.service
	if target != nil {
		handler = target.server
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if target != nil {
		if target.ended.Err() != nil {
			return nil, errGone
		}
		defer context.AfterFunc(target.ended, cancel)()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r.WithContext(ctx))
	silent := p.frozen.Load() || p.lagging.Load() || (target != nil && target.frozen.Load())
	if silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, errGone
	}
	return recorder.Result(), nil
}

func (p *treeProcess) dial(to source.Peer) source.PeerReader { return peer.NewClient(to.Address, p) }

// RegionReader implements source.Directory.
func (p *treeProcess) RegionReader() (source.Peer, bool) {
	first := p.forest.root.Load()
	if p.member.Region == nearRegion || first.member.Name == p.member.Name {
		return source.Peer{}, false
	}
	return source.Peer{Name: first.member.Name, Address: first.member.Address}, true
}

// Fallbacks implements source.Directory.
func (*treeProcess) Fallbacks() []source.Peer { return nil }

func newForest(c *qt.C, region string) *forest {
	f := &forest{c: c, service: logservice.New(logservice.DefaultLimits()).Handler(), processes: map[string]*treeProcess{}, group: group.New(context.Background())}
	for i := range plannedMembers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		f.members = append(f.members, membership.Member{
			Name: fmt.Sprint("agent-", i), Role: membership.Agent, Region: region, DataCentre: "acari", Address: address,
		})
	}
	for _, m := range f.members {
		p := f.newProcess(m)
		p.place = f.place(m)
		f.processes[m.Address.String()] = p
	}
	f.root.Store(f.inner(0))
	for _, p := range f.processes {
		p.run()
	}
	f.publisher = f.newProcess(membership.Member{Name: "publisher", Region: nearRegion})
	f.writer = journal.NewWriter("publisher@1", f.publisher.log(), f.publisher.journal, journal.DefaultWriterOptions())
	f.publisher.run()
	f.group.Go("writer", f.writer.Run)
	return f
}

// place is the place of a member by the list as it is now.
func (f *forest) place(m membership.Member) source.TreePlace {
	place := readertree.Of(m, f.members, nearRegion)
	result := source.TreePlace{Standby: place.Standby}
	for _, parent := range place.Parents {
		result.Parents = append(result.Parents, source.Peer{Name: parent.Name, Address: parent.Address})
	}
	return result
}

// suspect tells all members after a while that some are suspect.
func (f *forest) suspect(after time.Duration, names ...string) {
	f.group.Go("membership", func(ctx context.Context) error {
		if err := group.Pause(ctx, after); err != nil {
			return err
		}
		for i := range f.members {
			if slices.Contains(names, f.members[i].Name) {
				f.members[i].State = membership.Suspect
			}
		}
		for _, m := range f.members {
			p, place := f.processes[m.Address.String()], f.place(m)
			if len(place.Parents) == 0 && !place.Standby {
				f.root.Store(p)
			}
			p.tree.SetPlace(place)
		}
		return nil
	})
}

func (f *forest) newProcess(m membership.Member) *treeProcess {
	p := &treeProcess{forest: f, member: m, journal: journal.New()}
	p.ended, p.die = context.WithCancel(context.Background())
	p.server = wire.NewPeerServer(peer.NewServer(p.journal, nil))
	return p
}

func (p *treeProcess) log() platformlog.Log {
	return platformlog.NewClient(netip.MustParseAddrPort("10.9.9.9:7000"), p)
}

func (p *treeProcess) run() {
	selector := source.NewSelector(p.log(), nil, p, p.dial)
	p.tree = source.NewTree(p.dial, selector)
	p.tree.SetPlace(p.place)
	until := func(run func(context.Context) error) func(context.Context) error {
		return func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(p.ended, cancel)()
			_ = run(ctx)
			return nil
		}
	}
	p.forest.group.Go("follower", until(journal.NewFollower(p.journal, p.tree, selector).Run))
	p.forest.group.Go("guard", until(source.NewGuard(p.journal, p.tree).Run))
}

// inner returns a member of a level of the first tree that others read from;
// level 0 is the root.
func (f *forest) inner(level int) *treeProcess {
	depth := func(p *treeProcess) int {
		d := 0
		for ; len(p.place.Parents) > 0; p = f.processes[p.place.Parents[0].Address.String()] {
			d++
		}
		return d
	}
	for _, m := range f.members {
		if parents := f.processes[m.Address.String()].place.Parents; len(parents) > 0 {
			if p := f.processes[parents[0].Address.String()]; depth(p) == level {
				return p
			}
		}
	}
	f.c.Fatalf("no member at level %d", level)
	return nil
}

// publish appends a configuration and returns how long it took until the last
// working member had it.
func (f *forest) publish() time.Duration {
	f.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), inForce)
	defer cancel()
	record := journal.ConfigurationPublished{Base: f.publisher.journal.Configuration().Version}
	start := time.Now()
	verdict, err := f.writer.Append(ctx, record)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(verdict.Valid, qt.IsTrue)
	for _, p := range f.processes {
		for !p.failed() && p.journal.Configuration().Version < verdict.Offset {
			if time.Since(start) > inForce {
				f.c.Fatalf("%s does not have version %d after %s", p.member.Name, verdict.Offset, inForce)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

func (p *treeProcess) failed() bool {
	return p.frozen.Load() || p.lagging.Load() || p.ended.Err() != nil
}

func (f *forest) stop() {
	f.group.Stop()
	for _, p := range f.processes {
		p.die()
	}
	_ = f.group.Wait()
}

// Guards against a configuration that comes late because members that pass
// records on die, freeze or fall behind, at any level of the tree or at all of
// them at once. Later configurations must not be late either.
func TestTreeOfReadersUnderFailures(t *testing.T) {
	faults := map[string]func(*treeProcess){
		"dies":    func(p *treeProcess) { p.die() },
		"freezes": func(p *treeProcess) { p.frozen.Store(true) },
		"lags":    func(p *treeProcess) { p.lagging.Store(true) },
	}
	pauses := []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 11 * time.Second, 0}
	levels := map[string][]int{"root": {0}, "level 1": {1}, "level 2": {2}, "all levels": {0, 1, 2}}
	for fault, fail := range faults {
		for level, list := range levels {
			t.Run(level+" "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f := newForest(c, nearRegion)
					defer f.stop()
					time.Sleep(5 * time.Second)
					c.Assert(f.publish() < extraWait/10, qt.IsTrue)
					for _, l := range list {
						fail(f.inner(l))
					}
					for _, pause := range pauses {
						took := f.publish()
						t.Log("in force after", took)
						c.Assert(took < extraWait, qt.IsTrue, qt.Commentf("%s", took))
						time.Sleep(pause)
					}
				})
			})
		}
	}
}

// Guards against a tree that holds up a configuration for longer than the
// promised time when both roots freeze at once, and against a region that waits
// for the member that reads the log for it.
func TestRootsFreeze(t *testing.T) {
	const suspected = 2 * time.Second
	tests := map[string]struct {
		region string
		both   bool
	}{
		"both roots":             {nearRegion, true},
		"reader of a far region": {farRegion, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newForest(c, tt.region)
				defer f.stop()
				time.Sleep(5 * time.Second)
				c.Assert(f.publish() < extraWait/10, qt.IsTrue)
				frozen := []string{f.root.Load().member.Name}
				f.root.Load().frozen.Store(true)
				for _, p := range f.processes {
					if tt.both && len(p.place.Parents) == 0 {
						p.frozen.Store(true)
						frozen = append(frozen, p.member.Name)
					}
				}
				f.suspect(suspected, frozen...)
				took := f.publish()
				t.Log("in force after", took)
				// Reads of a frozen parent must end when it is suspect.
				c.Assert(took < suspected+extraWait/2, qt.IsTrue)
				time.Sleep(suspected)
				for range 3 {
					took := f.publish()
					t.Log("in force after", took)
					c.Assert(took < extraWait, qt.IsTrue)
				}
			})
		})
	}
}
