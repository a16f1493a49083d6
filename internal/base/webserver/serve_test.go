package webserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
)

// Guards against calls that are cut off because the server was closed as soon
// as its planned stop began.
func TestShutdownFinishesOpenCalls(t *testing.T) {
	c := qt.New(t)
	arrived, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	g := group.New(context.Background())
	g.Go("serve", func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	calls := group.New(context.Background())
	var body []byte
	calls.Go("call", func(context.Context) error {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
		return err
	})
	<-arrived
	calls.Go("shutdown", func(ctx context.Context) error { return server.Shutdown(ctx) })
	time.Sleep(50 * time.Millisecond) // the shutdown has begun
	close(finish)
	c.Assert(calls.Wait(), qt.IsNil)
	c.Assert(string(body), qt.Equals, "whole")
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}
