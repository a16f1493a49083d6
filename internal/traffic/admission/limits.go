package admission

import (
	"math"
	"syscall"
	"time"
)

// Defaults of the limits. docs/settings.md gives their reasons.
const (
	DefaultMaxBodyBytes   = 256 << 10
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	// MaxHeaderFields bounds the fields of a header, because each of them takes more
	// than a hundred bytes once it is parsed.
	MaxHeaderFields = 128
	// BodyTimeout bounds the time between a header and the end of its body.
	BodyTimeout = 10 * time.Second
	// AnswerTimeout bounds the time for which a client may leave its answer unread.
	AnswerTimeout = 10 * time.Second
)

// Limits are what each client of a door has to keep to. They may change while the
// door is open. Zero values stand for the defaults.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64         // MaxHeaderBytes bounds the request line and the fields of a request.
	HeaderTimeout  time.Duration // HeaderTimeout bounds the time until a header is complete.
	IdleTimeout    time.Duration // IdleTimeout bounds the time between two requests of a connection.
}

// orDefaults returns the limits with defaults for values that are not above 0.
func (l Limits) orDefaults() Limits {
	return Limits{
		MaxBodyBytes: positiveOr(l.MaxBodyBytes, DefaultMaxBodyBytes), MaxHeaderBytes: positiveOr(l.MaxHeaderBytes, DefaultMaxHeaderBytes),
		HeaderTimeout: positiveOr(l.HeaderTimeout, DefaultHeaderTimeout), IdleTimeout: positiveOr(l.IdleTimeout, DefaultIdleTimeout),
	}
}

func positiveOr[T int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

const (
	// defaultMemory is the memory of a process without a limit.
	defaultMemory = 256 << 20
	// defaultDescriptors is the number of descriptors of a process without a limit.
	defaultDescriptors = 4096
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// minSockets is the least number of sockets that are shared out.
	minSockets = 32
)

// Machine is what a process may use. Zero values stand for the defaults.
type Machine struct {
	Memory      int64 // Memory is in bytes.
	Descriptors int
}

// NewMachine returns what a process with these limits may use. The limit of the
// operating system counts as well if it is lower.
func NewMachine(memoryMB, maxDescriptors int) Machine {
	m := Machine{Memory: int64(memoryMB) << 20, Descriptors: maxDescriptors}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if m.Descriptors <= 0 || int(limit.Cur) < m.Descriptors {
			m.Descriptors = int(limit.Cur)
		}
	}
	return m
}

// Share is the part of a machine that a door may use. The shares of the doors of a
// process sum to less than the machine, so that the store, the coordinator and each
// of the other doors always have room.
type Share struct {
	Connections float64 // Connections is the part of the memory that connections may take.
	Bodies      float64 // Bodies is the part of the memory that bodies may take beyond the room of their connections.
	Sockets     float64 // Sockets is the part of the descriptors.
	// SocketBuffer is the size of each of the two kernel buffers of a connection. The
	// kernel would let them grow to megabytes while nobody reads.
	SocketBuffer int
}

// The shares of the doors of a process.
var (
	// ClientShare is for callers. It serves 588 connections in 184 MB.
	ClientShare = Share{Connections: 0.3, Bodies: 1. / 8, Sockets: 1. / 2, SocketBuffer: 16 << 10}
	// InternalShare is for calls among the processes of the system.
	InternalShare = Share{Connections: 0.1, Bodies: 1. / 16, Sockets: 1. / 8, SocketBuffer: 64 << 10}
	// HeartbeatShare is for the minion on the same host.
	HeartbeatShare = Share{Connections: 0.03, Bodies: 1. / 64, Sockets: 1. / 16, SocketBuffer: 16 << 10}
	// OperatorShare is for the readiness check and for metrics, which have no bodies.
	OperatorShare = Share{Connections: 0.03, Sockets: 1. / 16, SocketBuffer: 16 << 10}
)

const (
	// connectionBytes is the memory of a connection beside its header: stacks, the
	// buffers of the server and the kernel, and a body of smallBodyBytes.
	connectionBytes = 64 << 10
	// smallBodyBytes is the size up to which a body needs no shared room, so that
	// ordinary calls don't compete with large bodies.
	smallBodyBytes = 8 << 10
	// copies is how often a part of a header or body is in memory: the buffer that it
	// was read to and the next larger one, or the fields parsed from it.
	copies = 2
)

// room is how much a door holds at a time.
type room struct {
	connections int
	bodyBytes   int64
}

// roomOf returns the room that a share of a machine gives under the limits.
func roomOf(m Machine, s Share, l Limits) room {
	m.Memory = positiveOr(m.Memory, defaultMemory)
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	sockets := float64(max(m.Descriptors-reservedDescriptors, minSockets))
	perConnection := connectionBytes + copies*l.MaxHeaderBytes
	return room{
		connections: max(1, min(int(s.Connections*float64(m.Memory)/float64(perConnection)), int(s.Sockets*sockets))),
		bodyBytes:   int64(s.Bodies * float64(m.Memory)),
	}
}
