package agent

import (
	"net/netip"
	"time"

	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/queue"
)

// Options are the settings and limits of an agent.
type Options struct {
	Name         string         // Name of the member, which answers carry.
	Minion       netip.AddrPort // Minion is where to expect the minion; invalid until it announces itself.
	Slots        int            // Slots bounds the requests that run on the minion.
	ClaimAhead   int            // ClaimAhead bounds the requests that are claimed and do not run yet.
	Client       minion.Options
	Terms        queue.Policy  // Terms apply to organisations that the configuration does not have.
	ProbeEvery   time.Duration // ProbeEvery is also the deadline of a probe.
	ProbeFailed  int           // ProbeFailed probes in a row make the minion unavailable.
	AskAfter     time.Duration // AskAfter is how long an exchange is silent before the minion is asked by identity.
	RecordWait   time.Duration // RecordWait bounds how long an answer waits for its record.
	LookupWait   time.Duration // LookupWait bounds how long Lookup waits for a running request.
	KeepAnswers  time.Duration // KeepAnswers is how long answers are kept.
	KeepBytes    int           // KeepBytes bounds the memory for kept answers.
	MaxRecorded  int           // MaxRecorded bounds the bytes of an answer in the journal.
	ClaimBytes   int           // ClaimBytes bounds the memory for the claims of the repeat window, without answers; 0 for no bound.
	MaxDeadline  time.Duration // MaxDeadline bounds the time until a deadline.
	KnownAgents  func() uint64 // KnownAgents is the digest of the agents that this process knows; nil for none.
	JournalRetry time.Duration // JournalRetry is the pause before a record is submitted again.
}

// DefaultOptions are those of the design page.
func DefaultOptions() Options {
	return Options{
		Slots:       8,
		ClaimAhead:  16,
		Client:      minion.DefaultOptions(),
		Terms:       queue.Policy{Limit: 100, Share: 1},
		ProbeEvery:  500 * time.Millisecond,
		ProbeFailed: 3,
		AskAfter:    time.Second,
		RecordWait:  time.Second,
		LookupWait:  2 * time.Second,
		KeepAnswers: 2 * time.Minute,
		KeepBytes:   8 << 20,
		MaxRecorded: 256 << 10,
		// A quarter of the 64 MB of a daemon; 78,000 claims with ids of 13 bytes,
		// so 0.9 a second.
		ClaimBytes: 16_000_000,
		// A claim is forgotten after the repeat window of 24 h and must not be
		// started after that.
		MaxDeadline:  12 * time.Hour,
		JournalRetry: 250 * time.Millisecond,
	}
}
