package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

// ErrSpent is returned for a call on a transport whose only connection is gone
// or in use. Nothing was sent.
var ErrSpent = errors.New("the only connection is gone or in use")

// Once lets a transport dial a single connection, so that all calls reach the
// process that has answered the first one, or none.
func Once(t *http.Transport) *http.Transport {
	dial := t.DialContext
	var dialled atomic.Bool
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled.Swap(true) {
			return nil, ErrSpent
		}
		return dial(ctx, network, address)
	}
	return t
}
