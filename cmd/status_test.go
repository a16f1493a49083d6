package cmd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type reply func(w http.ResponseWriter, r *http.Request)

func answered(status int, body string) reply {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// Guards against a wait that ends because its entry is replaced, its
// connection breaks or falls silent, and against one that goes on although no
// entry has ever answered or the job is not known.
func TestWaitGoesOnWithoutItsEntry(t *testing.T) {
	running := answered(http.StatusAccepted, `{"id": "match-17", "state": "running"}`)
	done := answered(http.StatusOK, `{"id": "match-17", "state": "ended", "outcome": "done"}`)
	unavailable := answered(http.StatusServiceUnavailable, `{"error": "starting"}`)
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := map[string]struct {
		replies []reply
		fails   bool
		calls   int32
	}{
		"entry replaced":          {[]reply{running, broken, unavailable, done}, false, 4},
		"connection falls silent": {[]reply{running, silent, done}, false, 3},
		"never answered":          {[]reply{unavailable, done}, true, 1},
		"job not known":           {[]reply{running, answered(http.StatusNotFound, `{"error": "no such job"}`), done}, true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				tt.replies[calls.Add(1)-1](w, r)
			}))
			t.Cleanup(server.Close)
			wait := &waitCommand{Timeout: time.Minute, step: 10 * time.Millisecond}
			wait.Entry, wait.Token, wait.Args.ID = server.Listener.Addr().String(), "t", "match-17"
			var out bytes.Buffer
			err := wait.Run(context.Background(), environment{stdout: &out, stderr: io.Discard})
			c.Check(err != nil, qt.Equals, tt.fails, qt.Commentf("%v", err))
			c.Check(calls.Load(), qt.Equals, tt.calls)
		})
	}
}
