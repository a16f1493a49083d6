package cmd_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/loopback"
	"wasabihoist/platform"
)

// realAgent is the agent's program as a process of its own, with a pipe as its
// standard output.
type realAgent struct {
	command *exec.Cmd
	control netip.AddrPort
	output  *os.File
	ended   chan error
}

// freePorts belongs to all tests of the run, so that no address is given twice.
var freePorts loopback.Ports

func freeAddress(c *qt.C) netip.AddrPort {
	address, err := freePorts.TakeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func startRealAgent(c *qt.C) *realAgent {
	folder := c.TempDir()
	program := filepath.Join(folder, "wasabihoist")
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	c.Assert(os.Symlink(self, program), qt.IsNil) // The test's program is the product when it has its name.
	nobody := freeAddress(c)
	a := &realAgent{control: freeAddress(c), ended: make(chan error, 1)}
	settings := platform.Settings{
		Node: "side-1", DataCentre: "one", Regions: map[string]string{"one": "one"}, IP: nobody.Addr(), Store: nobody, Minion: nobody, Control: a.control,
		Internal: freeAddress(c), Service: "app", MinContactTime: time.Second, ConfigApplyTimeout: time.Second, KeyRevocationTimeout: time.Second,
		StopGrace: time.Second, MaxLease: time.Second, TaskStopTimeout: time.Second, GangStartTimeout: time.Second, StatusRetention: time.Second, MinLeadershipTTL: time.Second,
	}
	path := filepath.Join(folder, "settings.toml")
	c.Assert(settings.Write(path), qt.IsNil)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	a.output = reader
	a.command = exec.Command(program, "hosted-agent", "--metrics-port", fmt.Sprint(freeAddress(c).Port()))
	a.command.Env = append(os.Environ(), platform.SettingsEnvironment(path))
	a.command.Stdout, a.command.Stderr = writer, os.Stderr
	c.Assert(a.command.Start(), qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	g := group.New(context.Background())
	g.Go("wait", func(context.Context) error {
		a.ended <- a.command.Wait()
		return nil
	})
	c.Cleanup(func() {
		_ = a.command.Process.Kill() // It may have ended.
		_ = g.Wait()                 // It returns no error.
		_ = reader.Close()
	})
	return a
}

// report deregisters an unknown minion, which the agent logs each time, and returns
// the status of the answer.
func (a *realAgent) report(client *http.Client) (int, error) {
	reply, err := client.Post("http://"+a.control.String()+"/v1/Instances.Deregister/m-1", "application/json", nil)
	if err != nil {
		return 0, err
	}
	return reply.StatusCode, reply.Body.Close()
}

// Guards against a process that ends, or waits, because nobody reads its log,
// and against a log without bound.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	const (
		flood = 15_000 // three times what the log keeps
		kept  = 5_000  // what the log keeps and what a pipe holds
	)
	for name, tt := range map[string]struct {
		closes  bool
		reports int
	}{
		"reader is gone":    {closes: true, reports: 50},
		"reader is stopped": {reports: flood},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a := startRealAgent(c)
			lines := bufio.NewReader(a.output)
			first, err := lines.ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Assert(first, qt.Contains, `event=started role=agent`)
			if tt.closes {
				c.Assert(a.output.Close(), qt.IsNil)
			}
			client := &http.Client{Timeout: 5 * time.Second}
			for range tt.reports {
				status, err := a.report(client)
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, http.StatusOK)
			}
			c.Assert(a.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
			if tt.closes {
				c.Check(<-a.ended, qt.IsNil)
				return
			}
			count, dropped := 0, false
			for {
				line, err := lines.ReadString('\n')
				if err != nil {
					break
				}
				count++
				dropped = dropped || strings.Contains(line, "log lines dropped")
			}
			c.Check(<-a.ended, qt.IsNil)
			c.Check(count < kept, qt.IsTrue, qt.Commentf("%d lines", count))
			c.Check(dropped, qt.IsTrue)
		})
	}
}
