package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/record/ledger"
)

const (
	// outlookInterval is the least time between two outlooks of a service.
	outlookInterval = time.Second
	// outlookRenewal is when an outlook is published again although it is the same.
	outlookRenewal = outlook.Validity / 2
	// hostSettleTime is how long no new host must have been found, and the term must have
	// run, for the hosts of a service to count as known. New hosts come within seconds of
	// each other.
	hostSettleTime = 15 * time.Second
	// hostMemory is for how long a host that has gone counts as one that may come back.
	hostMemory = 10 * time.Minute
	// maxHostKinds limits the kinds of hosts of an outlook. The hosts of a service of more
	// kinds count as not known.
	maxHostKinds = 500
)

// outlooks is what a term knows of the hosts of its services, and what it has published.
// It ends with the term; the next one publishes nothing about hosts before hostSettleTime.
type outlooks struct {
	hosts     map[string]seenHost // hosts holds the hosts by name.
	foundAt   time.Duration       // foundAt is when the last host was found or has changed.
	nextAt    time.Duration       // nextAt is when the next outlooks may be made.
	published map[string]publishedOutlook
	records   []ledger.Record // records are to be appended.
}

// seenHost is how a host was seen last.
type seenHost struct {
	service string
	kind    outlook.HostKind
	at      time.Duration
}

type publishedOutlook struct {
	outlook outlook.Outlook
	at      time.Duration
}

func newOutlooks() outlooks {
	return outlooks{hosts: make(map[string]seenHost), published: make(map[string]publishedOutlook)}
}

// see records how a host is now.
func (o *outlooks) see(name, service string, kind outlook.HostKind, at time.Duration) {
	former, known := o.hosts[name]
	if !known || former.service != service || !sameKind(former.kind, kind) {
		o.foundAt = at
	}
	o.hosts[name] = seenHost{service, kind, at}
}

func sameKind(a, b outlook.HostKind) bool {
	return a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// kindsOf returns the kinds of the hosts of a service, none while they are not known.
func (o *outlooks) kindsOf(service string, begunAt, at time.Duration) []outlook.HostKind {
	if at-max(begunAt, o.foundAt) < hostSettleTime {
		return nil
	}
	byName := make(map[string]outlook.HostKind)
	for name, h := range o.hosts {
		if at-h.at > hostMemory {
			delete(o.hosts, name)
			continue
		}
		if h.service == service {
			key := fmt.Sprint(h.kind.Capacity, strings.Join(h.kind.Labels, " "))
			h.kind.Count = byName[key].Count + 1
			byName[key] = h.kind
		}
	}
	if len(byName) > maxHostKinds {
		return nil
	}
	var kinds []outlook.HostKind
	for _, key := range slices.Sorted(maps.Keys(byName)) {
		kinds = append(kinds, byName[key])
	}
	return kinds
}

// publish queues the record of an outlook unless it tells nothing new.
func (o *outlooks) publish(next outlook.Outlook, at time.Duration) (changed bool, err error) {
	former, known := o.published[next.Service]
	same := known && maps.Equal(former.outlook.Waits, next.Waits) &&
		slices.EqualFunc(former.outlook.Kinds, next.Kinds, func(a, b outlook.HostKind) bool { return a.Count == b.Count && sameKind(a, b) })
	if same && at-former.at < outlookRenewal {
		return false, nil
	}
	record, err := ledger.EncodeOutlook(next)
	if err != nil {
		return false, err
	}
	o.records = append(o.records, record)
	o.published[next.Service] = publishedOutlook{next, at}
	return !same, nil
}

// take returns the records to append.
func (o *outlooks) take() []ledger.Record {
	records := o.records
	o.records = nil
	return records
}

// updateOutlooks makes the outlooks of all services that have hosts.
func (t *term) updateOutlooks() {
	at := now()
	if !t.settings().Adaptive || at < t.outlooks.nextAt {
		return
	}
	t.outlooks.nextAt = at + outlookInterval
	services := make(map[string]bool)
	for name, h := range t.hosts {
		if h.minion.ID != "" && at-h.lastContact < silenceTimeout {
			t.outlooks.see(name, h.minion.Service, outlook.HostKind{Capacity: h.minion.Capacity, Labels: slices.Sorted(slices.Values(h.minion.Labels))}, at)
			services[h.minion.Service] = true
		}
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		next := outlook.Outlook{Service: service, At: time.Now(), Kinds: t.outlooks.kindsOf(service, t.begunAt, at), Waits: t.waits(service)}
		changed, err := t.outlooks.publish(next, at)
		if err != nil {
			_ = level.Error(t.logger).Log("event", "encoding outlook failed", "service", service, "reason", err)
		}
		if changed {
			_ = level.Info(t.logger).Log("event", "outlook", "service", service, "host-kinds", len(next.Kinds),
				"wait-ordinary", next.Waits[lateness.Ordinary], "wait-low", next.Waits[lateness.Low])
		}
	}
}

// waits returns for how long the waiting work that is more urgent than a class takes all
// hosts of a service, rounded down to a power of two seconds. It leaves out running work
// and waiting work of the class itself, which need not go before a new job, and work that
// gives way because its result would be worthless.
func (t *term) waits(service string) map[lateness.Class]time.Duration {
	capacity, at := t.roomOf(service).capacity, time.Now()
	room := make(map[lateness.Class]time.Duration)
	for _, j := range t.jobs {
		if j.job.HasLongRunning() || t.serviceOf(j) != service {
			continue
		}
		for _, number := range j.activeOccurrences(at) {
			if c := t.candidate(occurrence{job: j, number: number}, capacity, at); c.Need <= c.Limit {
				room[c.Class] += c.Room
			}
		}
	}
	waits := make(map[lateness.Class]time.Duration)
	var sum time.Duration
	for class := lateness.Ordinary; class <= lateness.Low; class++ {
		if sum += room[class-1]; sum >= time.Second {
			waits[class] = time.Duration(math.Exp2(math.Floor(math.Log2(sum.Seconds())))) * time.Second
		}
	}
	return waits
}
