package agent_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
	"wasabihoist/internal/traffic/routing"
)

// testTimeout bounds waits that are short on an idle machine, with a margin for a
// busy one.
const testTimeout = 10 * time.Second

// node is an agent process with its minion.
type node struct {
	name        string
	agent       *agent.Server
	journal     *journal.Journal
	minion      *minionhost.Host
	server      *httptest.Server
	process     *group.Group // process runs the agent and its journal writer and follower.
	minionGroup *group.Group
	gate        *gate // gate blocks calls of other processes.
	logGate     *gate // logGate blocks exchanges with the log.
	network     *networkFaults
}

// cluster is a log service with agents and their minions.
type cluster struct {
	t           *testing.T
	logService  *logservice.Service
	log         platformlog.Log
	nodes       []*node
	knownDigest atomic.Uint64 // knownDigest is the digest of known agents that the agents report; 0 means the digest of all nodes.
}

func newCluster(t *testing.T, nodes int, adjust func(*agent.Options)) *cluster {
	t.Helper()
	cl := &cluster{t: t, logService: logservice.New(logservice.DefaultLimits())}
	server := httptest.NewServer(cl.logService.Handler())
	t.Cleanup(server.Close)
	cl.log = platformlog.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	for i := range nodes {
		cl.nodes = append(cl.nodes, cl.startNode(fmt.Sprintf("agent-%d", i), adjust))
	}
	for _, n := range cl.nodes {
		cl.awaitTrue("the agent has read the log", func() bool {
			_, err := n.agent.Service().Lookup(context.Background(), &wire.LookupRequest{Identity: &wire.Identity{Organisation: "serido", Id: "none"}})
			return err == nil
		})
	}
	return cl
}

func writerOptions() journal.WriterOptions {
	o := journal.DefaultWriterOptions()
	o.Spacing, o.Backoff = 5*time.Millisecond, 20*time.Millisecond
	return o
}

// startJournal starts a journal that follows the log, and its writer.
func (cl *cluster) startJournal(g *group.Group, name string, log platformlog.Log) (*journal.Journal, *journal.Writer) {
	j := journal.New()
	w := journal.NewWriter(fmt.Sprintf("%s@%d", name, time.Now().UnixNano()), log, j, writerOptions())
	g.Go("writer", w.Run)
	g.Go("follower", journal.NewFollower(j, log, nil).Run)
	return j, w
}

func (cl *cluster) startNode(name string, adjust func(*agent.Options)) *node {
	cl.t.Helper()
	n := &node{name: name, process: group.New(context.Background()), minionGroup: group.New(context.Background()), gate: newGate(), logGate: newGate(), network: &networkFaults{}}
	j, w := cl.startJournal(n.process, name, gatedLog{cl.log, n.logGate})
	n.journal = j
	local := httptest.NewUnstartedServer(nil)
	options := minionhost.DefaultOptions()
	options.Agent = "http://" + local.Listener.Addr().String()
	options.AnnounceEvery = 50 * time.Millisecond
	minion, err := minionhost.New(options)
	if err != nil {
		cl.t.Fatal(err)
	}
	n.minion = minion
	o := agent.Default()
	o.Name = name
	o.LookupDelay, o.ProbeInterval = 200*time.Millisecond, 200*time.Millisecond
	o.KnownAgents = func() uint64 { return cmp.Or(cl.knownDigest.Load(), routing.AgentListDigest(cl.routingAgents())) }
	if adjust != nil {
		adjust(&o)
	}
	n.agent = agent.New(o, j, w)
	local.Config.Handler = n.agent.Handler()
	local.Start()
	n.server = httptest.NewUnstartedServer(n.gate.handler(n.network.handler(wire.NewAgentServer(n.agent.Service()))))
	n.server.Config.ConnContext = n.network.connContext
	n.server.Start()
	n.process.Go("agent", n.agent.Run)
	n.startMinion()
	cl.t.Cleanup(func() {
		n.kill()
		n.minionGroup.Stop()
		_ = n.minionGroup.Wait()
		local.Close()
	})
	cl.awaitTrue("the minion announces itself", func() bool {
		return cl.run(n, cl.request("warm-up", true, 0), testTimeout).Outcome == request.Done
	})
	return n
}

// startMinion starts a new incarnation of the minion.
func (n *node) startMinion() {
	n.minionGroup.Go("minion", func(ctx context.Context) error {
		_ = n.minion.Run(ctx)
		return nil
	})
}

// pause blocks the exchanges of the process with others.
func (n *node) pause() {
	n.gate.close()
	n.logGate.close()
}

func (n *node) resume() {
	n.gate.open()
	n.logGate.open()
}

// kill ends the agent process at once, with its server, connections and journal
// writer.
func (n *node) kill() {
	n.resume()
	n.process.Stop()
	_ = n.server.Listener.Close()
	n.server.CloseClientConnections()
	_ = n.process.Wait()
	n.server.Close()
}

func (cl *cluster) awaitTrue(what string, condition func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	cl.t.Fatalf("not within %v: %s", testTimeout, what)
}

func (cl *cluster) request(id string, idempotent bool, work time.Duration) request.Request {
	return request.Request{
		Identity:   request.Identity{Organisation: "serido", ID: id},
		Service:    "folha-app",
		Kind:       "check",
		Idempotent: idempotent,
		Body:       minionhost.Body(work, 2000),
	}
}

// run calls an agent directly.
func (cl *cluster) run(n *node, q request.Request, timeout time.Duration) request.Answer {
	cl.t.Helper()
	reply, err := n.agent.Service().Run(context.Background(), wireRequest(q, timeout))
	if err != nil {
		cl.t.Error(err)
		return request.Answer{}
	}
	return request.Answer{Outcome: request.Outcome(reply.Outcome), Reason: reply.Reason, Body: reply.Body, Retryable: reply.Retryable}
}

func wireRequest(q request.Request, timeout time.Duration) *wire.RunRequest {
	return &wire.RunRequest{
		Identity:          &wire.Identity{Organisation: q.Identity.Organisation, Id: q.Identity.ID},
		Service:           q.Service,
		Kind:              q.Kind,
		DeadlineUnixNanos: time.Now().Add(timeout).UnixNano(),
		Idempotent:        q.Idempotent,
		Body:              q.Body,
	}
}

// executions counts the runs of an identity on all minions.
func (cl *cluster) executions(id request.Identity) int {
	count := 0
	for _, n := range cl.nodes {
		count += n.minion.Executions(id)
	}
	return count
}

// assertDone checks for the complete answer of the right request.
func assertDone(c *qt.C, q request.Request, a request.Answer) {
	c.Helper()
	c.Assert(a.Outcome, qt.Equals, request.Done, qt.Commentf("%s", a.Reason))
	c.Assert(string(a.Body), qt.Equals, string(minionhost.Answer(q.Identity, q.Body)))
}
