// Package demo shows the whole system at work on an embedded deployment: it
// submits every kind of work, edits a plan, drains a minion, loses a worker,
// checks the promises and prints a report.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
)

// Options of the demonstration.
type Options struct {
	Deployment deployment.Deployment
	Logger     log.Logger
	Length     time.Duration // Length of the time in which work is submitted.
	Limit      time.Duration // Limit after which the demonstration gives up.
	Ready      time.Duration // Ready bounds the start of the deployment; 0 means the default.
	Progress   io.Writer     // Progress gets a line for each step.
}

// Default returns the options for a deployment.
func Default(d deployment.Deployment) Options {
	return Options{
		Deployment: d,
		Logger:     log.NewNopLogger(),
		Length:     9 * time.Second,
		Limit:      28 * time.Second,
		// Nine starts beside other load took 6 to 10.1 s until every entry knew all
		// members.
		Ready:    12 * time.Second,
		Progress: io.Discard,
	}
}

// ErrPromiseBroken is returned when a check of the promises failed.
var ErrPromiseBroken = errors.New("a promise did not hold")

// step is one part of the demonstration.
type step interface {
	fmt.Stringer
	Run(ctx context.Context, s *scene) error
}

// scene is what the steps share.
type scene struct {
	options  Options
	workload workload
	cluster  *embedded.Cluster
	record   *record
	work     *group.Group
	stalls   *stalls
	start    time.Time

	mu            sync.Mutex
	checks        []check
	fragmentation []float64 // fragmentation holds one sample for each look at the fleet.
	audit         []restapi.AuditEntry
}

// check is one promise and whether it held.
type check struct {
	promise string
	held    bool
	detail  string
}

func (s *scene) checked(promise string, held bool, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, check{promise, held, detail})
}

// Run runs the demonstration and writes its report.
func Run(ctx context.Context, o Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	w, ok := workloads()[o.Deployment.Name]
	if !ok {
		return fmt.Errorf("no workload for deployment %s", o.Deployment.Name)
	}
	cluster, err := embedded.Start(ctx, embedded.Options{
		Deployment: o.Deployment,
		Logger:     o.Logger,
		Workload:   varyingRunTime,
		Log:        logservice.DefaultLimits(),
		Ready:      o.Ready,
	})
	if err != nil {
		return fmt.Errorf("start the deployment: %w", err)
	}
	s := &scene{options: o, workload: w, cluster: cluster, record: newRecord(), work: group.New(ctx), stalls: &stalls{}, start: time.Now()}
	watchers := group.New(ctx)
	watchers.Go("stalls", s.stalls.watch)
	err = s.play(ctx)
	s.work.Stop()
	watchers.Stop()
	err = errors.Join(err, s.work.Wait(), watchers.Wait(), cluster.Stop())
	if err != nil {
		return err
	}
	return s.report(out)
}

func (s *scene) play(ctx context.Context) error {
	steps := []step{publishLists{}, submitWork{}, loseWorker{}, editPlan{}, drainMinion{}, finishWork{}, checkPromises{}, fetchAudit{}}
	for _, st := range steps {
		_, _ = fmt.Fprintln(s.options.Progress, st)
		if err := st.Run(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", st, err)
		}
	}
	return nil
}

// varyingRunTime makes the declared run times wrong: the true ones are 60 % to
// 160 % of them.
func varyingRunTime(spec worker.Spec) (time.Duration, bool) {
	const least, spread = 0.6, 1.0
	return time.Duration(float64(spec.RunTime) * (least + spread*rand.Float64())), true
}
