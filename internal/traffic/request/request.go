// Package request holds the domain types of requests and their answers.
package request

import (
	"fmt"
	"time"
)

// Identity names a request or a job. It is chosen by the caller and stays the
// same when the caller asks again.
type Identity struct {
	Organisation string
	ID           string // ID is unique within the organisation.
}

// String formats the identity as organisation/id.
func (i Identity) String() string { return i.Organisation + "/" + i.ID }

// Request is one short piece of work for a minion.
type Request struct {
	Identity   Identity
	Service    string
	Kind       string
	Deadline   time.Time // Deadline is absolute; work is never started after it.
	Idempotent bool      // Idempotent requests may run more than once.
	Body       []byte
}

// Outcome says what became of a request or a job.
type Outcome int

// The outcomes that a caller can see.
const (
	Pending Outcome = iota // Pending work has no outcome yet.
	Done                   // Done work ran and succeeded.
	Failed                 // Failed work ran and the back end reported a failure.
	NotRun                 // NotRun is stated only when it is proved that the work did not run.
	Unknown                // Unknown work may or may not have run.
)

var outcomeNames = map[Outcome]string{
	Pending: "pending", Done: "done", Failed: "failed", NotRun: "not-run", Unknown: "unknown",
}

// String returns the name used in the caller interface.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("outcome(%d)", int(o))
}

// ParseOutcome converts a name used in the caller interface.
func ParseOutcome(name string) (Outcome, error) {
	for o, n := range outcomeNames {
		if n == name {
			return o, nil
		}
	}
	return Pending, fmt.Errorf("unknown outcome %q", name)
}

// Answer is the result of a request.
type Answer struct {
	Identity    Identity
	Outcome     Outcome
	Reason      string // Reason explains every outcome but Done.
	Body        []byte
	Agent       string // Agent is the member that ran the request; empty when none did.
	Incarnation int64  // Incarnation of the minion that ran the request.
	Retryable   bool   // Retryable marks a NotRun answer that another agent may turn into a run.
}
