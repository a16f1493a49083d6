package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// maxForwards bounds how many other entries a call is forwarded to in a row. If so
	// many cannot serve it, the store is hardly reachable for any entry.
	maxForwards = 8
	// outageRefreshTimeout limits a read during a known outage. The store answers
	// within it if it is back, and other entries are asked soon if it is not.
	outageRefreshTimeout = 100 * time.Millisecond
)

// confirmConfig confirms the configuration in force at the store. If that fails, it
// returns the answer of another entry or a refusal. During a known outage other entries
// are asked early, and a forwarded call is refused at once, so that the entry that
// forwards it can ask the next one.
func (g *Gateway) confirmConfig(ctx context.Context, c *activeCall) (answer Answer, confirmed bool) {
	refusal := Answer{Outcome: Refused, Reason: "the configuration cannot be confirmed", RetryAfter: retryAfter}
	limit := refreshTimeout
	if g.configReader.Failing() {
		if c.Forwarded {
			return refusal, false
		}
		limit = outageRefreshTimeout
	}
	if g.refresh(ctx, g.configReader, limit) == nil && g.configFresh() {
		return Answer{}, true
	}
	return g.forward(ctx, c, refusal), false
}

// forward forwards a call to up to maxForwards other entries in turn, until one has a
// definite answer. It returns fallback if none has. Entries that were asked for the
// same call before are left out.
func (g *Gateway) forward(ctx context.Context, c *activeCall, fallback Answer) Answer {
	if c.Forwarded {
		return fallback
	}
	if answer := c.loadBody(ctx); answer != nil {
		return *answer
	}
	forwarded := c.Call
	peers := g.options.Peers()
	peers = peers[min(c.forwards, len(peers)):]
	for _, peer := range peers[:min(maxForwards, len(peers))] {
		if ctx.Err() != nil {
			break
		}
		c.forwards++
		if deadline, ok := ctx.Deadline(); ok {
			forwarded.Wait = time.Until(deadline)
		}
		answer, err := c.attempts.run(func() (Answer, error) { return peer.Forward(ctx, forwarded) })
		if err != nil {
			_ = level.Info(g.logger).Log("event", "forward failed", "method", c.Method, "job", jobIDFromPath(c.Path), "sent", !errors.Is(err, ErrNotSent), "reason", err)
			continue
		}
		raiseTo(&g.seenVersion, answer.Version)
		switch answer.Outcome {
		case Refused, Unavailable, Undecided:
		default:
			return answer
		}
	}
	return fallback
}
