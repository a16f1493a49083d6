package minionhost

import (
	"context"
	"net"
	"net/http"
)

// connection is what the stand-in knows of an open connection.
type connection struct {
	silent chan struct{} // silent is closed when the connection stops answering.
	muted  bool
}

type connectionKey struct{}

func (h *Host) connContext(ctx context.Context, c net.Conn) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := &connection{silent: make(chan struct{})}
	h.connections[c] = state
	if len(h.connections) > h.options.Connections {
		_ = c.Close()
	}
	return context.WithValue(ctx, connectionKey{}, state)
}

func (h *Host) connState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.connections, c)
}

// SilenceConnections makes all open connections stop answering for ever. New
// connections work.
func (h *Host) SilenceConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.connections {
		if !c.muted {
			c.muted = true
			close(c.silent)
		}
	}
}

// waitIfSilent blocks on a silent connection until its peer closes it.
func waitIfSilent(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	select {
	case <-c.silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}
