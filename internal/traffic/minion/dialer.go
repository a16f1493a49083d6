package minion

import (
	"context"
	"net"
	"sync"
)

// limitedDialer bounds the open connections of both transports together.
type limitedDialer struct {
	dialer net.Dialer
	open   chan struct{} // open holds one token for each open connection.
}

func newLimitedDialer(options Options) *limitedDialer {
	return &limitedDialer{
		dialer: net.Dialer{Timeout: options.DialTimeout},
		open:   make(chan struct{}, options.MaxConnections),
	}
}

func (d *limitedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.open <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		<-d.open
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-d.open })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
