package agent

import (
	"net/netip"
	"time"

	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/queue"
)

// Options are the settings and limits of an agent.
type Options struct {
	Name                  string         // Name is the member name that answers carry.
	MinionAddress         netip.AddrPort // MinionAddress is the address to probe before the minion announces itself; the zero value waits for an announcement.
	Slots                 int            // Slots bounds the requests that run on the minion at the same time.
	MaxClaimsAhead        int            // MaxClaimsAhead bounds the requests that are claimed or being claimed and do not run yet.
	Client                minion.Options // Client are the options of the client that calls the minion.
	DefaultPolicy         queue.Policy   // DefaultPolicy applies to organisations without a plan; its limit also applies to plans without one.
	ProbeInterval         time.Duration  // ProbeInterval is the time between two probes of the minion and the timeout of each.
	ProbeFailureThreshold int            // ProbeFailureThreshold is the number of consecutive failed probes after which the minion is unavailable.
	LookupDelay           time.Duration  // LookupDelay is the time without an answer after which the minion is asked for the answer by identity.
	MaxRecordWait         time.Duration  // MaxRecordWait bounds how long an answer waits until its record is folded.
	MaxLookupWait         time.Duration  // MaxLookupWait bounds how long Lookup waits for a request that has no answer yet.
	AnswerRetention       time.Duration  // AnswerRetention is how long answers are cached.
	MaxAnswerBytes        int            // MaxAnswerBytes bounds the memory for cached answers.
	MaxRecordedBytes      int            // MaxRecordedBytes bounds the body of an answer in the journal.
	MaxClaimBytes         int            // MaxClaimBytes bounds the memory for the claims of the repeat window, without answers; 0 means no bound.
	MaxDeadline           time.Duration  // MaxDeadline bounds how far ahead a request may set its deadline.
	KnownAgents           func() uint64  // KnownAgents returns the digest of the agents that this process knows; nil if answers carry none.
	JournalRetryDelay     time.Duration  // JournalRetryDelay is the pause before a failed append is repeated.
}

// Default returns the production options, without a name, a minion
// address and KnownAgents.
func Default() Options {
	return Options{
		Slots:                 8,
		MaxClaimsAhead:        16,
		Client:                minion.Default(),
		DefaultPolicy:         queue.Policy{Limit: 100, Share: 1},
		ProbeInterval:         500 * time.Millisecond,
		ProbeFailureThreshold: 3,
		LookupDelay:           time.Second,
		MaxRecordWait:         time.Second,
		MaxLookupWait:         2 * time.Second,
		AnswerRetention:       2 * time.Minute,
		MaxAnswerBytes:        8 << 20,
		MaxRecordedBytes:      256 << 10,
		// A quarter of the 64 MB memory budget of a process. It holds 78,000 claims
		// with ids of 13 bytes, or 0.9 claims per second over 24 h.
		MaxClaimBytes: 16_000_000,
		// A claim is forgotten after the repeat window of 24 h, and its request
		// must not start after that.
		MaxDeadline:       12 * time.Hour,
		JournalRetryDelay: 250 * time.Millisecond,
	}
}
