package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/platform"
)

const (
	submitPause   = 1500 * time.Millisecond // submitPause is the mean time between two jobs of a client.
	callTimeout   = 3 * time.Second
	tries         = 4
	retryPause    = 200 * time.Millisecond
	pollPause     = 250 * time.Millisecond
	cancelShare   = 0.1
	urgentShare   = 0.4
	settleTime    = 40 * time.Second // settleTime is what accepted work may take after the last fault.
	shortestTask  = 100 * time.Millisecond
	longestTask   = 1500 * time.Millisecond
	mostTasks     = 4
	keyCheckPause = 200 * time.Millisecond
	// connections is above the number of calls that a client makes at a time, so
	// that it closes none of its connections.
	connections = 64
)

// The load of the second draw has these shares besides.
const (
	impatientShare = 0.3 // impatientShare is the part of the jobs that are not handed in again once they were refused.
	gangShare      = 0.15
	mostMembers    = 4
	mostOfMember   = 2 // mostOfMember is the largest number of accelerators of a member of a gang.
	labelShare     = 0.1
	rackShare      = 0.15
	leaveEvery     = 3 // leaveEvery is how many jobs there are for each whose client leaves, and cancels it, after a try without an answer.
)

// client is one caller with a connection that it keeps using until the process
// at its other end is gone.
type client struct {
	number     int
	deployment *deployment
	oracle     *oracle
	group      *group.Group
	random     *rand.Rand
	added      *rand.Rand // added draws what the first draw lacks; nil for the first draw.
	http       *http.Client
	entry      int
	jobs       int
}

func newClient(number, draw int, seed uint64, d *deployment, g *group.Group) *client {
	c := &client{
		number: number, deployment: d, oracle: d.oracle, group: g, random: rand.New(rand.NewPCG(seed, uint64(number))),
		http: newHTTPClient(), entry: number,
	}
	if draw != FirstDraw {
		c.added = rand.New(rand.NewPCG(seed+1, uint64(number)))
	}
	return c
}

// newHTTPClient returns a client that uses open connections until the other end
// closes them.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
}

// run hands jobs in until ctx ends.
func (c *client) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.submit(ctx)
		_ = group.Pause(ctx, time.Duration(c.random.ExpFloat64()*float64(submitPause)))
	}
	return nil
}

// draw returns a job with its work at the minions.
func (c *client) draw() (workload.Job, platform.Caller) {
	c.jobs++
	j := workload.Job{ID: workload.ID(fmt.Sprintf("%04x%012x", c.number, c.jobs))}
	for s := range 1 + c.random.IntN(2) {
		took := shortestTask + time.Duration(c.random.Int64N(int64(longestTask-shortestTask)))
		step := workload.Step{
			Count: 1 + c.random.IntN(mostTasks), Estimate: took, Checkpoints: c.random.IntN(2) == 0,
			Need: workload.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1 + c.random.IntN(4)},
		}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		work := fleethost.Work{Duration: took}
		if c.added != nil {
			c.constrain(&step, &work)
		}
		work.Need = step.Need
		c.deployment.fleet.SetWork(j.ID, s, work)
		j.Steps = append(j.Steps, step)
	}
	caller := platform.Caller{Queue: ordinaryHost, Prefix: prefix, Key: callersKey, Client: c.http}
	if c.random.Float64() < urgentShare {
		caller.Queue = urgentHost
	}
	return j, caller
}

// constrain makes some steps gangs on different hosts, and binds some to a label
// or near a rack.
func (c *client) constrain(step *workload.Step, work *fleethost.Work) {
	gang, label, rack := c.added.Float64() < gangShare, c.added.Float64() < labelShare, c.added.Float64() < rackShare
	kind := machineKinds[c.added.IntN(len(machineKinds))]
	members, each := 2+c.added.IntN(mostMembers-1), 1+c.added.IntN(mostOfMember)
	if rack {
		step.DataRack = rackOf(0)
	}
	switch {
	case gang:
		step.Gang, step.Count, step.SpreadLimit, step.Need.Accelerators = true, min(members, c.deployment.hosts), 1, each
		work.Gang, work.Spread = step.Count, 1
	case label:
		step.Label, work.Label = kind, kind
	}
}

// submit hands one job in, at another entry after each try without an answer,
// and follows it. Some jobs are given up after a refusal, some are cancelled after a
// try without an answer.
func (c *client) submit(ctx context.Context) {
	j, caller := c.draw()
	cancels := c.random.Float64() < cancelShare
	impatient := c.added != nil && c.added.Float64() < impatientShare
	for range tries {
		entry := c.deployment.entries[c.entry%len(c.deployment.entries)]
		status, err := caller.Submit(ctx, entry.settings.Callers, j.ID, j.Steps)
		accepted := err == nil && status == platform.StatusAccepted
		refused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		c.oracle.submitted(j, accepted, refused)
		if accepted {
			at := time.Now()
			c.group.Go("follow "+string(j.ID), func(ctx context.Context) error {
				c.follow(ctx, caller, j, at, cancels)
				return nil
			})
			return
		}
		c.entry++
		if refused && impatient {
			return
		}
		if !refused && c.added != nil && c.jobs%leaveEvery == 0 {
			c.group.Go("leave "+string(j.ID), func(ctx context.Context) error {
				c.leave(ctx, caller, j)
				return nil
			})
			return
		}
		if group.Pause(ctx, retryPause) != nil {
			return
		}
	}
}

// follow asks for the state of a job, at one entry after the other, until it
// has ended.
func (c *client) follow(ctx context.Context, caller platform.Caller, j workload.Job, accepted time.Time, cancels bool) {
	for asked := c.number; ; asked++ {
		if group.Pause(ctx, pollPause) != nil {
			return
		}
		entry := c.deployment.entries[asked%len(c.deployment.entries)].settings.Callers
		if cancels {
			cancels = !c.cancel(ctx, caller, j, c.number)
		}
		start := time.Now()
		state, status, err := caller.State(ctx, entry, j.ID)
		switch {
		case err != nil:
		case status == platform.StatusUnknownJob:
			c.oracle.unknown(j.ID, start.Sub(accepted))
		case status == platform.StatusAccepted:
			c.oracle.shown(j.ID, state)
			if final(state) {
				return
			}
		}
	}
}

// leave cancels a job whose submission had no answer, until that is acknowledged.
func (c *client) leave(ctx context.Context, caller platform.Caller, j workload.Job) {
	for entry := c.number + 1; !c.cancel(ctx, caller, j, entry); entry++ {
		if group.Pause(ctx, pollPause) != nil {
			return
		}
	}
}

// cancel cancels a job at an entry and reports whether that was acknowledged.
func (c *client) cancel(ctx context.Context, caller platform.Caller, j workload.Job, entry int) bool {
	c.oracle.cancel(j.ID) // The call may be carried out whatever its answer is.
	callers := c.deployment.entries[entry%len(c.deployment.entries)].settings.Callers
	status, err := caller.Cancel(ctx, callers, j.ID)
	if err != nil || status != platform.StatusAccepted && status != platform.StatusUnknownJob {
		return false
	}
	c.group.Go("cancelled "+string(j.ID), func(ctx context.Context) error {
		if group.Pause(ctx, obeyTime) == nil {
			c.oracle.cancelSettled(j.ID)
		}
		return nil
	})
	return true
}

// watchKey checks that a key is refused once the time for its withdrawal has
// passed. A call is sent to every entry, in touch with the store or not.
func watchKey(ctx context.Context, d *deployment, key string, withdrawn time.Time) {
	caller := platform.Caller{Queue: ordinaryHost, Prefix: prefix, Key: key, Client: newHTTPClient()}
	if group.Pause(ctx, time.Until(withdrawn.Add(revokeTime))) != nil {
		return
	}
	const rounds = 5
	for range rounds {
		for _, p := range d.entries {
			_, status, err := caller.State(ctx, p.settings.Callers, "0123456789abcdef")
			if err == nil && (status == platform.StatusAccepted || status == platform.StatusUnknownJob) {
				d.oracle.find("%s serves a key %s after its withdrawal", p, time.Since(withdrawn).Round(time.Millisecond))
			}
		}
		if group.Pause(ctx, keyCheckPause) != nil {
			return
		}
	}
}
