package faultbench

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

// class is a sort of work that a fault may hit differently.
type class int

const (
	idempotentRequest class = iota
	singleRequest           // singleRequest is a non-idempotent request.
	gangJob
	classes
)

const (
	requestEvery    = 20 * time.Millisecond
	jobEvery        = 400 * time.Millisecond
	requestDeadline = 3 * time.Second
	askAgainFor     = 4 * time.Second // askAgainFor is how long after the deadline a caller asks again.
	askAgainPause   = 100 * time.Millisecond
	jobPatience     = 30 * time.Second
	workTime        = 15 * time.Millisecond
	jobRunTime      = 0.3 // in seconds
)

// item is one piece of work as its caller saw it.
type item struct {
	class     class
	id        request.Identity
	submitted time.Time
	finished  time.Time
	outcome   string
	accepted  bool // accepted is false for work that was refused as not run.
	answered  bool // answered is false when no outcome could be learned.
	whole     bool // whole is false when the body was not the answer to this request.
}

// load submits work all the time and keeps what became of it.
type load struct {
	cluster *embedded.Cluster
	group   *group.Group
	prefix  string
	kinds   [classes]submission

	mu    sync.Mutex
	items []item
}

// submission names the organisation and kind of a class of work.
type submission struct {
	organisation string
	kind         string
}

func (l *load) add(i item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, i)
}

func (l *load) all() []item {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]item(nil), l.items...)
}

// firstDone returns when the first piece of work of a class that was submitted
// after a time was done.
func (l *load) firstDone(c class, after time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, i := range l.items {
		if i.class != c || i.outcome != "done" || i.submitted.Before(after) {
			continue
		}
		if first.IsZero() || i.finished.Before(first) {
			first = i.finished
		}
	}
	return first, !first.IsZero()
}

// run submits until ctx ends and then waits for all answers.
func (l *load) run(ctx context.Context) error {
	requests := time.NewTicker(requestEvery)
	defer requests.Stop()
	jobs := time.NewTicker(jobEvery)
	defer jobs.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-requests.C:
			c := class(n % int(gangJob))
			l.start(n, func(work context.Context) { l.runRequest(work, c, n) })
		case <-jobs.C:
			l.start(n, func(work context.Context) { l.runJob(work, n) })
		}
	}
}

func (l *load) start(n int, work func(context.Context)) {
	l.group.Go(fmt.Sprintf("caller %d", n), func(ctx context.Context) error {
		work(ctx)
		return nil
	})
}

func (l *load) newItem(c class, n int) item {
	return item{
		class:     c,
		id:        request.Identity{Organisation: l.kinds[c].organisation, ID: fmt.Sprintf("%s-%d", l.prefix, n)},
		submitted: time.Now(),
		whole:     true,
	}
}

// runRequest asks again with the same identity at the next entry while no
// answer comes.
func (l *load) runRequest(ctx context.Context, c class, n int) {
	i := l.newItem(c, n)
	body := minionhost.Body(workTime, len(i.id.ID))
	r := restapi.Request{
		ID:         i.id.ID,
		Service:    l.cluster.Options.Deployment.Service,
		Kind:       l.kinds[c].kind,
		Deadline:   i.submitted.Add(requestDeadline),
		Idempotent: c == idempotentRequest,
		Body:       body,
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(askAgainFor))
	defer cancel()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		e := l.cluster.Entries[(n+attempt)%len(l.cluster.Entries)]
		answer, err := l.cluster.Caller(e, i.id.Organisation).Run(ctx, r)
		if err == nil && answer.Outcome != "pending" {
			i.outcome = answer.Outcome
			i.answered = true
			i.accepted = answer.Outcome != "not-run"
			i.whole = answer.Outcome != "done" || bytes.Equal(answer.Body, minionhost.Answer(i.id, body))
			break
		}
		i.accepted = true // the entry may have taken the request before the call broke
		_ = group.Pause(ctx, askAgainPause)
	}
	i.finished = time.Now()
	l.add(i)
}

func (l *load) runJob(ctx context.Context, n int) {
	i := l.newItem(gangJob, n)
	ctx, cancel := context.WithTimeout(ctx, jobPatience)
	defer cancel()
	j := restapi.Job{
		ID: i.id.ID, Kind: l.kinds[gangJob].kind, Members: 2, Accelerators: 1, Adjacency: "rack",
		Cores: 1, MemoryMB: 100, RunTimeSeconds: jobRunTime, Idempotent: true,
	}
	for attempt := 0; ctx.Err() == nil && !i.answered; attempt++ {
		e := l.cluster.Entries[(n+attempt)%len(l.cluster.Entries)]
		l.followJob(ctx, l.cluster.Caller(e, i.id.Organisation), j, &i)
		_ = group.Pause(ctx, askAgainPause)
	}
	i.finished = time.Now()
	l.add(i)
}

// followJob submits the job, or finds it, and waits for its end at one entry.
func (l *load) followJob(ctx context.Context, client *restapi.Client, j restapi.Job, i *item) {
	status, err := client.Submit(ctx, j)
	if err == nil && status.State != "" {
		i.accepted = true
		status, err = client.Job(ctx, j.ID, jobPatience)
	}
	if err != nil {
		return
	}
	switch {
	case status.State == "" && status.Outcome == "unknown":
		// The submission is not confirmed; it may be found when asked again.
		i.accepted = true
	case status.State == "" && i.accepted:
		// An earlier submission at another entry may have been accepted.
	case status.State == "" || status.State == "ended":
		i.answered = true
		i.outcome = status.Outcome
	}
}
