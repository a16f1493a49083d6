package admission

import (
	"context"
	"io"
	"net"
	"time"
)

// connection is an accepted connection. The mutex of the door guards what follows it.
type connection struct {
	net.Conn
	door *door

	occupant
	header headerScan
	held   int64  // held is how much of the door's room for bodies is taken; 0 unless a call is open.
	ended  Reason // ended is why the body that arrives is not read any further; empty if it is.
	closed bool   // closed is set once the connection has left the door.
}

type connectionKey struct{}

// connectionOf returns the connection of a call, nil for a call that did not come
// through a door.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// enter begins a phase. The caller holds the door's mutex.
func (c *connection) enter(p phase) { c.phase, c.since = p, time.Now() }

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.admitHeader(p[:n]) {
		// The server answers a header that it can't read, but it has not seen this one.
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return 0, io.EOF
	}
	return n, err
}

// admitHeader measures what arrives of a header. It reports whether it is within the
// limits.
func (c *connection) admitHeader(data []byte) bool {
	d := c.door
	d.mu.Lock()
	defer d.mu.Unlock()
	switch c.phase {
	case connected, idle:
		c.header = headerScan{}
		c.enter(heading)
	case heading:
	default:
		return true
	}
	c.header.add(data)
	if !c.header.exceeds(d.limits) {
		return true
	}
	d.count(LargeHeader, c.peer)
	return false
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.door.mu.Lock()
	former := c.occupant
	c.enter(answering)
	c.door.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.door.mu.Lock()
	if c.phase == answering {
		c.occupant = former
	}
	c.door.mu.Unlock()
	return n, err
}

// CloseWrite lets the server end its side first, so that the client reads the answer.
func (c *connection) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.door.mu.Lock()
	c.leave()
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// leave gives up the place of the connection. The caller holds the door's mutex.
func (c *connection) leave() {
	if !c.closed {
		c.closed = true
		delete(c.door.connections, c)
	}
}

// interrupt ends the reading of the body, so that its handler can refuse the call. The
// caller holds the door's mutex.
func (c *connection) interrupt(r Reason) {
	c.ended = r
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. The server does not prolong a body that the
// door has ended.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	if c.ended != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}
