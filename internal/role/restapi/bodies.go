// Package restapi defines the JSON bodies of the HTTP APIs for callers and
// operators, and a client of both. docs/api.md describes the APIs.
package restapi

import "time"

// Request is the body by which a caller submits a request to a service.
type Request struct {
	ID         string    `json:"id"` // ID is unique within the organisation.
	Service    string    `json:"service"`
	Kind       string    `json:"kind"`       // Kind is one that the organisation's plan allows.
	Deadline   time.Time `json:"deadline"`   // Deadline is absolute; the request never starts after it.
	Idempotent bool      `json:"idempotent"` // Idempotent requests may run more than once.
	Body       []byte    `json:"body"`
}

// Job is the body by which a caller submits a gang job.
type Job struct {
	ID             string    `json:"id"`
	Kind           string    `json:"kind"` // Kind is one that the organisation's plan allows.
	Members        int       `json:"members"`
	Accelerators   int       `json:"accelerators-per-member"`
	Adjacency      string    `json:"adjacency"` // Adjacency is worker, rack or data-centre: where all accelerators of the job must be.
	Cores          float64   `json:"cores-per-member"`
	MemoryMB       int64     `json:"memory-per-member-mb"`
	RunTimeSeconds float64   `json:"run-time-s"`
	Deadline       time.Time `json:"deadline"` // Deadline is absolute.
	Idempotent     bool      `json:"idempotent"`
	Urgent         bool      `json:"urgent"`
	DataCentre     string    `json:"data-centre"` // DataCentre is the preferred one; empty for no preference.
}

// Answer is the answer to a request.
type Answer struct {
	ID      string `json:"id,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// JobStatus is the status of a job. A refused job has no state.
type JobStatus struct {
	ID         string   `json:"id"`
	State      string   `json:"state,omitempty"`
	Outcome    string   `json:"outcome"`
	Reason     string   `json:"reason,omitempty"`
	DataCentre string   `json:"data-centre,omitempty"`
	Workers    []string `json:"workers,omitempty"` // Workers has one name for each member of the gang.
	Attempt    int      `json:"attempt"`           // Attempt counts the claims of the job.
}

// Explanation says why a job waits, as texts for people, and lists its history.
type Explanation struct {
	ID           string         `json:"id"`
	State        string         `json:"state"`
	WaitsFor     string         `json:"waits-for,omitempty"`
	BlockedBy    string         `json:"blocked-by,omitempty"`
	WouldStartIf string         `json:"would-start-if,omitempty"`
	History      []HistoryEntry `json:"history,omitempty"` // History starts with the oldest entry.
}

// HistoryEntry is one event in the history of a job.
type HistoryEntry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Action string    `json:"action"`
	Reason string    `json:"reason"`
	After  string    `json:"after,omitempty"` // After is what the event led to, such as workers or an outcome.
}

// Finding is one problem in an input, with its position in a file.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// Problem is the answer to a call that failed.
type Problem struct {
	Error    string    `json:"error"`
	Findings []Finding `json:"findings,omitempty"`
}

// Configuration is the configuration in force, as the text of two TOML files.
type Configuration struct {
	Version    int64  `json:"version"`
	Plans      string `json:"plans"`
	Allowances string `json:"allowances"`
}

// PublishRequest replaces the plans and the allowances, both TOML, if the
// configuration in force still has the base version.
type PublishRequest struct {
	BaseVersion    int64  `json:"base"`
	Operator       string `json:"operator"`
	PlansPath      string `json:"plans-path"`
	Plans          string `json:"plans"`
	AllowancesPath string `json:"allowances-path"`
	Allowances     string `json:"allowances"`
}

// PublishReply holds the version that the published configuration has, and what
// it changed.
type PublishReply struct {
	Version int64    `json:"version"`
	Changes []string `json:"changes"`
}

// Conflict is the answer to a PublishRequest whose base version is outdated: the
// version in force, and what the request would change in it.
type Conflict struct {
	Error   string   `json:"error"`
	Version int64    `json:"version"`
	Changes []string `json:"changes"`
}

// Member is a process of the cluster.
type Member struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Region     string `json:"region"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Waiting    int    `json:"waiting"`
	Running    int    `json:"running"`
}

// Worker is the capacity and the state of a worker.
type Worker struct {
	Name         string  `json:"name"`
	Rack         string  `json:"rack"`
	State        string  `json:"state"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory-mb"`
	Accelerators int     `json:"accelerators"`
}

// DataCentre is the state of the fleet in one data centre.
type DataCentre struct {
	Name             string   `json:"name"`
	Scheduler        string   `json:"scheduler"` // Scheduler identifies the agent that runs the scheduler.
	FreeAccelerators int      `json:"free-accelerators"`
	LargestGang      int      `json:"largest-gang"`  // LargestGang is the number of accelerators of the largest gang that fits within one rack now.
	Fragmentation    float64  `json:"fragmentation"` // Fragmentation is 1 - LargestGang/FreeAccelerators; 0 when none is free.
	Waiting          int      `json:"waiting"`
	Running          int      `json:"running"`
	Workers          []Worker `json:"workers"`
}

// OperatorJob is the status of a job with its organisation, for operators.
type OperatorJob struct {
	Organisation string `json:"organisation"`
	JobStatus
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	Offset  int64     `json:"offset"`
	Time    time.Time `json:"time"`
	Actor   string    `json:"actor"`
	Action  string    `json:"action"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
	Before  string    `json:"before,omitempty"`
	After   string    `json:"after,omitempty"`
}
