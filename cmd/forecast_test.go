package cmd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
	"wasabihoist/platform"
)

// Guards against a forecast that does not find the coordinator, or that does not say
// why there is none.
func TestForecastOfAnEntry(t *testing.T) {
	c := qt.New(t)
	store := fleetstore.New()
	configuration, err := platform.EncodeConfiguration(&catalogue.Catalogue{
		Version: 1, Queues: []catalogue.Queue{{Name: "q", Host: "desk.example", PathPrefix: "/match/", Service: "app", Attempts: 1, Stretch: 2, Objective: time.Second}},
		Organisations: []catalogue.Organisation{{Name: "o", Keys: []string{"secret"}}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(store.Append(context.Background(), platform.OperatorTopic, []ledger.Record{{Key: platform.ConfigurationKey, Value: configuration}}), qt.IsNil)
	server := httptest.NewServer(platform.StoreHandler(store))
	c.Cleanup(server.Close)
	entry := startRealEntry(c, netip.MustParseAddrPort(server.Listener.Addr().String()))
	job := filepath.Join(entry.folder, "job.json")
	c.Assert(os.WriteFile(job, []byte(`{"spec":"s","steps":[{"count":2,"cpu":100,"memMb":1,"gpu":1,"estimateMs":100}]}`), 0o600), qt.IsNil)

	output := entry.forecast(c, "secret", job)
	c.Check(output, qt.Contains, "waits for room")
	c.Check(output, qt.Matches, `(?s).*rank +urgent.*waiting tasks +2.*`)
	c.Check(entry.forecast(c, "unknown", job), qt.Contains, "unauthorised: the key is not known")
}

// realEntry is the entry's program as a process of its own.
type realEntry struct {
	folder   string
	program  string
	settings string // settings is the path of its settings file.
}

// startRealEntry starts an entry and waits until it is ready.
func startRealEntry(c *qt.C, store netip.AddrPort) realEntry {
	folder := c.TempDir()
	e := realEntry{folder, filepath.Join(folder, "wasabihoist"), filepath.Join(folder, "settings.toml")}
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	c.Assert(os.Symlink(self, e.program), qt.IsNil)
	ready := freeAddress(c)
	settings := platform.Settings{
		Node: "front-1", DataCentre: "one", Regions: map[string]string{"one": "one"}, IP: ready.Addr(), Store: store, Ready: ready, Callers: freeAddress(c),
		Internal: freeAddress(c), MinContactTime: time.Second, ConfigApplyTimeout: time.Second, KeyRevocationTimeout: 5 * time.Second,
		StopGrace: time.Second, MaxLease: time.Second, TaskStopTimeout: time.Second, GangStartTimeout: time.Second, StatusRetention: time.Second, MinLeadershipTTL: time.Second,
	}
	c.Assert(settings.Write(e.settings), qt.IsNil)
	command := exec.Command(e.program, "hosted-entry", "--metrics-port", "0")
	command.Env = append(os.Environ(), platform.SettingsEnvironment(e.settings))
	command.Stderr = os.Stderr
	c.Assert(command.Start(), qt.IsNil)
	g := group.New(context.Background())
	g.Go("wait", func(context.Context) error { return command.Wait() })
	c.Cleanup(func() {
		_ = command.Process.Kill() // It may have ended.
		_ = g.Wait()               // It was killed.
	})
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the entry is not ready"))
		if reply, err := client.Get("http://" + ready.String() + "/v1/ready"); err == nil {
			_ = reply.Body.Close()
			if reply.StatusCode == http.StatusOK {
				return e
			}
		}
	}
}

// forecast runs the command until a coordinator leads, and returns its output.
func (e realEntry) forecast(c *qt.C, key, job string) string {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		command := exec.Command(e.program, "forecast", "--host", "desk.example", "--path", "/match/5c0e7a21d94b36f8", "--key", key, job)
		command.Env = append(os.Environ(), platform.SettingsEnvironment(e.settings))
		output, err := command.CombinedOutput()
		if err == nil || !strings.Contains(string(output), "lead") || time.Now().After(deadline) {
			return string(output)
		}
	}
}
