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

// fullAgent refuses all work and knows no request.
type fullAgent struct{ questions atomic.Int64 }

func (a *fullAgent) Run(_ context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.NotRun), Reason: "full", Retryable: true, Checksum: emptyChecksum}, nil
}

func (a *fullAgent) Lookup(_ context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	a.questions.Add(1)
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.Pending), Checksum: emptyChecksum}, nil
}

const emptyChecksum = 0xef46db3751d8e999 // xxhash of nothing.

// fleet returns agents in several regions that share one server.
func fleet(t *testing.T, server *fullAgent, regions, each int) []Agent {
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

// impatient options leave time for a proof, and none for retries.
func impatient() Options {
	options := DefaultOptions()
	options.Region, options.ProveTimeout = "region-0", 10*time.Second
	options.RetryBurst, options.RetryPerSecond = 0, 0
	return options
}

func tally(id string) request.Request {
	return request.Request{
		Identity: request.Identity{Organisation: "serido", ID: id}, Service: "folha-app", Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against a refusal that costs a message for each agent of the fleet,
// and against an answer not run when there are too many agents to ask.
func TestQuestionsAreBounded(t *testing.T) {
	tests := map[string]struct {
		regions, each int
		want          request.Outcome
		questions     int64
	}{
		"today":        {regions: 2, each: 5, want: request.NotRun, questions: 10},
		"planned size": {regions: 4, each: 1550, want: request.NotRun, questions: 48},
		"too many":     {regions: 6, each: 100, want: request.Unknown, questions: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &fullAgent{}
			agents := fleet(t, server, tt.regions, tt.each)
			options := impatient()
			current := func(context.Context) error { return nil }
			client := New(options, func() []Agent { return agents }, journal.New(), current, nil)
			defer client.Close()
			answer := client.Run(t.Context(), tally("tally"))
			c.Assert(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%s", answer.Reason))
			c.Assert(server.questions.Load(), qt.Equals, tt.questions)
			c.Assert(client.Counters.Lookups.Value(), qt.Equals, tt.questions)
		})
	}
}

// Guards against a request that another entry has sent to an agent which is
// not asked, while the entries differ in the states of agents and in a few
// agents that one of them does not know.
func TestWitnessesIncludeTheChoicesOfOthers(t *testing.T) {
	all := fleet(t, &fullAgent{}, 3, 60)
	rapid.Check(t, func(t *rapid.T) {
		view := func(label string) []Agent {
			agents := append([]Agent{}, all...)
			for range rapid.IntRange(0, 90).Draw(t, label+" states") {
				agents[rapid.IntRange(0, len(agents)-1).Draw(t, "agent")].State = rapid.SampledFrom([]State{Alive, Draining, Suspect}).Draw(t, "state")
			}
			return agents
		}
		sender, asker := view("sender"), view("asker")
		q := tally(fmt.Sprint(rapid.Uint64().Draw(t, "id")))
		options := DefaultOptions()
		options.Region = "region-1"
		asked := newChooser(options, func() []Agent { return asker }).witnesses(q)
		// The agents that the sender does not know have the highest scores, so
		// that each one lets another agent in.
		unknown, perRegion := map[string]bool{}, map[string]int{}
		for _, a := range rendezvous(asked, q.Identity) {
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
		names := map[string]bool{}
		for _, a := range asked {
			names[a.Name] = true
		}
		tried := map[string]bool{}
		ch := newChooser(options, func() []Agent { return known })
		for a, ok := ch.choose(q, everyone); ok; a, ok = ch.choose(q, func(a Agent, _ tier) bool { return !tried[a.Name] }) {
			tried[a.Name] = true
			if !names[a.Name] {
				t.Fatalf("%s is not asked", a.Name)
			}
		}
	})
}

// Guards against an answer not run for a request whose claim is on the log,
// when this process is behind the log and the agent that ran it is gone.
func TestBarrierShowsAClaim(t *testing.T) {
	q := tally("tally")
	claimed := journal.RequestClaimed{Identity: q.Identity, Deadline: q.Deadline}
	finished := journal.RequestFinished{Identity: q.Identity, Outcome: request.Done, Body: []byte("once")}
	tests := map[string]struct {
		records []journal.Record
		fails   bool
		want    request.Outcome
	}{
		"claimed":      {records: []journal.Record{claimed}, want: request.Unknown},
		"finished":     {records: []journal.Record{claimed, finished}, want: request.Done},
		"nothing":      {records: []journal.Record{journal.Barrier{}}, want: request.NotRun},
		"log is down":  {fails: true, want: request.Unknown},
		"other claims": {records: []journal.Record{journal.RequestClaimed{Identity: tally("other").Identity}}, want: request.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agents := fleet(t, &fullAgent{}, 1, 3)
			j := journal.New()
			options := impatient()
			barrier := func(context.Context) error {
				if tt.fails {
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
			c.Assert(client.Counters.MissedBarriers.Value() == 1, qt.Equals, tt.fails)
		})
	}
}
