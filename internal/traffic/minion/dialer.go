package minion

import (
	"context"
	"net"
	"sync"
)

// limitedDialer limits the open connections of both transports of a Client
// together.
type limitedDialer struct {
	dialer net.Dialer
	slots  chan struct{} // slots holds one token for each open connection.
}

func newLimitedDialer(options Options) *limitedDialer {
	return &limitedDialer{
		dialer: net.Dialer{Timeout: options.DialTimeout},
		slots:  make(chan struct{}, options.MaxConnections),
	}
}

func (d *limitedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		<-d.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-d.slots })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
