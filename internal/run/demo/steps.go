package demo

import (
	"context"
	"fmt"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/tenancy/configuration"
)

const (
	inForceLimit  = 4 * time.Second // inForceLimit is the promise for an accepted configuration.
	drainGrace    = 3 * time.Second // drainGrace is how long a leaving minion may still get work.
	sampleEvery   = 250 * time.Millisecond
	settleTime    = 300 * time.Millisecond
	pollInterval  = 10 * time.Millisecond
	auditShown    = 12
	betweenEvents = time.Second
)

// publishLists publishes the lists of the deployment and waits until they are
// in force everywhere.
type publishLists struct{}

func (publishLists) String() string { return "publish the lists" }

func (publishLists) Run(ctx context.Context, s *scene) error {
	published, err := s.cluster.Publish(ctx)
	if err != nil {
		return err
	}
	return s.awaitInForce(ctx, published.Version)
}

// awaitInForce checks that a version reaches every process in time.
func (s *scene) awaitInForce(ctx context.Context, version int64) error {
	start := time.Now()
	for s.cluster.OldestVersion() < version {
		if time.Since(start) > inForceLimit {
			break
		}
		if err := group.Pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	took := time.Since(start)
	s.checked("an accepted configuration is in force everywhere within 4 s",
		s.cluster.OldestVersion() >= version,
		fmt.Sprintf("version %d after %s", version, took.Round(time.Millisecond)))
	return nil
}

// submitWork starts the callers.
type submitWork struct{}

func (submitWork) String() string { return "submit work" }

func (submitWork) Run(_ context.Context, s *scene) error {
	s.start = time.Now()
	c := &callers{cluster: s.cluster, record: s.record, group: s.work, length: s.options.Length}
	c.start(s.workload)
	s.work.Go("fragmentation samples", s.sampleFragmentation)
	return nil
}

// sampleFragmentation weighs the fragmentation of each data centre by its free
// accelerators.
func (s *scene) sampleFragmentation(ctx context.Context) error {
	end := time.After(s.options.Length)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-end:
			return nil
		case <-time.After(sampleEvery):
		}
		centres, err := s.cluster.Operator(s.cluster.Entries[0]).Fleet(ctx)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.fragmentation = append(s.fragmentation, weighted(centres))
		s.mu.Unlock()
	}
}

func weighted(centres []restapi.DataCentre) float64 {
	var sum, free float64
	for _, d := range centres {
		sum += d.Fragmentation * float64(d.FreeAccelerators)
		free += float64(d.FreeAccelerators)
	}
	if free == 0 {
		return 0
	}
	return sum / free
}

// editPlan raises the queue limit of a plan, and tries the same edit again on
// the old version, which must be refused.
type editPlan struct{}

func (editPlan) String() string { return "edit a plan" }

func (editPlan) Run(ctx context.Context, s *scene) error {
	if err := group.Pause(ctx, betweenEvents); err != nil {
		return err
	}
	operator := s.cluster.Operator(s.cluster.Entries[0])
	current, err := operator.Configuration(ctx)
	if err != nil {
		return err
	}
	edit, err := s.edited(current)
	if err != nil {
		return err
	}
	published, err := operator.Publish(ctx, edit)
	if err != nil {
		return err
	}
	if err := s.awaitInForce(ctx, published.Version); err != nil {
		return err
	}
	_, err = s.cluster.Operator(s.cluster.Entries[len(s.cluster.Entries)-1]).Publish(ctx, edit)
	s.checked("an edit that is based on an old version is refused", err != nil, fmt.Sprint(err))
	return nil
}

func (s *scene) edited(current restapi.Configuration) (restapi.PublishRequest, error) {
	parsed, err := configuration.Parse(
		configuration.Source{Path: "plans.toml", Data: []byte(current.Plans)},
		configuration.Source{Path: "allowances.toml", Data: []byte(current.Allowances)},
	)
	if err != nil {
		return restapi.PublishRequest{}, err
	}
	for i := range parsed.Plans {
		if parsed.Plans[i].Name == s.workload.plan {
			parsed.Plans[i].QueueLimit *= 2
		}
	}
	plans, allowances, err := configuration.Format(parsed)
	if err != nil {
		return restapi.PublishRequest{}, err
	}
	return restapi.PublishRequest{
		BaseVersion:    current.Version,
		Operator:       "operator",
		PlansPath:      "plans.toml",
		Plans:          string(plans),
		AllowancesPath: "allowances.toml",
		Allowances:     string(allowances),
	}, nil
}

// drainMinion lets a minion announce that it leaves, and checks that it gets
// no work after a few seconds.
type drainMinion struct{}

func (drainMinion) String() string { return "drain a minion" }

func (drainMinion) Run(ctx context.Context, s *scene) error {
	if err := group.Pause(ctx, betweenEvents); err != nil {
		return err
	}
	leaving := s.cluster.Minions[0]
	leaving.Host.Leave()
	s.work.Go("watch of the leaving minion", func(ctx context.Context) error {
		return s.watchLeaving(ctx, leaving)
	})
	return nil
}

func (s *scene) watchLeaving(ctx context.Context, m *embedded.Minion) error {
	if err := group.Pause(ctx, drainGrace); err != nil {
		return err
	}
	before := len(m.Host.ExecutionCounts())
	if err := group.Pause(ctx, s.options.Length/4); err != nil {
		return err
	}
	after := len(m.Host.ExecutionCounts())
	s.checked("a leaving minion gets no new work after a few seconds",
		after == before, fmt.Sprintf("%s started %d requests after %s", m.Name, after-before, drainGrace))
	return nil
}

// loseWorker crashes the first worker that runs something.
type loseWorker struct{}

func (loseWorker) String() string { return "lose a worker" }

func (loseWorker) Run(ctx context.Context, s *scene) error {
	if err := group.Pause(ctx, betweenEvents); err != nil {
		return err
	}
	lost := s.cluster.Workers[0]
	for _, w := range s.cluster.Workers {
		if isBusy(w) {
			lost = w
			break
		}
	}
	lost.Host.Crash()
	return nil
}

func isBusy(w *embedded.Worker) bool {
	for _, i := range w.Host.History() {
		if !i.Released.IsZero() && i.Ended.IsZero() {
			return true
		}
	}
	return false
}

// finishWork waits until every caller has its answer.
type finishWork struct{}

func (finishWork) String() string { return "finish the work" }

func (finishWork) Run(ctx context.Context, s *scene) error {
	if err := s.work.Wait(); err != nil {
		return err
	}
	// Audit entries of the last events are on their way to the log.
	return group.Pause(ctx, settleTime)
}

// fetchAudit reads the tail of the audit trail.
type fetchAudit struct{}

func (fetchAudit) String() string { return "fetch the audit trail" }

func (fetchAudit) Run(ctx context.Context, s *scene) error {
	entries, err := s.cluster.Operator(s.cluster.Entries[0]).Audit(ctx, restapi.AuditFilter{Limit: auditShown})
	s.audit = entries
	return err
}
