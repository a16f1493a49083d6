// Package faultbench brings about faults in an embedded deployment under a
// small load. It counts what was accepted, answered, lost and run twice, and
// measures how long each fault keeps work from being served.
package faultbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
)

// Options of a run.
type Options struct {
	Seed       uint64
	Deployment deployment.Deployment
	Rounds     int           // Rounds is how often each fault is brought about.
	Hold       time.Duration // Hold is how long a fault lasts.
	Settle     time.Duration // Settle is the time without a fault after each one.
	Limit      time.Duration // Limit is how long a recovery is waited for.
	Only       []string      // Only names the faults to bring about; empty means all.
	Progress   io.Writer
}

// Default returns the options of the command line.
func Default() Options {
	return Options{
		Seed:       1,
		Deployment: deployment.Magnolia(),
		Rounds:     3,
		Hold:       2 * time.Second,
		Settle:     time.Second,
		Limit:      25 * time.Second,
		Progress:   io.Discard,
	}
}

// Recovery is the time from a fault until work of every class that was
// submitted after it is done.
type Recovery struct {
	P50         time.Duration
	Max         time.Duration
	FromEnd     bool // FromEnd recoveries are measured from the end of the fault.
	Unrecovered int  // Unrecovered counts rounds that reached the limit.
}

// Result is what a run has found.
type Result struct {
	Accepted       int
	Answered       int
	Unknown        int // Unknown answers are counted as answered.
	NotRun         int
	Lost           int // Lost work was accepted and no outcome could be learned.
	RunTwice       int // RunTwice counts non-idempotent requests.
	RefusedFalsely int // RefusedFalsely counts answers of not run for work that ran.
	Wrong          int // Wrong answers were not those of the request.
	GangsSplit     int
	Recoveries     map[string]Recovery
}

type recoveryJSON struct {
	P50         float64 `json:"p50"`
	Max         float64 `json:"max"`
	FromEnd     bool    `json:"from-end"`
	Unrecovered int     `json:"unrecovered"`
}

type resultJSON struct {
	Accepted       int                     `json:"accepted"`
	Answered       int                     `json:"answered"`
	Unknown        int                     `json:"unknown"`
	NotRun         int                     `json:"not-run"`
	Lost           int                     `json:"lost"`
	RunTwice       int                     `json:"run-twice"`
	RefusedFalsely int                     `json:"refused-falsely"`
	Wrong          int                     `json:"wrong-answers"`
	GangsSplit     int                     `json:"gangs-split"`
	Recoveries     map[string]recoveryJSON `json:"recovery-ms"`
}

// JSON encodes the result on one line.
func (r Result) JSON() ([]byte, error) {
	m := resultJSON{
		Accepted: r.Accepted, Answered: r.Answered, Unknown: r.Unknown, NotRun: r.NotRun, Lost: r.Lost,
		RunTwice: r.RunTwice, RefusedFalsely: r.RefusedFalsely, Wrong: r.Wrong, GangsSplit: r.GangsSplit,
		Recoveries: map[string]recoveryJSON{},
	}
	for name, v := range r.Recoveries {
		m.Recoveries[name] = recoveryJSON{millis(v.P50), millis(v.Max), v.FromEnd, v.Unrecovered}
	}
	return json.Marshal(m)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Run brings about every fault and returns the result.
func Run(ctx context.Context, o Options) (Result, error) {
	cluster, err := embedded.Start(ctx, embedded.Options{
		Deployment: o.Deployment,
		Logger:     log.NewNopLogger(),
		Log:        logservice.DefaultLimits(),
	})
	if err != nil {
		return Result{}, fmt.Errorf("start the deployment: %w", err)
	}
	result, err := measure(ctx, o, cluster)
	return result, errors.Join(err, cluster.Stop())
}

func measure(ctx context.Context, o Options, c *embedded.Cluster) (Result, error) {
	if _, err := c.Publish(ctx); err != nil {
		return Result{}, err
	}
	work := group.New(ctx)
	l := &load{cluster: c, group: work, prefix: "work", kinds: kindsOf(o.Deployment)}
	submitting, stop := context.WithCancel(ctx)
	defer stop()
	work.Go("load", func(context.Context) error { return l.run(submitting) })
	_ = group.Pause(ctx, o.Settle)
	recoveries, err := bringAbout(ctx, o, c, l)
	stop()
	if err = errors.Join(err, work.Wait()); err != nil {
		return Result{}, err
	}
	result := account(c, l.all())
	result.Recoveries = recoveries
	return result, nil
}

// kindsOf returns the kinds of work that the lists of a deployment allow.
func kindsOf(d deployment.Deployment) [classes]submission {
	if d.Name == "folha-viva" {
		return [classes]submission{
			{"weighing-shed", "photo-check"}, {"pay-office", "pay-tally"}, {"serra-pickers", "leaf-sort"},
		}
	}
	return [classes]submission{
		{"bayou-weddings", "shade-check"}, {"bayou-weddings", "render-hold"}, {"corner-catalog", "catalog-render"},
	}
}

// bringAbout goes through the faults in a random order in each round.
func bringAbout(ctx context.Context, o Options, c *embedded.Cluster, l *load) (map[string]Recovery, error) {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	times := map[string][]time.Duration{}
	recoveries := map[string]Recovery{}
	for range o.Rounds {
		list := faults()
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, f := range list {
			if len(o.Only) > 0 && !slices.Contains(o.Only, f.name) {
				continue
			}
			took, recovered, err := one(ctx, o, c, l, f, random.IntN(1<<16))
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f.name, err)
			}
			r := recoveries[f.name]
			r.FromEnd = f.fromEnd
			if !recovered {
				r.Unrecovered++
			}
			recoveries[f.name] = r
			times[f.name] = append(times[f.name], took)
			_, _ = fmt.Fprintf(o.Progress, "%s: %s\n", f.name, took.Round(time.Millisecond))
		}
	}
	for name, list := range times {
		slices.Sort(list)
		r := recoveries[name]
		r.P50, r.Max = list[len(list)/2], list[len(list)-1]
		recoveries[name] = r
	}
	return recoveries, nil
}

// one brings about one fault and returns how long the recovery took.
func one(ctx context.Context, o Options, c *embedded.Cluster, l *load, f fault, round int) (time.Duration, bool, error) {
	from := time.Now()
	end, err := f.begin(ctx, c, round)
	if err != nil {
		return 0, false, err
	}
	_ = group.Pause(ctx, o.Hold)
	if err := end(); err != nil {
		return 0, false, fmt.Errorf("end of the fault: %w", err)
	}
	if f.fromEnd {
		from = time.Now()
	}
	took, recovered := awaitRecovery(ctx, l, from, o.Limit)
	_ = group.Pause(ctx, o.Settle)
	return took, recovered, ctx.Err()
}

func awaitRecovery(ctx context.Context, l *load, from time.Time, limit time.Duration) (time.Duration, bool) {
	const look = 10 * time.Millisecond
	for ctx.Err() == nil && time.Since(from) < limit {
		if last, ok := allServed(l, from); ok {
			return last.Sub(from), true
		}
		_ = group.Pause(ctx, look)
	}
	return limit, false
}

// allServed returns when the last class was served again.
func allServed(l *load, from time.Time) (time.Time, bool) {
	var last time.Time
	for c := range classes {
		done, ok := l.firstDone(c, from)
		if !ok {
			return last, false
		}
		if done.After(last) {
			last = done
		}
	}
	return last, true
}
