package cmd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a command that waits on a terminal without saying for what,
// and against progress of commands that end soon.
func TestProgress(t *testing.T) {
	request := filepath.Join(t.TempDir(), "check.json")
	body := `{"id": "check-1", "service": "s", "kind": "k", "deadline": "2099-01-02T03:04:05Z"}`
	if err := os.WriteFile(request, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args  []string
		takes time.Duration
		want  string
	}{
		"submit of a request": {[]string{"submit", "--request", request}, 2500 * time.Millisecond,
			`\ds: waiting for the answer to request check-1, until 2099-01-02T03:04:05Z\n`},
		"cancel":      {[]string{"cancel", "match-17"}, 2500 * time.Millisecond, `\ds: waiting for the answer of entry 127.0.0.1:.*\n`},
		"short calls": {[]string{"cancel", "match-17"}, 0, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tt.takes)
				_, _ = w.Write([]byte(`{"id": "x", "outcome": "done", "state": "ended"}`))
			}))
			t.Cleanup(server.Close)
			var progress bytes.Buffer
			env := environment{stdout: io.Discard, stderr: io.Discard, progress: &progress}
			args := append([]string{tt.args[0], "--entry", server.Listener.Addr().String(), "--token", "t"}, tt.args[1:]...)
			c := qt.New(t)
			c.Assert(run(context.Background(), args, env), qt.Equals, exitSuccess)
			c.Assert(progress.String(), qt.Matches, tt.want)
		})
	}
}
