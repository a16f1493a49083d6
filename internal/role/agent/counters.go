package agent

import "expvar"

// Counters count what an agent did since its start.
type Counters struct {
	Accepted     expvar.Int // Accepted requests, without duplicates.
	Joined       expvar.Int // Joined duplicates of requests that were waiting or running.
	Repeated     expvar.Int // Repeated requests that got a kept or journaled answer.
	Refused      expvar.Int // Refused requests, by draining, full queues, deadlines or a missing minion.
	Done         expvar.Int
	Failed       expvar.Int
	NotRun       expvar.Int // NotRun requests were accepted first.
	Unknown      expvar.Int
	CallersLeft  expvar.Int // CallersLeft counts waiting requests that were dropped because nobody waited.
	Claims       expvar.Int // Claims that were folded as the first.
	ClaimsLost   expvar.Int // ClaimsLost to another agent.
	ClaimsFull   expvar.Int // ClaimsFull counts requests refused at the bound of claims.
	Unsettled    expvar.Int // Unsettled claims.
	Abandoned    expvar.Int // Abandoned claims.
	RecordedLate expvar.Int // RecordedLate answers were returned before their record was folded.
	AskedAgain   expvar.Int // AskedAgain counts questions to the minion by identity.
	Discarded    expvar.Int // Discarded answers were crossed or truncated.
	MinionDown   expvar.Int // MinionDown counts how often the minion became unavailable.
}

// Map returns the counters under their exported names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]*expvar.Int{
		"accepted": &c.Accepted, "joined": &c.Joined, "repeated": &c.Repeated, "refused": &c.Refused,
		"done": &c.Done, "failed": &c.Failed, "not-run": &c.NotRun, "unknown": &c.Unknown,
		"callers-left": &c.CallersLeft, "claims": &c.Claims, "claims-lost": &c.ClaimsLost, "claims-full": &c.ClaimsFull,
		"unsettled": &c.Unsettled, "abandoned": &c.Abandoned, "recorded-late": &c.RecordedLate,
		"asked-again": &c.AskedAgain, "discarded": &c.Discarded, "minion-down": &c.MinionDown,
	} {
		m.Set(name, v)
	}
	return m
}
