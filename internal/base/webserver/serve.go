// Package webserver runs HTTP servers under a context.
package webserver

import (
	"context"
	"errors"
	"net"
	"net/http"

	"wasabihoist/internal/base/group"
)

// Serve serves on the listener until ctx ends and then closes all connections.
// A server that is shut down by its owner stays until ctx ends, so that calls
// that are still open are not cut off.
func Serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	g := group.New(ctx)
	g.Go("serve", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return g.Wait()
}
