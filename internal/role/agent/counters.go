package agent

import "expvar"

// Counters are the request, claim and minion counters of an agent since its
// start.
type Counters struct {
	Accepted           expvar.Int // Accepted counts accepted requests, without duplicates.
	Joined             expvar.Int // Joined counts duplicates that joined a waiting or running request.
	RepeatedAnswers    expvar.Int // RepeatedAnswers counts duplicates that were answered from the answer cache or the journal.
	Refused            expvar.Int // Refused counts requests refused because of draining, a full queue, the deadline, the claim limit or an unavailable minion.
	Done               expvar.Int
	Failed             expvar.Int
	NotRun             expvar.Int // NotRun counts requests that were accepted and then answered NotRun.
	Unknown            expvar.Int
	CancelledByCallers expvar.Int // CancelledByCallers counts queued requests that were dropped because no caller waited any more.
	ClaimsWon          expvar.Int // ClaimsWon counts claims that the journal folded as the first for their identity.
	ClaimsLost         expvar.Int // ClaimsLost counts claims that came after the claim of another agent.
	ClaimLimitRefusals expvar.Int // ClaimLimitRefusals counts requests refused because of the limit of claim memory.
	UnconfirmedClaims  expvar.Int // UnconfirmedClaims counts claims whose append was not confirmed before the deadline.
	AbandonedClaims    expvar.Int // AbandonedClaims counts claims that were abandoned because the request did not run.
	RecordedLate       expvar.Int // RecordedLate counts answers that were returned before their record was folded.
	Lookups            expvar.Int // Lookups counts lookups of answers by identity at the minion.
	DiscardedReplies   expvar.Int // DiscardedReplies counts replies of the minion that were mismatched or truncated.
	MinionFailures     expvar.Int // MinionFailures counts how often the minion became unavailable.
}

// Map returns the counters under their published names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]*expvar.Int{
		"accepted": &c.Accepted, "joined": &c.Joined, "repeated": &c.RepeatedAnswers, "refused": &c.Refused,
		"done": &c.Done, "failed": &c.Failed, "not-run": &c.NotRun, "unknown": &c.Unknown,
		"callers-left": &c.CancelledByCallers, "claims": &c.ClaimsWon, "claims-lost": &c.ClaimsLost, "claims-full": &c.ClaimLimitRefusals,
		"unsettled": &c.UnconfirmedClaims, "abandoned": &c.AbandonedClaims, "recorded-late": &c.RecordedLate,
		"asked-again": &c.Lookups, "discarded": &c.DiscardedReplies, "minion-down": &c.MinionFailures,
	} {
		m.Set(name, v)
	}
	return m
}
