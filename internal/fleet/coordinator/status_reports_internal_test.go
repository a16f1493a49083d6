package coordinator

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// slowStops counts stops and answers each once reply has a value.
type slowStops struct {
	host.Client
	count atomic.Int64
	reply chan error
}

// Stop implements host.Client.
func (s *slowStops) Stop(ctx context.Context, _ host.StopRequest) error {
	s.count.Add(1)
	select {
	case err := <-s.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a call, a goroutine and two log lines for each report with a row
// that lasts.
func TestStopsOfUnexpectedRunAreBounded(t *testing.T) {
	c := qt.New(t)
	var logs bytes.Buffer
	co := &Coordinator{}
	co.Apply(Options{})
	tm := &term{
		Coordinator: co, group: group.New(context.Background()), logger: log.NewLogfmtLogger(log.NewSyncWriter(&logs)),
		events: make(chan func(), eventBacklog), jobs: make(map[workload.ID]*jobState), hosts: make(map[string]*hostState),
	}
	client := &slowStops{reply: make(chan error)}
	h := tm.host("host")
	h.client = client
	report := func() {
		for range 20 {
			tm.handleRunning(h, []host.Run{{Task: workload.TaskID{Job: "odd"}, Number: 1}}, now())
		}
	}
	for stops := range int64(3) {
		report()
		for client.count.Load() <= stops {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
		c.Assert(client.count.Load(), qt.Equals, stops+1)
		client.reply <- host.ErrUnhealthy
		(<-tm.events)()
		report() // too early for the next one
		time.Sleep(unexpectedStopInterval)
		c.Assert(client.count.Load(), qt.Equals, stops+1)
	}
	tm.group.Stop()
	c.Assert(tm.group.Wait(), qt.IsNil)
	c.Check(bytes.Count(logs.Bytes(), []byte(`event="unexpected run"`)), qt.Equals, 1)
	c.Check(bytes.Count(logs.Bytes(), []byte("level=warn")), qt.Equals, 2)
}
