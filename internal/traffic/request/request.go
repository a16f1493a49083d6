// Package request defines the domain types of requests and their answers.
package request

import (
	"fmt"
	"time"
)

// Identity identifies a request or a job. The caller chooses it and uses the same
// one when it repeats the call.
type Identity struct {
	Organisation string
	ID           string // ID is unique within the organisation.
}

// String formats the identity as organisation/id.
func (i Identity) String() string { return i.Organisation + "/" + i.ID }

// Request is one short unit of work for a minion.
type Request struct {
	Identity   Identity
	Service    string    // Service is the service of the agents that can run the request.
	Kind       string    // Kind is passed to the minion unchanged.
	Deadline   time.Time // Deadline is absolute; work is never started after it.
	Idempotent bool      // Idempotent requests may run more than once.
	Body       []byte
}

// Outcome is the result status of a request or a job.
type Outcome int

// The outcomes that a caller can see.
const (
	Pending Outcome = iota // Pending means that there is no outcome yet.
	Done                   // Done means that the work ran and succeeded.
	Failed                 // Failed means that the work ran and the back end reported a failure.
	NotRun                 // NotRun is used only if it is proved that the work did not run.
	Unknown                // Unknown means that the work may or may not have run.
)

var outcomeNames = map[Outcome]string{
	Pending: "pending", Done: "done", Failed: "failed", NotRun: "not-run", Unknown: "unknown",
}

// String returns the name of the outcome that the API for callers uses.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("outcome(%d)", int(o))
}

// ParseOutcome returns the outcome whose String is name.
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
	Reason      string // Reason explains every outcome except Done.
	Body        []byte
	Agent       string // Agent is the name of the agent that ran the request; empty if none did.
	Incarnation int64  // Incarnation identifies the start of the minion process that ran the request.
	Retryable   bool   // Retryable is set on a NotRun answer if another agent may be able to run the request.
}
