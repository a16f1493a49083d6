package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Guards against claims that use unbounded memory, a request that runs although
// it was refused at the limit, repeats that are refused, and one organisation
// that uses up the whole limit.
func TestClaimLimit(t *testing.T) {
	c := qt.New(t)
	const limitBytes, claimsAhead, bytesPerClaim, requestCount = 4000, 1, 250, 40
	cl := newCluster(t, 2, func(o *agent.Options) { o.MaxClaimBytes, o.MaxClaimsAhead = limitBytes, claimsAhead })
	cl.publishShares(c, "serido", "cariri")
	tally := func(name string, i int) request.Request {
		q := cl.request(fmt.Sprint("tally-", i), false, 0)
		q.Identity.Organisation = name
		return q
	}
	answers := concurrently(requestCount, func(i int) request.Answer { return cl.run(cl.nodes[i%2], tally("serido", i), testTimeout) })
	done, refused := 0, 0
	for i, a := range answers {
		q := tally("serido", i)
		if a.Outcome == request.Done {
			done++
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
			assertDone(c, q, cl.run(cl.nodes[(i+1)%2], q, testTimeout))
			continue
		}
		refused++
		c.Assert(a.Outcome, qt.Equals, request.NotRun)
		c.Assert(a.Reason, qt.Matches, "too many non-idempotent requests of the last 24 h.*")
		c.Assert(a.Retryable, qt.IsFalse)
		c.Assert(cl.executions(q.Identity), qt.Equals, 0)
	}
	c.Assert(done > 0 && refused > 0, qt.IsTrue, qt.Commentf("%d done, %d refused", done, refused))
	other := tally("cariri", 0)
	assertDone(c, other, cl.run(cl.nodes[0], other, testTimeout))
	for i := range requestCount {
		cl.run(cl.nodes[i%2], tally("cariri", i), testTimeout)
	}
	all, own := cl.nodes[0].journal.ClaimBytes("cariri")
	c.Assert(own >= limitBytes/4-bytesPerClaim, qt.IsTrue, qt.Commentf("%d", own))
	c.Assert(all <= limitBytes+2*claimsAhead*bytesPerClaim, qt.IsTrue, qt.Commentf("%d", all))
	check := cl.request("check", true, 0)
	assertDone(c, check, cl.run(cl.nodes[0], check, testTimeout))
}

// publishShares publishes a configuration in which the organisations have equal
// shares, and waits until it is in force.
func (cl *cluster) publishShares(c *qt.C, names ...string) {
	c.Helper()
	record := journal.ConfigurationPublished{Plans: []organisation.Plan{{Name: "plan", Share: 1, QueueLimit: 100}}}
	for _, name := range names {
		record.Organisations = append(record.Organisations, organisation.Organisation{Name: name, Plan: "plan"})
	}
	payload, err := journal.Encode("operator@1", 1, time.Now(), record)
	c.Assert(err, qt.IsNil)
	_, err = cl.log.Append(context.Background(), payload)
	c.Assert(err, qt.IsNil)
	for _, n := range cl.nodes {
		cl.awaitTrue("the configuration is in force", func() bool { return n.journal.Configuration().Version > 0 })
	}
}
