package process

import (
	"context"
	"expvar"
	"sync/atomic"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/fleet/scheduler"
	"wasabihoist/internal/run/metrics"
)

// figure is one documented metric of a process.
type figure struct {
	metrics.Description
	read func() float64
}

func counter(name, unit, meaning string, read func() float64) figure {
	return figure{metrics.Description{Name: name, Kind: metrics.CounterKind, Unit: unit, Meaning: meaning}, read}
}

func gauge(name, unit, meaning string, read func() float64) figure {
	return figure{metrics.Description{Name: name, Kind: metrics.GaugeKind, Unit: unit, Meaning: meaning}, read}
}

func ofInt(v *expvar.Int) func() float64 { return func() float64 { return float64(v.Value()) } }

func ofAtomic(v *atomic.Int64) func() float64 { return func() float64 { return float64(v.Load()) } }

// figures of every process.
func (n *node) figures() []figure {
	traffic := n.transport.Traffic()
	members := func(read func(membership.Statistics) uint64) func() float64 {
		return func() float64 { return float64(read(n.members.Statistics())) }
	}
	return []figure{
		gauge("journal-next-offset", "offset", "First offset of the log that is not folded.", func() float64 { return float64(n.journal.Next()) }),
		gauge("journal-unsupported", "-", "1 when the log has a record that only a newer version can fold, otherwise 0.", n.journalUnsupported),
		gauge("claim-bytes", "bytes", "About the memory for the claims of the last 24 h, without answers.", func() float64 { all, _ := n.journal.ClaimBytes(""); return float64(all) }),
		gauge("configuration-version", "offset", "Version of the configuration in force.", func() float64 { return float64(n.ConfigurationVersion()) }),
		counter("audit-entries-lost", "entries", "Audit entries that were dropped because the log did not take them in time.", func() float64 { return float64(n.writer.LostAudit()) }),
		gauge("members-known", "members", "Members in the list, dead ones included.", func() float64 { return float64(len(n.board.members.Get())) }),
		counter("membership-probes", "probes", "Direct probes sent.", members(func(s membership.Statistics) uint64 { return s.Probes })),
		counter("membership-probes-failed", "probes", "Probes without an answer, direct or through others.", members(func(s membership.Statistics) uint64 { return s.ProbesFailed })),
		counter("membership-suspicions", "suspicions", "Members that this process has suspected.", members(func(s membership.Statistics) uint64 { return s.Suspicions })),
		counter("membership-deaths", "members", "Members that this process has declared dead.", members(func(s membership.Statistics) uint64 { return s.Deaths })),
		counter("region-link-bytes-out", "bytes", "Bytes sent to other regions.", ofAtomic(&traffic.LinkOut)),
		counter("region-link-bytes-in", "bytes", "Bytes received from other regions.", ofAtomic(&traffic.LinkIn)),
		counter("local-bytes-out", "bytes", "Bytes sent within the region.", ofAtomic(&traffic.LocalOut)),
		counter("local-bytes-in", "bytes", "Bytes received within the region.", ofAtomic(&traffic.LocalIn)),
	}
}

func (n *node) journalUnsupported() float64 {
	if n.journal.Unsupported() != nil {
		return 1
	}
	return 0
}

// figures of an entry.
func (e *Entry) figures() []figure {
	c, r := e.entry.Counters(), &e.router.Counters
	return append(e.node.figures(),
		counter("calls-requests", "calls", "Calls that submit a request.", ofAtomic(&c.Requests)),
		counter("calls-jobs", "calls", "Calls that submit a job.", ofAtomic(&c.Jobs)),
		counter("answers-done", "answers", "Answers with the outcome done.", ofAtomic(&c.Done)),
		counter("answers-failed", "answers", "Answers with the outcome failed.", ofAtomic(&c.Failed)),
		counter("answers-not-run", "answers", "Answers with the outcome not-run.", ofAtomic(&c.NotRun)),
		counter("answers-unknown", "answers", "Answers with the outcome unknown.", ofAtomic(&c.Unknown)),
		counter("calls-refused", "calls", "Calls refused at the limit of open calls.", ofAtomic(&c.Refused)),
		counter("calls-invalid", "calls", "Calls refused with findings.", ofAtomic(&c.Invalid)),
		counter("lookups-unconfirmed", "calls", "Questions about unknown work that the log did not confirm in time.", ofAtomic(&c.UnconfirmedLookups)),
		counter("routing-retries", "retries", "Requests sent to another agent.", ofInt(&r.Retries)),
		counter("routing-retries-denied", "retries", "Retries that the budget did not allow.", ofInt(&r.DeniedRetries)),
		counter("routing-link-full", "choices", "Remote agents left out because of the cap on the region link.", ofInt(&r.LinkFull)),
		counter("routing-replies-discarded", "replies", "Replies that were crossed or truncated.", ofInt(&r.DiscardedReplies)),
		counter("routing-questions", "questions", "Questions to agents before non-idempotent requests were answered as not run.", ofInt(&r.Lookups)),
		counter("routing-barriers-missed", "barriers", "Read barriers before such answers that the log did not take in time.", ofInt(&r.MissedBarriers)),
		counter("routing-unproved", "answers", "Refusals of non-idempotent requests answered as unknown, because it was not proved that they did not run.", ofInt(&r.UnprovedRefusals)),
		counter("routing-replies-lost", "replies", "Replies that did not arrive.", ofInt(&r.LostReplies)),
	)
}

// figures of an agent.
func (a *Agent) figures() []figure {
	c := &a.agent.Counters
	total := func(pick func(*scheduler.Counters) *expvar.Int) func() float64 {
		return func() float64 { return a.duties.total(pick) }
	}
	return append(a.node.figures(),
		gauge("requests-waiting", "requests", "Requests in the queues.", func() float64 { w, _ := a.agent.Load(); return float64(w) }),
		gauge("requests-running", "requests", "Requests that run on the minion.", func() float64 { _, r := a.agent.Load(); return float64(r) }),
		counter("relay-appends", "appends", "Appends to the log as the relay of the data centre.", ofInt(&a.relay.Counters.Appends)),
		counter("relay-batches", "batches", "Batches of other processes and of this one in these appends.", ofInt(&a.relay.Counters.Batches)),
		counter("relay-failed", "appends", "Appends as a relay that the log did not take or did not answer.", ofInt(&a.relay.Counters.Failed)),
		counter("relay-refused", "batches", "Batches that the relay did not try, because it was full or stopping.", ofInt(&a.relay.Counters.Refused)),
		counter("requests-accepted", "requests", "Requests accepted, without duplicates.", ofInt(&c.Accepted)),
		counter("requests-joined", "requests", "Duplicates that joined a waiting or running request.", ofInt(&c.Joined)),
		counter("requests-refused", "requests", "Requests refused: draining, full queue, passed deadline or no minion.", ofInt(&c.Refused)),
		counter("requests-done", "requests", "Requests with the outcome done.", ofInt(&c.Done)),
		counter("requests-failed", "requests", "Requests with the outcome failed.", ofInt(&c.Failed)),
		counter("requests-not-run", "requests", "Accepted requests with the outcome not-run.", ofInt(&c.NotRun)),
		counter("requests-unknown", "requests", "Requests with the outcome unknown.", ofInt(&c.Unknown)),
		counter("claims-won", "claims", "Claims of non-idempotent requests that were first.", ofInt(&c.ClaimsWon)),
		counter("claims-lost", "claims", "Claims that another agent had before.", ofInt(&c.ClaimsLost)),
		counter("claims-full", "requests", "Non-idempotent requests refused because the bound of remembered claims was reached.", ofInt(&c.ClaimLimitRefusals)),
		counter("claims-abandoned", "claims", "Claims given back without a run.", ofInt(&c.AbandonedClaims)),
		counter("minion-answers-discarded", "answers", "Answers of the minion that were crossed or truncated.", ofInt(&c.DiscardedReplies)),
		counter("minion-down", "changes", "Times at which the minion became unavailable.", ofInt(&c.MinionFailures)),
		counter("scheduler-terms", "terms", "Times at which this agent took a scheduler duty.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Terms })),
		counter("scheduler-claims", "claims", "Claims of jobs.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Claims })),
		counter("scheduler-claims-lost", "claims", "Claims of jobs that another scheduler had before.", total(func(c *scheduler.Counters) *expvar.Int { return &c.LostClaims })),
		counter("scheduler-started", "jobs", "Gangs that were started.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Started })),
		counter("scheduler-adopted", "jobs", "Running gangs taken over from another scheduler.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Adopted })),
		counter("scheduler-reclaimed", "jobs", "Gangs whose accelerators were taken back.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Reclaimed })),
		counter("scheduler-quarantines", "workers", "Workers put into quarantine.", total(func(c *scheduler.Counters) *expvar.Int { return &c.Quarantines })),
		counter("scheduler-leases-moved", "leases", "Leases that went to another agent or session while the tasks went on.", total(func(c *scheduler.Counters) *expvar.Int { return &c.MovedLeases })),
		counter("scheduler-workers-lost", "workers", "Workers whose lease has lapsed.", total(func(c *scheduler.Counters) *expvar.Int { return &c.LostWorkers })),
	)
}

// serveFigures publishes the figures and serves them when the settings name an
// address.
func (n *node) serveFigures(list []figure) {
	registry := metrics.For(n.settings.Name)
	for _, f := range list {
		registry.Func(f.Description, f.read)
	}
	if n.metrics != nil {
		n.group.Go("metrics listener", func(ctx context.Context) error { return registry.Serve(ctx, n.metrics) })
	}
}
