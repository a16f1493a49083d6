// Package settings holds what a process reads from its settings file at start.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
)

// Role is what a process does.
type Role string

// The roles of a process.
const (
	Entry         Role = "entry"
	Agent         Role = "agent"
	StandinLog    Role = "standin-log"
	StandinWorker Role = "standin-worker"
	StandinMinion Role = "standin-minion"
)

// Roles lists all roles.
func Roles() []Role { return []Role{Entry, Agent, StandinLog, StandinWorker, StandinMinion} }

// Policy names a placement policy.
type Policy string

// The placement policies.
const (
	FirstFit           Policy = "first-fit"
	BestFit            Policy = "best-fit"
	CompletionFirst    Policy = "completion-first"
	FragmentationFirst Policy = "fragmentation-first"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{FirstFit, BestFit, CompletionFirst, FragmentationFirst}
}

// Settings are the settings of one process. Of the fields named after a role,
// only the one of the process's own role is set.
type Settings struct {
	Role           Role
	Name           string // Name of the process, unique within the deployment.
	Region         string
	DataCentre     string
	ListenAddress  netip.AddrPort   // ListenAddress serves peers, or the API of a stand-in.
	MetricsAddress netip.AddrPort   // MetricsAddress serves metrics; the zero value serves none.
	LogAddress     netip.AddrPort   // LogAddress of the platform's log service; entry and agent.
	LogRegion      string           // LogRegion is the region of the log service; empty when it is the region of the process.
	Seeds          []netip.AddrPort // Seeds are listen addresses of processes through which to join; entry and agent.
	LogLevel       string           // LogLevel is debug, info, warn or error.
	Timeouts       Timeouts         // Timeouts of entry and agent.

	Entry  EntrySettings
	Agent  AgentSettings
	Log    LogSettings
	Worker WorkerSettings
	Minion MinionSettings
}

// Timeouts are shared by the roles entry and agent. All are above 0.
type Timeouts struct {
	Exchange      time.Duration // Exchange bounds one exchange between two processes.
	ProbeInterval time.Duration // ProbeInterval is the time between two membership probes.
	Suspect       time.Duration // Suspect is how long a member is suspected before it is declared dead.
	Drain         time.Duration // Drain bounds a planned stop.
}

// Token lets its bearer act for one organisation.
type Token struct {
	Organisation string
	Secret       string // Secret is unique among the tokens; it must not be logged.
}

// String leaves out the secret.
func (t Token) String() string { return fmt.Sprintf("token of %s", t.Organisation) }

// EntrySettings are those of the role entry.
type EntrySettings struct {
	CallerAddress      netip.AddrPort // CallerAddress serves callers' HTTP.
	OperatorAddress    netip.AddrPort // OperatorAddress serves operators' HTTP; the zero value serves none.
	OperatorToken      string         // OperatorToken is what operators must bear; it must not be logged.
	LinkBytesPerSecond int64          // LinkBytesPerSecond caps what this entry sends over the region link, in bytes.
	Tokens             []Token
}

// AgentSettings are those of the role agent.
type AgentSettings struct {
	Service         string         // Service that the minion serves.
	AnnounceAddress netip.AddrPort // AnnounceAddress is where the minion announces itself.
	MinionAddress   netip.AddrPort
	ClaimMemory     int64 // ClaimMemory bounds the memory for claims of non-idempotent requests, in bytes.
	Slots           int   // Slots is the number of requests that the minion runs at the same time.
	Connections     int   // Connections bounds open connections to the minion.
	LeaseWorkers    int   // LeaseWorkers is the number of workers for one lease holder, at least 1.
	Policy          Policy
	Weights         placement.Weights // Weights of the weighted policies, each at least 0.
	Workers         []worker.Worker   // Workers that the scheduler duty may use.
	Timeouts        AgentTimeouts
}

// AgentTimeouts are those of the role agent. All are above 0.
type AgentTimeouts struct {
	Lease           time.Duration // Lease is the lease time at workers, longer than LeaseRenewal.
	LeaseRenewal    time.Duration
	MinionProbe     time.Duration // MinionProbe is the time between two probes of the minion.
	GangStart       time.Duration // GangStart bounds the start of all members of a gang.
	Checkpoint      time.Duration // Checkpoint bounds a checkpoint, after which the task is stopped.
	ReservationWait time.Duration // ReservationWait bounds the wait of a starving gang for its reservation.
}

// LogSettings are those of the log stand-in.
type LogSettings struct {
	AppendsPerSecond int // AppendsPerSecond is 0 for no limit.
	MaxPayloadBytes  int
	KeepEntries      int           // KeepEntries is 0 to keep all.
	KeepFor          time.Duration // KeepFor is 0 to keep all.
}

// WorkerSettings are those of the worker stand-in.
type WorkerSettings struct {
	Rack     string
	Capacity worker.Resources
}

// MinionSettings are those of the minion stand-in.
type MinionSettings struct {
	Service         string
	AnnounceAddress netip.AddrPort // AnnounceAddress of the agent beside the minion.
	Slots           int
	RunTime         time.Duration // RunTime of each request.
}

// Default returns the settings of a role before a file is read. Names and
// addresses are not set.
func Default(role Role) Settings {
	s := Settings{Role: role, LogLevel: "info"}
	switch role {
	case Entry:
		s.Timeouts = defaultTimeouts()
		s.Entry = defaultEntry()
	case Agent:
		s.Timeouts = defaultTimeouts()
		s.Agent = defaultAgent()
	case StandinLog:
		s.Log = LogSettings{AppendsPerSecond: 400, MaxPayloadBytes: 1 << 20, KeepEntries: 200_000, KeepFor: 24 * time.Hour}
	case StandinWorker:
		s.Worker.Capacity = defaultCapacity()
	case StandinMinion:
		s.Minion = MinionSettings{Slots: 8, RunTime: 20 * time.Millisecond}
	}
	return s
}

func defaultTimeouts() Timeouts {
	return Timeouts{
		Exchange:      2 * time.Second,
		ProbeInterval: time.Second,
		Suspect:       2 * time.Second,
		Drain:         30 * time.Second,
	}
}

// The region link carries 3.75 MB/s each way and is shared by several entries,
// so the default cap of one entry is well below that.
func defaultEntry() EntrySettings {
	return EntrySettings{LinkBytesPerSecond: 500_000}
}

func defaultAgent() AgentSettings {
	return AgentSettings{
		ClaimMemory:  16 * megabyte,
		Slots:        8,
		Connections:  64,
		LeaseWorkers: 40,
		Policy:       BestFit,
		Weights:      placement.Default().Weights,
		Timeouts: AgentTimeouts{
			Lease:           10 * time.Second,
			LeaseRenewal:    3 * time.Second,
			MinionProbe:     500 * time.Millisecond,
			GangStart:       5 * time.Second,
			Checkpoint:      30 * time.Second,
			ReservationWait: 10 * time.Minute,
		},
	}
}

func defaultCapacity() worker.Resources {
	return worker.Resources{Cores: 64, Memory: 256_000 * megabyte, Accelerators: 8}
}
