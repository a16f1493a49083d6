package gateway

import (
	"wasabihoist/internal/record/ledger"
)

// idTaken is the answer to a submission whose ID another organisation uses. Another try
// has the same result for as long as that job is kept.
var idTaken = Answer{Outcome: Refused, Reason: "the identity cannot be used"}

// claimJob returns an attempt to store a job with the claim of its organisation to the
// ID. Other entries may store claims of others at the same time, and the first one
// counts, so the answer has to wait until the ledger shows it.
func (g *Gateway) claimJob(a admission, job ledger.Record) (attempt, error) {
	claim := ledger.NewClaim(a.job, a.organisation)
	record, err := ledger.EncodeClaim(claim)
	return attempt{records: []ledger.Record{record, job}, contested: true, shown: func() (Answer, bool) {
		switch e, ok := g.state.Job(a.job); {
		case ok && e.Job.Organisation == a.organisation:
			return Answer{Outcome: Accepted}, true
		case g.state.HasLost(claim):
			return idTaken, true
		default:
			return Answer{}, false
		}
	}}, err
}
