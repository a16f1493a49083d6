package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/traffic/request"
)

func testChooser(agents *[]Agent) *chooser {
	options := Default()
	options.Region, options.DataCentre = "serido", "caico"
	return newChooser(options, func() []Agent { return *agents })
}

func testAgent(name, region, dataCentre string, state State) Agent {
	return Agent{Name: name, Region: region, DataCentre: dataCentre, State: state, Service: "folha-app"}
}

func anyAgent(Agent, tier) bool { return true }

// Guards against requests that leave the data centre or the region
// unnecessarily, and against the choice of agents that must not get work.
func TestNearestUsableAgent(t *testing.T) {
	near := testAgent("near", "serido", "caico", Alive)
	region := testAgent("region", "serido", "acari", Alive)
	far := testAgent("far", "cariri", "crato", Alive)
	other := testAgent("other", "serido", "caico", Alive)
	other.Service = "fitting-desk"
	tests := map[string]struct {
		agents []Agent
		failed []Agent
		want   string
	}{
		"same data centre first":     {agents: []Agent{far, region, near}, want: "near"},
		"then the region":            {agents: []Agent{far, region}, want: "region"},
		"then remote":                {agents: []Agent{far, other}, want: "far"},
		"draining left out":          {agents: []Agent{far, testAgent("d", "serido", "caico", Draining)}, want: "far"},
		"suspect left out":           {agents: []Agent{far, testAgent("s", "serido", "caico", Suspect)}, want: "far"},
		"dead left out":              {agents: []Agent{testAgent("x", "serido", "caico", Dead)}, want: ""},
		"failed avoided":             {agents: []Agent{far, region, near}, failed: []Agent{near}, want: "region"},
		"failed as the last resort":  {agents: []Agent{near}, failed: []Agent{near}, want: "near"},
		"nearest of those that fail": {agents: []Agent{far, near}, failed: []Agent{near, far}, want: "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ch := testChooser(&tt.agents)
			for _, a := range tt.failed {
				ch.recordFailure(a)
			}
			got, ok := ch.choose(request.Request{Service: "folha-app"}, anyAgent)
			c.Assert(ok, qt.Equals, tt.want != "")
			c.Assert(got.Name, qt.Equals, tt.want)
		})
	}
}

// Guards against a choice between two agents that ignores their load, and
// against an agent that stays idle because of an old load report.
func TestLeastLoadWithDecay(t *testing.T) {
	c := qt.New(t)
	busy := testAgent("busy", "serido", "caico", Alive)
	busy.Running = 8
	agents := []Agent{busy, testAgent("idle", "serido", "caico", Alive)}
	ch := testChooser(&agents)
	for range 50 {
		got, _ := ch.choose(request.Request{Service: "folha-app"}, anyAgent)
		c.Assert(got.Name, qt.Equals, "idle")
	}
	ch.addOutstanding(agents[1])
	agents[0].ReportedAt = time.Now().Add(-time.Minute)
	got, _ := ch.choose(request.Request{Service: "folha-app"}, anyAgent)
	c.Assert(got.Name, qt.Equals, "busy")
}

// Guards against repeats of an idempotent request that miss the agent which
// stores its answer, also when other agents join or leave.
func TestStableChoice(t *testing.T) {
	c := qt.New(t)
	var agents []Agent
	for i := range 11 {
		agents = append(agents, testAgent(fmt.Sprint("a", i), "serido", "caico", Alive))
	}
	ch := testChooser(&agents)
	movedCount := 0
	chosen := map[string]int{}
	for i := range 300 {
		q := request.Request{Identity: request.Identity{Organisation: "o", ID: fmt.Sprint(i)}, Service: "folha-app", Idempotent: true}
		first, _ := ch.choose(q, anyAgent)
		again, _ := ch.choose(q, anyAgent)
		c.Assert(again.Name, qt.Equals, first.Name)
		chosen[first.Name]++
		all := agents
		agents = agents[:10]
		fewer, _ := ch.choose(q, anyAgent)
		agents = all
		if fewer.Name != first.Name {
			movedCount++
			c.Assert(first.Name, qt.Equals, "a10")
		}
	}
	c.Assert(movedCount, qt.Equals, chosen["a10"])
	c.Assert(len(chosen), qt.Equals, 11)
}

// Guards against more or fewer retries than 10 % of the requests plus 3 per
// second.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	o := Default()
	now := time.Unix(1000, 0)
	b := NewRetryBudget(o.RetryRatio, o.RetryPerSecond, o.RetryBurst, now)
	for b.TryTake(now) {
	}
	retries := 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		b.AddRequest(now)
		for b.TryTake(now) {
			retries++
		}
		c.Assert(float64(retries) <= 0.1*float64(i+1)+3*float64(i+1)/1000+1, qt.IsTrue)
	}
	c.Assert(retries >= 1029, qt.IsTrue, qt.Commentf("%d", retries))
}

// Guards against traffic on the region link above its cap of 1000 bytes per
// second, both directions together: requests of 100 bytes and replies of 900 bytes.
func TestLinkCap(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := newTokenBucket(1000, 4000, now)
	sent := 0.0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if b.has(100, now) {
			b.add(-100, now)
			b.add(-900, now)
			sent += 1000
		}
	}
	c.Assert(sent <= 4000+10*1000+1000, qt.IsTrue, qt.Commentf("%f", sent))
	c.Assert(sent >= 10*1000, qt.IsTrue, qt.Commentf("%f", sent))
}
