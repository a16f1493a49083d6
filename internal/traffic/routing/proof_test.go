package routing

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/traffic/request"
)

func TestMain(m *testing.M) { propertytest.Main(m, 300) }

// refusingAgent refuses all requests because its queue is full, and knows none.
type refusingAgent struct{ lookups atomic.Int64 }

func (a *refusingAgent) Run(_ context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.NotRun), Reason: "full", Retryable: true, Checksum: emptyChecksum}, nil
}

func (a *refusingAgent) Lookup(_ context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	a.lookups.Add(1)
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.Pending), Checksum: emptyChecksum}, nil
}

const emptyChecksum = 0xef46db3751d8e999 // emptyChecksum is the xxhash of an empty body.

// startAgents starts one server and returns agents in several regions that all
// have its address.
func startAgents(t *testing.T, server *refusingAgent, regions, each int) []Agent {
	t.Helper()
	s := httptest.NewServer(wire.NewAgentServer(server))
	t.Cleanup(s.Close)
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	var agents []Agent
	for r := range regions {
		for i := range each {
			a := testAgent(fmt.Sprintf("agent-%d-%d", r, i), fmt.Sprint("region-", r), fmt.Sprint("dc-", i%3), Alive)
			a.Address = address
			agents = append(agents, a)
		}
	}
	return agents
}

// noRetryOptions returns options with time for a proof and without retries.
func noRetryOptions() Options {
	options := Default()
	options.Region, options.ProofTimeout = "region-0", 10*time.Second
	options.RetryBurst, options.RetryPerSecond = 0, 0
	return options
}

func testRequest(id string) request.Request {
	return request.Request{
		Identity: request.Identity{Organisation: "serido", ID: id}, Service: "folha-app", Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against a refusal that sends a lookup to each agent of the fleet, and
// against a NotRun answer if there are too many agents to ask.
func TestLookupsAreBounded(t *testing.T) {
	tests := map[string]struct {
		regions, each int
		want          request.Outcome
		lookups       int64
	}{
		"ten agents":   {regions: 2, each: 5, want: request.NotRun, lookups: 10},
		"planned size": {regions: 4, each: 1550, want: request.NotRun, lookups: 48},
		"too many":     {regions: 6, each: 100, want: request.Unknown, lookups: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &refusingAgent{}
			agents := startAgents(t, server, tt.regions, tt.each)
			options := noRetryOptions()
			barrier := func(context.Context) error { return nil }
			client := New(options, func() []Agent { return agents }, journal.New(), barrier, nil)
			defer client.Close()
			answer := client.Run(t.Context(), testRequest("tally"))
			c.Assert(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%s", answer.Reason))
			c.Assert(server.lookups.Load(), qt.Equals, tt.lookups)
			c.Assert(client.Counters.Lookups.Value(), qt.Equals, tt.lookups)
		})
	}
}

// Guards against a proof that does not ask an agent to which another entry has
// sent the request. The two entries see different states of agents, and one of
// them does not know a few agents.
func TestLookupTargetsIncludeCandidatesOfOthers(t *testing.T) {
	all := startAgents(t, &refusingAgent{}, 3, 60)
	rapid.Check(t, func(t *rapid.T) {
		view := func(label string) []Agent {
			agents := append([]Agent{}, all...)
			for range rapid.IntRange(0, 90).Draw(t, label+" states") {
				agents[rapid.IntRange(0, len(agents)-1).Draw(t, "agent")].State = rapid.SampledFrom([]State{Alive, Draining, Suspect}).Draw(t, "state")
			}
			return agents
		}
		sender, verifier := view("sender"), view("verifier")
		q := testRequest(fmt.Sprint(rapid.Uint64().Draw(t, "id")))
		options := Default()
		options.Region = "region-1"
		targets := newChooser(options, func() []Agent { return verifier }).lookupTargets(q)
		// The sender does not know the agents with the highest scores, so that
		// each of them is replaced by a candidate with a lower score.
		unknown, perRegion := map[string]bool{}, map[string]int{}
		for _, a := range rendezvousOrder(targets, q.Identity) {
			if perRegion[a.Region]++; perRegion[a.Region] <= options.ExtraLookupTargets {
				unknown[a.Name] = true
			}
		}
		var known []Agent
		for _, a := range sender {
			if !unknown[a.Name] {
				known = append(known, a)
			}
		}
		targetNames := map[string]bool{}
		for _, a := range targets {
			targetNames[a.Name] = true
		}
		tried := map[string]bool{}
		ch := newChooser(options, func() []Agent { return known })
		for a, ok := ch.choose(q, anyAgent); ok; a, ok = ch.choose(q, func(a Agent, _ tier) bool { return !tried[a.Name] }) {
			tried[a.Name] = true
			if !targetNames[a.Name] {
				t.Fatalf("%s is not asked", a.Name)
			}
		}
	})
}

// Guards against a NotRun answer for a request that an agent has claimed on the
// log, if the journal of this process is behind the log and the agent that ran the
// request has left.
func TestBarrierShowsAClaim(t *testing.T) {
	q := testRequest("tally")
	claimed := journal.RequestClaimed{Identity: q.Identity, Deadline: q.Deadline}
	finished := journal.RequestFinished{Identity: q.Identity, Outcome: request.Done, Body: []byte("once")}
	tests := map[string]struct {
		records      []journal.Record
		barrierFails bool
		want         request.Outcome
	}{
		"claimed":      {records: []journal.Record{claimed}, want: request.Unknown},
		"finished":     {records: []journal.Record{claimed, finished}, want: request.Done},
		"nothing":      {records: []journal.Record{journal.Barrier{}}, want: request.NotRun},
		"log is down":  {barrierFails: true, want: request.Unknown},
		"other claims": {records: []journal.Record{journal.RequestClaimed{Identity: testRequest("other").Identity}}, want: request.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agents := startAgents(t, &refusingAgent{}, 1, 3)
			j := journal.New()
			options := noRetryOptions()
			barrier := func(context.Context) error {
				if tt.barrierFails {
					return errors.New("the log is down")
				}
				payload, err := journal.Encode("gone@1", 1, time.Now(), tt.records...)
				if err != nil {
					return err
				}
				return j.Apply(1, platformlog.Page{Entries: []platformlog.Entry{{Offset: 1, Payload: payload}}, Next: 2})
			}
			client := New(options, func() []Agent { return agents }, j, barrier, nil)
			defer client.Close()
			c.Assert(client.Run(t.Context(), q).Outcome, qt.Equals, tt.want)
			c.Assert(client.Counters.MissedBarriers.Value() == 1, qt.Equals, tt.barrierFails)
		})
	}
}

// movingAgent refuses all requests, and has just refused another submission of
// each identity, which its entry may send to another agent.
type movingAgent struct{ refusingAgent }

func (a *movingAgent) Lookup(_ context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.NotRun), Retryable: true, Found: true, Checksum: emptyChecksum}, nil
}

// Guards against a NotRun answer for a request that another entry is moving from
// an agent that refuses it to one that runs it.
func TestRefusalWhileAnotherEntryMovesTheRequest(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(wire.NewAgentServer(&movingAgent{}))
	t.Cleanup(s.Close)
	target := testAgent("agent", "region-0", "dc-0", Alive)
	target.Address = netip.MustParseAddrPort(s.Listener.Addr().String())
	barrier := func(context.Context) error { return nil }
	client := New(noRetryOptions(), func() []Agent { return []Agent{target} }, journal.New(), barrier, nil)
	defer client.Close()
	answer := client.Run(t.Context(), testRequest("tally"))
	c.Assert(answer.Outcome, qt.Equals, request.Unknown, qt.Commentf("%s", answer.Reason))
}
