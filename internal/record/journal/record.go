// Package journal keeps the facts that all processes agree on. Facts are
// records on the platform's log; every process folds them in offset order into
// the same state, and the first valid record wins.
package journal

import (
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Format is the version of the record types that this code folds. A record or
// a snapshot that needs a higher one is not folded, see docs/journal.md.
const Format = 0

// Record is one fact. The concrete types below are all there are.
type Record interface{ isRecord() }

// ConfigurationPublished replaces the configuration. It is valid only when
// Base is the version in force.
type ConfigurationPublished struct {
	Base          int64 // Base is the version that the edit was made on.
	Operator      string
	Organisations []organisation.Organisation
	Plans         []organisation.Plan
}

// JobSubmitted accepts a job. It is valid only when the identity is new.
type JobSubmitted struct{ Job job.Job }

// JobClaimed gives the writer the right to start one attempt of a job.
type JobClaimed struct {
	Identity   request.Identity
	DataCentre string
	Supersedes int64    // Supersedes is the offset of the claim it replaces; 0 when the job is queued.
	Workers    []string // Workers has one name for each member of the gang.
}

// JobRunning states that all members of an attempt run.
type JobRunning struct {
	Identity request.Identity
	Claim    int64 // Claim is the offset of the claim.
}

// JobReleased ends an attempt without an outcome of the job.
type JobReleased struct {
	Identity     request.Identity
	Claim        int64
	Reason       string
	Started      bool          // Started is false only when it is proved that no member was released to run.
	Checkpointed bool          // Checkpointed attempts continue where they stopped.
	Progress     time.Duration // Progress is the run time that the checkpoint keeps.
}

// JobEnded sets the outcome of a job.
type JobEnded struct {
	Identity request.Identity
	Claim    int64 // Claim is 0 for a job that ends while it is queued.
	Outcome  request.Outcome
	Reason   string
}

// JobCancelled asks for the end of a job.
type JobCancelled struct{ Identity request.Identity }

// RequestClaimed gives the writer the right to run a non-idempotent request.
type RequestClaimed struct {
	Identity request.Identity
	Deadline time.Time
}

// RequestFinished keeps the answer of a claimed request.
type RequestFinished struct {
	Identity request.Identity
	Outcome  request.Outcome
	Reason   string
	Body     []byte
}

// RequestAbandoned gives back a claim whose request was never started.
type RequestAbandoned struct{ Identity request.Identity }

// Audit is one entry of the audit trail.
type Audit struct {
	Actor   string
	Action  string
	Subject string
	Reason  string
	Before  string
	After   string
}

// SnapshotChunk is a part of a snapshot of the folded state.
type SnapshotChunk struct {
	Covers int64 // Covers is the first offset that the snapshot does not cover.
	Index  int   // Index is 0-based.
	Count  int   // Count is the number of chunks of the snapshot.
	State  []byte
}

// WorkerReported says whether a worker is lost, so that all schedulers divide
// the guarantees among the same workers.
type WorkerReported struct {
	Worker string
	Lost   bool
}

// Unreadable stands in the place of a record whose type or values this version
// does not know. Its sequence number and time count; it changes nothing else.
type Unreadable struct {
	Reason string // Reason says what could not be read.
}

// Barrier changes nothing. Once it is folded, earlier records of its writer
// that were not folded never will be.
type Barrier struct{}

func (ConfigurationPublished) isRecord() {}
func (JobSubmitted) isRecord()           {}
func (JobClaimed) isRecord()             {}
func (JobRunning) isRecord()             {}
func (JobReleased) isRecord()            {}
func (JobEnded) isRecord()               {}
func (JobCancelled) isRecord()           {}
func (RequestClaimed) isRecord()         {}
func (RequestFinished) isRecord()        {}
func (RequestAbandoned) isRecord()       {}
func (Audit) isRecord()                  {}
func (SnapshotChunk) isRecord()          {}
func (WorkerReported) isRecord()         {}
func (Unreadable) isRecord()             {}
func (Barrier) isRecord()                {}

// Verdict is what the fold made of a record.
type Verdict struct {
	Offset int64
	Valid  bool
	Reason string // Reason says why the record is not valid.
}

// envelope is a record with its place in the writer's sequence.
type envelope struct {
	sequence uint64
	time     time.Time
	record   Record
	needs    int32 // needs is the format that a reader must know to fold the record.
}

// batch is the content of one append.
type batch struct {
	writer  string
	records []envelope
}

// needs returns the format that a reader must know to fold the batch.
func (b batch) needs() int32 {
	highest := int32(0)
	for _, e := range b.records {
		highest = max(highest, e.needs)
	}
	return highest
}
