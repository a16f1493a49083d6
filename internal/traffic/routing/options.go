// Package routing chooses an agent for each request and runs the request end
// to end: it retries within a budget, checks every reply, and finds out what
// became of a request whose answer was lost.
package routing

import (
	"net/netip"
	"time"
)

// State is the state of an agent as membership reports it.
type State int

// The states of an agent. Only alive agents are chosen.
const (
	Alive State = iota
	Draining
	Suspect
	Dead
)

// Agent is a possible target of requests.
type Agent struct {
	Name       string
	Region     string
	DataCentre string
	Address    netip.AddrPort
	State      State
	Service    string
	Waiting    int       // Waiting requests in the last report.
	Running    int       // Running requests in the last report.
	ReportedAt time.Time // Reported is when the load was reported; zero means now.
}

// AgentStatus is what a client knows of an agent.
type AgentStatus struct {
	Agent        Agent
	Outstanding  int       // Outstanding requests of this client.
	Load         float64   // Load is what choices compare.
	AvoidedUntil time.Time // Avoided is until when the agent is avoided after a failure.
}

// Options are the settings and limits of a client.
type Options struct {
	Region              string // Region and DataCentre are those of this process.
	DataCentre          string
	AvoidTime           time.Duration // AvoidFor is how long an agent is avoided after a failure.
	LoadHalfLife        time.Duration // LoadHalfLife is how fast the weight of a reported load decays.
	PreferredLoadMargin float64       // StableMargin is how much more load the first of a stable pair may have.
	LinkBytesPerSecond  float64       // LinkRate is the cap on the region link in bytes per second, both ways together.
	LinkBurstBytes      float64       // LinkBurst is in bytes.
	RetryRatio          float64       // RetryShare is the number of retries that each request adds to the budget.
	RetryPerSecond      float64       // RetryPerSecond are added to the budget all the time.
	RetryBurst          float64       // RetryBurst bounds the budget.
	FreeRetries         int           // FreeMoves after proved refusals of one request are not counted in the budget.
	BaseBackoff         time.Duration // RetryPause is the longest pause before the first retry; it doubles up to MaxPause.
	MaxBackoff          time.Duration
	LookupDelay         time.Duration // AskAfter is how long an exchange is silent before the agent is asked by identity.
	LookupTimeout       time.Duration // AskTimeout bounds a question; it is longer than an agent holds one back.
	DeadlineGrace       time.Duration // Grace is how long a reply that the deadline brings about may take.
	ProveTimeout        time.Duration // ProveTimeout bounds the proof before a non-idempotent request is answered as not run: a read barrier and questions to agents.
	BarrierTimeout      time.Duration // BarrierTimeout bounds the wait for the read barrier. It is below ProveTimeout.
	CandidatesPerRegion int           // Candidates are the agents of each region to which a non-idempotent request may be sent; the same in all entries.
	ExtraLookupTargets  int           // WitnessMargin is how many more agents of each region are asked before an answer not run.
	MaxLookupTargets    int           // MaxWitnesses bounds the agents that are asked; when there are more, the answer is unknown.
	DialTimeout         time.Duration // Dial bounds the time to open a connection.
}

// DefaultOptions are those of the design page.
func DefaultOptions() Options {
	return Options{
		AvoidTime:           2 * time.Second,
		LoadHalfLife:        2 * time.Second,
		PreferredLoadMargin: 2,
		// A tenth of one direction of the link of 30 Mbit/s for each entry
		// leaves room for the other entries and for the log.
		LinkBytesPerSecond: 375_000,
		LinkBurstBytes:     1_500_000,
		RetryRatio:         0.1,
		RetryPerSecond:     3,
		RetryBurst:         30,
		FreeRetries:        2,
		BaseBackoff:        20 * time.Millisecond,
		MaxBackoff:         200 * time.Millisecond,
		LookupDelay:        time.Second,
		LookupTimeout:      2500 * time.Millisecond,
		DeadlineGrace:      200 * time.Millisecond,
		// A barrier takes about 0.1 s when the log answers.
		ProveTimeout:        time.Second,
		BarrierTimeout:      800 * time.Millisecond,
		CandidatesPerRegion: 8,
		ExtraLookupTargets:  4,
		// Five regions; a question and its answer take about 600 bytes.
		MaxLookupTargets: 60,
		DialTimeout:      time.Second,
	}
}
