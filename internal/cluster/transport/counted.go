package transport

import (
	"net"
	"sync/atomic"
)

// countedConn counts the bytes that a connection reads and writes.
type countedConn struct {
	net.Conn
	in  *atomic.Int64
	out *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

// CountListener returns a listener that adds the bytes of the connections it
// accepts to in and out. Both may be the same counter, and several listeners
// may share one.
func CountListener(l net.Listener, in, out *atomic.Int64) net.Listener {
	return &countedListener{Listener: l, in: in, out: out}
}

type countedListener struct {
	net.Listener
	in  *atomic.Int64
	out *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, in: l.in, out: l.out}, nil
}
