// Package admission bounds what the clients of an HTTP server can take of its
// process: connections, memory, descriptors and time. Clients that hold the most for
// the least make room for others.
package admission

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/run/metrics"
)

// Reason is why a client was turned away.
type Reason string

// The reasons.
const (
	Displaced   Reason = "displaced"    // Displaced connections gave way to a new one.
	Full        Reason = "full"         // Full doors refuse a new connection while all others are being served.
	LargeHeader Reason = "large-header" // LargeHeader requests have too many bytes or fields before the body.
	LargeBody   Reason = "large-body"
	NoRoom      Reason = "no-room" // NoRoom is left for a body; or the body gave way to others.
	SlowHeader  Reason = "slow-header"
	SlowBody    Reason = "slow-body"
	SlowReader  Reason = "slow-reader" // SlowReader clients leave their answers unread.
	Unused      Reason = "unused"      // Unused connections were idle for too long.
)

var meanings = map[Reason]string{
	Displaced:   "Connections that were closed to make room for new ones.",
	Full:        "Connections that were closed at once because all others were being served.",
	LargeHeader: "Requests whose header had too many bytes or fields.",
	LargeBody:   "Requests whose body had too many bytes.",
	NoRoom:      "Requests that were refused because the bodies of all requests together had too many bytes.",
	SlowHeader:  "Connections that were closed because a header was not complete in time.",
	SlowBody:    "Requests whose body was not complete in time.",
	SlowReader:  "Connections that were closed because an answer was not read in time.",
	Unused:      "Connections that were closed because no request followed.",
}

// Options are the options of a door.
type Options struct {
	Name     string // Name appears in the names of metrics and in log lines, in kebab case.
	Machine  Machine
	Share    Share
	Limits   Limits
	Registry *metrics.Registry // Registry holds the counters of the reasons.
	Log      *limitedlog.Logger
}

// Door admits the clients of one server.
type Door struct{ *door }

// door is the state of a Door, shared with its connections.
type door struct {
	options  Options
	counters map[Reason]metrics.Counter

	mu          sync.Mutex
	limits      Limits // limits has no zero values.
	room        room
	connections map[*connection]struct{} // connections has room.connections elements at most, unless that was lowered.
	bodyBytes   int64                    // bodyBytes is the sum of connection.held, room.bodyBytes at most.
	bodyRoom    *semaphore.Weighted      // bodyRoom hands out room.bodyBytes in the order of requests.
	nextCheck   time.Time                // nextCheck is when check is expected to be called again; zero before the first time.
}

// New returns a door.
func New(o Options) *Door {
	d := &door{options: o, counters: make(map[Reason]metrics.Counter), connections: make(map[*connection]struct{})}
	d.bodyRoom = semaphore.NewWeighted(roomOf(o.Machine, o.Share, o.Limits.orDefaults()).bodyBytes)
	for r, meaning := range meanings {
		d.counters[r] = o.Registry.Counter("admission-"+o.Name+"-"+string(r), "clients", meaning)
	}
	o.Registry.Func(metrics.Description{
		Name: "admission-" + o.Name + "-connections", Kind: metrics.GaugeKind, Unit: "connections", Meaning: "Open connections.",
	}, func() float64 { d.mu.Lock(); defer d.mu.Unlock(); return float64(len(d.connections)) })
	o.Registry.Func(metrics.Description{
		Name: "admission-" + o.Name + "-body-bytes", Kind: metrics.GaugeKind, Unit: "bytes", Meaning: "Room that large bodies take.",
	}, func() float64 { d.mu.Lock(); defer d.mu.Unlock(); return float64(d.bodyBytes) })
	door := &Door{d}
	door.Apply(o.Limits)
	return door
}

// Apply replaces the limits. Open connections keep to the new ones.
func (d *Door) Apply(l Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = l.orDefaults()
	d.room = roomOf(d.options.Machine, d.options.Share, d.limits)
}

// Server returns a server of the handler behind the door, for connections from a
// listener that Listener returned.
func (d *Door) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: d.handler(handler),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*connection); ok && state == http.StateIdle {
				d.mu.Lock()
				c.enter(idle)
				d.mu.Unlock()
			}
		},
	}
}

// Listen listens on an address. The listener admits connections.
func (d *Door) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Connections inherit the sizes. Where they can't be set, those of the system are used.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, d.options.Share.SocketBuffer)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, d.options.Share.SocketBuffer)
		})
	}}
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return d.Listener(l), nil
}

// Listener returns a listener that admits the connections of another one.
func (d *Door) Listener(l net.Listener) net.Listener { return &listener{l, d.door} }

type listener struct {
	net.Listener
	door *door
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, door: l.door}
		if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
			c.peer = remote.AddrPort().Addr().Unmap()
		}
		if l.door.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit gives a connection a place, if need be that of another one. It reports false
// if none can be had.
func (d *door) admit(c *connection) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.connections) >= d.room.connections {
		all, occupants := d.occupants()
		i := displaced(occupants, time.Now())
		if i < 0 {
			d.count(Full, c.peer)
			return false
		}
		d.count(Displaced, all[i].peer)
		d.end(all[i])
	}
	c.enter(connected)
	d.connections[c] = struct{}{}
	return true
}

// occupants lists the connections. The caller holds d.mu.
func (d *door) occupants() ([]*connection, []occupant) {
	all, occupants := make([]*connection, 0, len(d.connections)), make([]occupant, 0, len(d.connections))
	for c := range d.connections {
		all, occupants = append(all, c), append(occupants, c.occupant)
	}
	return all, occupants
}

// end closes a connection. The caller holds d.mu.
func (d *door) end(c *connection) {
	c.leave()
	_ = c.Conn.Close()
}

// count counts and logs a client that is turned away.
func (d *door) count(r Reason, peer netip.Addr) {
	d.counters[r].Add(1)
	if r != Unused {
		d.options.Log.Warn("event", "client turned away", "endpoint", d.options.Name, "reason", r, "peer", peer)
	}
}

const (
	// minCheckInterval and maxCheckInterval bound the time between two checks.
	minCheckInterval = 500 * time.Millisecond
	maxCheckInterval = DefaultHeaderTimeout
	// maxHoldUp is how much later than expected a check may come in a process that runs.
	maxHoldUp = time.Second
)

// Run ends the connections of the doors whose phase takes too long, until ctx ends. They
// may stay up to maxCheckInterval longer, so that a quiet process rarely wakes up.
func Run(ctx context.Context, doors ...*Door) error {
	for {
		now, wait := time.Now(), maxCheckInterval
		for _, d := range doors {
			wait = min(wait, d.check(now))
		}
		wait = max(wait, minCheckInterval)
		for _, d := range doors {
			d.expectCheck(now.Add(wait))
		}
		if err := group.Pause(ctx, wait); err != nil {
			return err
		}
	}
}

func (d *door) expectCheck(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextCheck = at
}

// check ends the connections whose phase has taken too long, and returns the time until
// the next check. The time for which the process was held up doesn't count, because
// what the clients have sent meanwhile is not read yet.
func (d *door) check(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	heldUp := now.Sub(d.nextCheck)
	if d.nextCheck.IsZero() || heldUp < maxHoldUp {
		heldUp = 0
	}
	wait := d.limits.HeaderTimeout // A connection that comes meanwhile has as long.
	for c := range d.connections {
		c.since = c.since.Add(heldUp)
		left, bounded := c.timeLeft(d.limits, now)
		switch {
		case !bounded || c.ended != "":
		case left > 0:
			wait = min(wait, left)
		default:
			d.endOverdue(c)
		}
	}
	return wait
}

// endOverdue ends a connection whose phase has taken too long. The caller holds d.mu.
func (d *door) endOverdue(c *connection) {
	switch c.phase {
	case receiving:
		d.count(SlowBody, c.peer)
		c.interrupt(SlowBody) // The handler answers.
		return
	case connected, idle: // Clients open connections ahead that they may not need.
		d.count(Unused, c.peer)
	case answering, closing:
		d.count(SlowReader, c.peer)
	default:
		d.count(SlowHeader, c.peer)
	}
	d.end(c)
}

// Errors of bodies that are not read to their end. The call has had no effect.
var (
	ErrLargeBody = errors.New("the body is too large")
	ErrSlowBody  = errors.New("the body did not arrive in time")
	ErrNoRoom    = errors.New("there is no room for the body")
)

// Status returns the HTTP status for the error of a body; false if the door has not
// caused it.
func Status(err error) (int, bool) {
	switch {
	case errors.Is(err, ErrLargeBody):
		return http.StatusRequestEntityTooLarge, true
	case errors.Is(err, ErrSlowBody):
		return http.StatusRequestTimeout, true
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable, true
	default:
		return 0, false
	}
}
