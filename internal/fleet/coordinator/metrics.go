package coordinator

import (
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/run/metrics"
)

// metricSet holds the metrics of a coordinator.
type metricSet struct {
	terms            metrics.Counter
	placements       metrics.Counter
	reservations     metrics.Counter
	stops            metrics.Counter
	preemptions      metrics.Counter
	discarded        metrics.Counter
	overloads        metrics.Counter
	lost             metrics.Counter
	startsUnanswered metrics.Counter
	startsRefused    metrics.Counter
	startsWithdrawn  metrics.Counter
	leavingMoved     metrics.Counter
	ends             map[host.Outcome]metrics.Counter
	planTime         *metrics.Histogram
	appendTime       *metrics.Histogram
	waitTime         *metrics.Histogram
}

func newMetricSet(r *metrics.Registry) metricSet {
	m := metricSet{
		terms:            r.Counter("coordinator-terms", "terms", "Terms that this process has begun to lead."),
		placements:       r.Counter("coordinator-placements", "attempts", "Gangs and single tasks that were given to hosts."),
		reservations:     r.Counter("coordinator-reservations", "reservations", "Reservations of hosts for gangs that wait for running work to end."),
		stops:            r.Counter("coordinator-stops", "attempts", "Gangs and single tasks that were stopped."),
		preemptions:      r.Counter("coordinator-preemptions", "attempts", "Gangs and single tasks that were stopped to make room for more urgent work."),
		discarded:        r.Counter("coordinator-discarded", "core seconds", "Work that was discarded by stops and with lost runs."),
		overloads:        r.Counter("coordinator-overloads", "times", "Times at which work of a rank began to give way to other work of its rank."),
		lost:             r.Counter("coordinator-lost", "runs", "Runs that were given up without an outcome."),
		startsUnanswered: r.Counter("coordinator-starts-unanswered", "calls", "Tries of a start that were not answered and may have been carried out."),
		startsRefused:    r.Counter("coordinator-starts-refused", "calls", "Tries of a start that were refused without effect."),
		startsWithdrawn:  r.Counter("coordinator-starts-withdrawn", "attempts", "Gangs and single tasks that were not started or stopped before their start was confirmed, because a host of theirs was evacuated."),
		leavingMoved:     r.Counter("coordinator-leaving-moved", "attempts", "Gangs and single tasks that were stopped because a host of theirs is about to leave."),
		ends:             make(map[host.Outcome]metrics.Counter),
		planTime:         r.Histogram("coordinator-plan-time", "Time to decide on placements once."),
		appendTime:       r.Histogram("coordinator-append-time", "Time until a batch of decisions was durable."),
		waitTime:         r.Histogram("coordinator-wait-time", "Time from the submission of a job to the placement of a task."),
	}
	for o := host.Completed; o <= host.GangTimedOut; o++ {
		m.ends[o] = r.Counter("coordinator-ends-"+o.String(), "runs", "Runs that ended as "+o.String()+".")
	}
	return m
}
