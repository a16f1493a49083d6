package metrics

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/base/group"
)

// Limits of the listener, which keep a slow or broken client from holding
// memory and connections.
const (
	headerTimeout   = 2 * time.Second
	exchangeTimeout = 5 * time.Second
	idleTimeout     = 30 * time.Second
	shutdownTimeout = time.Second
	maxHeaderBytes  = 8 << 10
)

// Listen binds the metrics address, so that a failure to bind stops the
// process at its start.
func Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	return l, nil
}

// Serve answers on the listener until ctx is done, and closes it. It returns
// nil after a planned stop.
func (r *Registry) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       exchangeTimeout,
		WriteTimeout:      exchangeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g := group.New(ctx)
	g.Go("serve metrics", func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go("stop metrics", func(ctx context.Context) error {
		<-ctx.Done()
		return shutdown(server)
	})
	return g.Wait()
}

// shutdown closes connections that are still open after the timeout.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// Handler serves GET /debug/vars (the figures, in the format of expvar) and
// GET /debug/descriptions (their documentation).
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/descriptions", r.handleDescriptions)
	return mux
}

type descriptionJSON struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Unit    string `json:"unit"`
	Meaning string `json:"meaning"`
}

func (r *Registry) handleDescriptions(w http.ResponseWriter, _ *http.Request) {
	list := []descriptionJSON{}
	for _, d := range r.Descriptions() {
		list = append(list, descriptionJSON{Name: d.Name, Kind: string(d.Kind), Unit: d.Unit, Meaning: d.Meaning})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
