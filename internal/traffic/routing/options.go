// Package routing sends each request to an agent: it chooses the agent, retries
// within a budget, checks every reply, and determines the outcome of a request
// whose reply was lost.
package routing

import (
	"net/netip"
	"time"
)

// State is the state of an agent as membership reports it.
type State int

// The states of an agent. Only alive agents are chosen for requests.
const (
	Alive    State = iota
	Draining       // Draining agents finish the requests that they have and accept no new ones.
	Suspect        // Suspect agents did not answer the latest probes of membership.
	Dead           // Dead agents are declared dead by membership.
)

// Agent is a process that runs requests of one service on its minion.
type Agent struct {
	Name       string
	Region     string
	DataCentre string
	Address    netip.AddrPort
	State      State
	Service    string
	Waiting    int       // Waiting is the number of queued requests in the last report.
	Running    int       // Running is the number of running requests in the last report.
	ReportedAt time.Time // ReportedAt is when Waiting and Running were reported; zero means now.
}

// AgentStatus is the state of an agent as a client sees it.
type AgentStatus struct {
	Agent        Agent
	Outstanding  int       // Outstanding is the number of requests of this client without a reply.
	Load         float64   // Load is the outstanding requests plus the decayed reported load; choices compare it.
	AvoidedUntil time.Time // AvoidedUntil is when the agent is no longer avoided after a failure.
}

// Options are the settings and limits of a client.
type Options struct {
	Region              string // Region and DataCentre are the location of this process.
	DataCentre          string
	AvoidTime           time.Duration // AvoidTime is how long an agent is avoided after a failure.
	LoadHalfLife        time.Duration // LoadHalfLife is the time in which the weight of a reported load halves.
	PreferredLoadMargin float64       // PreferredLoadMargin is how much higher the load of the first agent in rendezvous order may be than that of the second, in requests.
	LinkBytesPerSecond  float64       // LinkBytesPerSecond is the cap on the region link, both directions together.
	LinkBurstBytes      float64       // LinkBurstBytes is the burst that the cap on the region link allows.
	RetryRatio          float64       // RetryRatio is the number of retries that each request adds to the retry budget.
	RetryPerSecond      float64       // RetryPerSecond is the number of retries that are added to the budget each second.
	RetryBurst          float64       // RetryBurst is the largest number of retries in the budget.
	FreeRetries         int           // FreeRetries is the number of retries of a request after proved refusals that are not taken from the budget.
	BaseBackoff         time.Duration // BaseBackoff, doubled for each attempt made and at most MaxBackoff, is the upper bound of the random delay before a retry.
	MaxBackoff          time.Duration
	LookupDelay         time.Duration // LookupDelay is how long an exchange waits for a reply before the agent is asked for the answer by identity.
	LookupTimeout       time.Duration // LookupTimeout bounds a lookup; it must exceed the time for which an agent waits for the outcome before it replies to a lookup.
	DeadlineGrace       time.Duration // DeadlineGrace is how long after the deadline a reply is awaited, because an agent may answer at the deadline.
	ProofTimeout        time.Duration // ProofTimeout bounds the proof that a non-idempotent request did not run: a read barrier and lookups at agents.
	BarrierTimeout      time.Duration // BarrierTimeout bounds the wait for the read barrier; it is less than ProofTimeout.
	CandidatesPerRegion int           // CandidatesPerRegion is the number of agents of each region to which a non-idempotent request may be sent; all entries must use the same number.
	ExtraLookupTargets  int           // ExtraLookupTargets is how many agents of each region beyond the candidates are asked before a request is answered as not run.
	MaxLookupTargets    int           // MaxLookupTargets bounds the agents that are asked; with more of them, the outcome is unknown.
	DialTimeout         time.Duration // DialTimeout bounds the time to open a connection.
}

// Default returns the production options, without a region and a data centre.
func Default() Options {
	return Options{
		AvoidTime:           2 * time.Second,
		LoadHalfLife:        2 * time.Second,
		PreferredLoadMargin: 2,
		// Each entry may use a tenth of one direction of the 30 Mbit/s link; the
		// rest is for the other entries and the log.
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
		// A read barrier takes about 0.1 s when the log answers.
		ProofTimeout:        time.Second,
		BarrierTimeout:      800 * time.Millisecond,
		CandidatesPerRegion: 8,
		ExtraLookupTargets:  4,
		// 12 targets in each of five regions; a lookup and its reply take about 600 bytes.
		MaxLookupTargets: 60,
		DialTimeout:      time.Second,
	}
}
