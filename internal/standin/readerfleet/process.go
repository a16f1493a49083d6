package readerfleet

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/source"
)

// Process is a member of a fleet and the way in which it has failed.
type Process struct {
	fleet    *Fleet
	member   membership.Member
	view     atomic.Pointer[view]
	selector *source.Selector
	tree     *source.Tree
	journal  *journal.Journal
	server   http.Handler
	ended    context.Context // ended ends when the process dies.
	die      context.CancelFunc
	frozen   atomic.Bool
	lagging  atomic.Bool
}

// view is what a process knows from its member list.
type view struct {
	place  source.TreePlace
	reader source.Peer // reader of the region; without a name when there is none.
	near   []source.Peer
}

var errGone = errors.New("connection refused")

func newProcess(f *Fleet, m membership.Member) *Process {
	p := &Process{fleet: f, member: m, journal: journal.New()}
	p.ended, p.die = context.WithCancel(context.Background())
	p.server = wire.NewPeerServer(peer.NewServer(p.journal, nil))
	p.view.Store(&view{})
	p.selector = source.NewSelector(p.log(), nil, p, p.dial)
	p.tree = source.NewTree(p.dial, p.selector)
	return p
}

func (p *Process) run() {
	p.start("follower", journal.NewFollower(p.journal, p.tree, p.selector).Run)
	p.start("guard", source.NewGuard(p.journal, p.tree, p.log()).Run)
	p.start("versions", p.watchVersions)
}

// start runs a controller until the process dies.
func (p *Process) start(name string, run func(context.Context) error) {
	p.fleet.group.Go(name, func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(p.ended, cancel)()
		_ = run(ctx) // The death of one process must not stop the fleet.
		return nil
	})
}

// watchVersions notices when an older configuration comes into force.
func (p *Process) watchVersions(ctx context.Context) error {
	last := int64(0)
	for {
		changed := p.journal.Watch()
		version := p.Version()
		if version < last {
			p.fleet.reverted.Store(true)
		}
		last = version
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Version returns the version of the configuration in force.
func (p *Process) Version() int64 { return p.journal.Configuration().Version }

// Die ends the process; connections to it are refused.
func (p *Process) Die() { p.die() }

// Freeze makes the process keep connections open and do nothing, as a host does
// that has lost its power or its network.
func (p *Process) Freeze() { p.frozen.Store(true) }

// Lag makes the process answer peers and learn nothing new.
func (p *Process) Lag() { p.lagging.Store(true) }

func (p *Process) failed() bool {
	return p.frozen.Load() || p.lagging.Load() || p.ended.Err() != nil
}

func (p *Process) parents() []source.Peer { return p.view.Load().place.Parents }

// RegionReader implements source.Directory.
func (p *Process) RegionReader() (source.Peer, bool) {
	reader := p.view.Load().reader
	return reader, reader.Name != ""
}

// Fallbacks implements source.Directory.
func (p *Process) Fallbacks() []source.Peer { return p.view.Load().near }

func (p *Process) dial(to source.Peer) source.PeerReader { return peer.NewClient(to.Address, p) }

func (p *Process) log() platformlog.Log { return platformlog.NewClient(logAddress, p) }

// RoundTrip implements http.RoundTripper for the calls of the process.
func (p *Process) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	target := p.fleet.processes[r.URL.Host]
	if target == nil {
		return p.exchange(ctx, r, p.fleet.service, LogRegion, p.isSilent)
	}
	defer context.AfterFunc(target.ended, cancel)()
	silent := func() bool { return p.isSilent() || target.frozen.Load() }
	return p.exchange(ctx, r, target.server, target.member.Region, silent)
}

// isSilent reports whether the process gets no answers.
func (p *Process) isSilent() bool { return p.frozen.Load() || p.lagging.Load() }

// exchange carries a request to a handler and its reply back.
func (p *Process) exchange(ctx context.Context, r *http.Request, handler http.Handler, region string, silent func() bool) (*http.Response, error) {
	if err := p.travel(ctx, region, silent); err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r.WithContext(ctx))
	if err := p.travel(ctx, region, silent); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// travel takes the time of a message one way. A message that is lost keeps the
// caller waiting until ctx ends.
func (p *Process) travel(ctx context.Context, region string, silent func() bool) error {
	latency := siteLatency
	if region != p.member.Region {
		latency = regionLatency
	}
	if err := group.Pause(ctx, latency); err != nil {
		return errGone
	}
	if silent() || p.fleet.isCut(region, p.member.Region) {
		<-ctx.Done()
		return errGone
	}
	return nil
}
