package fanoutbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/cluster/readertree"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/source"
	"wasabihoist/internal/standin/logservice"
)

const (
	headerTimeout = 5 * time.Second
	publishLimit  = 20 * time.Second
	pollPause     = time.Millisecond
	dataCentre    = "fanout"
	region        = "here"
)

// way is how records reach the members.
type way string

const (
	readerWay way = "reader" // readerWay has one reader that all others read from, as before the tree.
	treeWay   way = "tree"
)

// site is a data centre in this process, with a log service and a writer that
// are not members.
type site struct {
	group   *group.Group
	members []*member
	log     netip.AddrPort
	journal *journal.Journal // journal of the writer.
	writer  *journal.Writer
}

type member struct {
	peer      source.Peer
	kind      string
	journal   *journal.Journal
	transport *transport.Transport
	served    atomic.Int64 // served is the bytes of its listener, both ways.
}

func start(ctx context.Context, size int, w way) (*site, error) {
	s := &site{group: group.New(ctx)}
	var err error
	var unused atomic.Int64
	if s.log, err = s.serve(logservice.New(logservice.DefaultLimits()).Handler(), &unused); err != nil {
		return nil, err
	}
	list := make([]membership.Member, size)
	for i := range list {
		m := &member{journal: journal.New(), transport: transport.New(nil, nil)}
		handler := wire.NewPeerServer(peer.NewServer(m.journal, nil))
		m.peer.Name = fmt.Sprint("member-", i)
		if m.peer.Address, err = s.serve(handler, &m.served); err != nil {
			s.stop()
			return nil, err
		}
		s.members = append(s.members, m)
		list[i] = membership.Member{
			Name: m.peer.Name, Role: membership.Agent, Region: region, DataCentre: dataCentre, Address: m.peer.Address,
		}
	}
	s.journal = journal.New()
	client := platformlog.NewClient(s.log, nil)
	s.writer = journal.NewWriter("writer@1", client, s.journal, journal.DefaultWriterOptions())
	s.group.Go("writer", s.writer.Run)
	s.group.Go("follower of the writer", journal.NewFollower(s.journal, client, nil).Run)
	s.read(list, w)
	return s, nil
}

// serve returns the address at which the handler is reached.
func (s *site) serve(handler http.Handler, bytes *atomic.Int64) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	counted := transport.CountListener(listener, bytes, bytes)
	s.group.Go("listener", func(ctx context.Context) error { return webserver.Serve(ctx, server, counted) })
	return netip.ParseAddrPort(listener.Addr().String())
}

// read starts the members in their places.
func (s *site) read(list []membership.Member, w way) {
	places := make([]source.TreePlace, len(list))
	children := map[string][2]int{}
	for i, m := range list {
		for level, p := range s.parents(m, list, w) {
			places[i].Parents = append(places[i].Parents, source.Peer{Name: p.Name, Address: p.Address})
			count := children[p.Name]
			count[level]++
			children[p.Name] = count
		}
	}
	for i, m := range s.members {
		m.kind = kindOf(places[i], children[m.peer.Name])
		dial := func(p source.Peer) source.PeerReader { return peer.NewClient(p.Address, m.transport.Shared()) }
		log := platformlog.NewClient(s.log, m.transport.Shared())
		tree := source.NewTree(dial, log)
		tree.SetPlace(places[i])
		s.group.Go("follower", journal.NewFollower(m.journal, tree, nil).Run)
		if w == treeWay {
			s.group.Go("guard", source.NewGuard(m.journal, tree, log).Run)
		}
	}
}

func (s *site) parents(m membership.Member, list []membership.Member, w way) []membership.Member {
	if w == treeWay {
		return readertree.Of(m, list, region).Parents
	}
	if m.Name == list[0].Name {
		return nil
	}
	return list[:1]
}

func kindOf(place source.TreePlace, children [2]int) string {
	switch {
	case len(place.Parents) == 0 && children[0] > 0:
		return "root"
	case len(place.Parents) == 0:
		return "second-root"
	case children[0] > 0:
		return "inner"
	case children[1] > 0:
		return "second-inner"
	default:
		return "leaf"
	}
}

// publish returns the time from the append until the last member has folded the
// record.
func (s *site) publish(ctx context.Context, record journal.ConfigurationPublished) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	record.Base = s.journal.Configuration().Version
	begun := time.Now()
	verdict, err := s.writer.Append(ctx, record)
	if err != nil {
		return 0, fmt.Errorf("publish: %w", err)
	}
	if !verdict.Valid {
		return 0, errors.New("publish: " + verdict.Reason)
	}
	for _, m := range s.members {
		for m.journal.Configuration().Version < verdict.Offset {
			if err := group.Pause(ctx, pollPause); err != nil {
				return 0, fmt.Errorf("%s does not have version %d: %w", m.peer.Name, verdict.Offset, err)
			}
		}
	}
	return time.Since(begun), nil
}

// bytes returns what each member has sent and received.
func (s *site) bytes() []int64 {
	list := make([]int64, len(s.members))
	for i, m := range s.members {
		t := m.transport.Traffic()
		list[i] = m.served.Load() + t.LocalIn.Load() + t.LocalOut.Load()
	}
	return list
}

func (s *site) stop() {
	s.group.Stop()
	_ = s.group.Wait()
}
