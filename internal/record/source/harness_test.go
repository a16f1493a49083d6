package source_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/snapshot"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/tenancy/organisation"
)

// inForce is the promised time for an accepted configuration to be in force
// everywhere.
const inForce = 4 * time.Second

// deployment is a log service with the processes that use it.
type deployment struct {
	t       *testing.T
	service *logservice.Service
	address netip.AddrPort
}

func newDeployment(t *testing.T, keep int) *deployment {
	t.Helper()
	limits := logservice.DefaultLimits()
	limits.KeepEntries = keep
	d := &deployment{t: t, service: logservice.New(limits)}
	server := httptest.NewServer(d.service.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	d.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return d
}

// node is a process with its own switch on the way to the log.
type node struct {
	source.Peer
	journal  *journal.Journal
	writer   *journal.Writer
	puller   *source.Puller
	follower *journal.Follower
	server   *httptest.Server
	group    *group.Group
	cut      atomic.Bool // cut makes the log out of reach for this node.
	silent   atomic.Bool // silent makes the node accept calls of peers and not answer.
	region   atomic.Pointer[node]
	peers    atomic.Pointer[[]source.Peer]
	reverted atomic.Bool // reverted is set when an older configuration came into force.

	log platformlog.Log
}

var errCut = errors.New("out of reach")

func (n *node) Append(ctx context.Context, payload []byte) (int64, error) {
	if n.cut.Load() {
		return 0, errCut
	}
	return n.log.Append(ctx, payload)
}

func (n *node) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	if n.cut.Load() {
		return platformlog.Page{}, errCut
	}
	page, err := n.log.Read(ctx, from, limit, wait)
	if n.cut.Load() {
		return platformlog.Page{}, errCut
	}
	return page, err
}

// RegionReader implements source.Directory.
func (n *node) RegionReader() (source.Peer, bool) {
	if reader := n.region.Load(); reader != nil {
		return reader.Peer, true
	}
	return source.Peer{}, false
}

// Fallbacks implements source.Directory.
func (n *node) Fallbacks() []source.Peer { return *n.peers.Load() }

func (n *node) setPeers(peers ...*node) {
	list := []source.Peer{}
	for _, p := range peers {
		list = append(list, p.Peer)
	}
	n.peers.Store(&list)
}

func dial(p source.Peer) source.PeerReader { return peer.NewClient(p.Address, nil) }

// newNode makes a process that does not read yet.
func (d *deployment) newNode(name string, peers ...*node) *node {
	n := &node{journal: journal.New(), log: platformlog.NewClient(d.address, nil), group: group.New(context.Background())}
	n.setPeers(peers...)
	options := journal.DefaultWriterOptions()
	options.Spacing, options.Backoff = 5*time.Millisecond, 20*time.Millisecond
	n.writer = journal.NewWriter(name+"@1", n, n.journal, options)
	n.puller = source.NewPuller(n.journal, dial)
	selector := source.NewSelector(n, snapshot.NewScan(n), n, dial)
	n.follower = journal.NewFollower(n.journal, selector, selector)
	handler := peer.NewHandler(peer.NewServer(n.journal, nil))
	n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.silent.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // The context ends only after the body was read.
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	n.Peer = source.Peer{Name: name, Address: netip.MustParseAddrPort(n.server.Listener.Addr().String())}
	n.group.Go("watch", n.watchVersions)
	d.t.Cleanup(func() {
		n.group.Stop()
		_ = n.group.Wait()
		n.server.CloseClientConnections()
		n.server.Close()
		if n.reverted.Load() {
			d.t.Errorf("%s went back to an older configuration", name)
		}
	})
	return n
}

func (d *deployment) start(name string, peers ...*node) *node {
	n := d.newNode(name, peers...)
	n.run()
	return n
}

func (n *node) run() {
	n.group.Go("writer", n.writer.Run)
	n.group.Go("puller", n.puller.Run)
	n.group.Go("follower", n.follower.Run)
}

// publishSnapshots makes the node write small chunks often.
func (n *node) publishSnapshots() {
	options := snapshot.Options{Records: 10, Interval: time.Hour, Check: 10 * time.Millisecond, ChunkSize: 300}
	n.group.Go("publisher", snapshot.NewPublisher(options, n.journal, n.writer, func() bool { return true }).Run)
}

func (n *node) watchVersions(ctx context.Context) error {
	last := int64(0)
	for {
		changed := n.journal.Watch()
		version := n.journal.Configuration().Version
		if version < last {
			n.reverted.Store(true)
		}
		last = version
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// configure publishes a configuration of several organisations through the
// node and returns its version.
func (d *deployment) configure(n *node) int64 {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	record := journal.ConfigurationPublished{Base: n.journal.Configuration().Version}
	for i := range 30 {
		record.Organisations = append(record.Organisations, organisation.Organisation{Name: fmt.Sprint("organisation-", i), Plan: "p"})
	}
	verdict, err := n.writer.Append(ctx, record)
	if err != nil || !verdict.Valid {
		d.t.Fatalf("publish: %+v, %v", verdict, err)
	}
	return verdict.Offset
}

// fill appends records, one an append, to push earlier ones out.
func (d *deployment) fill(n *node, count int) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for range count {
		if _, err := n.writer.Append(ctx, journal.Barrier{}); err != nil {
			d.t.Fatal(err)
		}
	}
}

// assertInForce waits for a version at all nodes.
func (d *deployment) assertInForce(version int64, nodes ...*node) {
	d.t.Helper()
	d.assertWithin(inForce, version, nodes...)
}

func (d *deployment) assertWithin(bound time.Duration, version int64, nodes ...*node) {
	d.t.Helper()
	for end := time.Now().Add(bound); ; time.Sleep(5 * time.Millisecond) {
		behind := slices.IndexFunc(nodes, func(n *node) bool { return n.journal.Configuration().Version < version })
		if behind < 0 {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("version %d is not in force at %s within %v", version, nodes[behind].Name, bound)
		}
	}
}

func (d *deployment) assertAlike(a, b *node) {
	d.t.Helper()
	c := qt.New(d.t)
	c.Assert(a.journal.Configuration(), qt.DeepEquals, b.journal.Configuration())
}
