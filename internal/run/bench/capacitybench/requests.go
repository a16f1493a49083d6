package capacitybench

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
)

const requestDeadline = 5 * time.Second

// RequestPoint is the cost of requests through all roles at one rate. The
// processor time includes callers and stand-ins, so it is an upper bound.
type RequestPoint struct {
	Idempotent  bool
	PerSecond   float64 // PerSecond is the rate that was reached.
	Cores       float64 // Cores include what the idle deployment uses.
	Done        int
	NotDone     int
	MeanSeconds float64
}

// measureRequests runs an embedded deployment, idle and at each rate.
func measureRequests(ctx context.Context, o Options) ([]RequestPoint, float64, error) {
	cluster, err := embedded.Start(ctx, embedded.Options{
		Deployment: deployment.Magnolia(),
		Logger:     log.NewNopLogger(),
		Log:        logservice.DefaultLimits(),
	})
	if err != nil {
		return nil, 0, fmt.Errorf("start the deployment: %w", err)
	}
	points, idle, err := requestPoints(ctx, o, cluster)
	if stopErr := cluster.Stop(); err == nil {
		err = stopErr
	}
	return points, idle, err
}

func requestPoints(ctx context.Context, o Options, c *embedded.Cluster) ([]RequestPoint, float64, error) {
	if _, err := c.Publish(ctx); err != nil {
		return nil, 0, err
	}
	_ = group.Pause(ctx, o.Settle)
	var counter bytesCounter
	from := counter.read()
	_ = group.Pause(ctx, o.Window)
	idle := from.until(counter.read()).cores
	var points []RequestPoint
	for _, idempotent := range []bool{true, false} {
		for _, rate := range o.Rates {
			points = append(points, requestPoint(ctx, o, c, idempotent, rate))
		}
	}
	return points, idle, ctx.Err()
}

// result is what became of one request.
type result struct {
	done bool
	took time.Duration
}

func requestPoint(ctx context.Context, o Options, c *embedded.Cluster, idempotent bool, rate int) RequestPoint {
	results := make(chan result, rate*int(o.Window/time.Second+1))
	work := group.New(ctx)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var counter bytesCounter
	from := counter.read()
	count := 0
	for end := from.at.Add(o.Window); time.Now().Before(end) && ctx.Err() == nil && count < cap(results); count++ {
		<-ticker.C
		id := fmt.Sprintf("%t-%d-%d", idempotent, rate, count)
		entry := c.Entries[count%len(c.Entries)]
		work.Go(id, func(ctx context.Context) error {
			results <- runRequest(ctx, c, entry, id, idempotent)
			return nil
		})
	}
	_ = work.Wait()
	r := from.until(counter.read())
	return summarise(results, idempotent, r, time.Since(from.at))
}

func runRequest(ctx context.Context, c *embedded.Cluster, e *embedded.Entry, id string, idempotent bool) result {
	const organisation = "bayou-weddings"
	kind := "render-hold"
	if idempotent {
		kind = "shade-check"
	}
	start := time.Now()
	answer, err := c.Caller(e, organisation).Run(ctx, restapi.Request{
		ID:         id,
		Service:    c.Options.Deployment.Service,
		Kind:       kind,
		Deadline:   start.Add(requestDeadline),
		Idempotent: idempotent,
		Body:       minionhost.Body(time.Millisecond, 0),
	})
	return result{done: err == nil && answer.Outcome == "done", took: time.Since(start)}
}

func summarise(results chan result, idempotent bool, r rates, took time.Duration) RequestPoint {
	close(results)
	p := RequestPoint{Idempotent: idempotent, Cores: r.cores}
	var total time.Duration
	for x := range results {
		if !x.done {
			p.NotDone++
			continue
		}
		p.Done++
		total += x.took
	}
	p.PerSecond = float64(p.Done+p.NotDone) / took.Seconds()
	if p.Done > 0 {
		p.MeanSeconds = (total / time.Duration(p.Done)).Seconds()
	}
	return p
}
