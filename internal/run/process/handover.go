package process

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
)

const (
	// handoverLimit is longer than a scheduler takes to finish its starts in
	// progress (5 s) and to learn that the duty has moved (about 2 s).
	handoverLimit   = 8 * time.Second
	handoverPause   = 100 * time.Millisecond
	handoverTimeout = 500 * time.Millisecond
)

// awaitHandover waits while the agent that had the scheduler duty before still
// schedules. When a duty moves between two live agents, the successor would
// otherwise take the leases in the middle of a start, and a job that must not
// run twice would end with an unknown outcome. An agent that does not answer is
// not waited for; the leases of the workers decide then.
func (d *schedulerDuties) awaitHandover(ctx context.Context, dataCentre string) {
	previous, ok := d.predecessor(dataCentre)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	client := wire.NewSchedulerProtobufClient("http://"+previous.Address.String(), &http.Client{Transport: d.node.transport.Shared()})
	for d.schedules(ctx, client, dataCentre) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(handoverPause):
		}
	}
}

// predecessor returns the agent that would have the duty without this one. An
// agent that is draining may have had it until now.
func (d *schedulerDuties) predecessor(dataCentre string) (membership.Member, bool) {
	var others []membership.Member
	for _, m := range d.node.board.members.Get() {
		if m.Name == d.node.settings.Name {
			continue
		}
		if m.State == membership.Draining {
			m.State = membership.Alive
		}
		others = append(others, m)
	}
	return duty.Holder(schedulerDuty, dataCentre, regionOf(dataCentre, others), others)
}

// schedules reports whether an agent runs the scheduler of a data centre.
func (d *schedulerDuties) schedules(ctx context.Context, client wire.Scheduler, dataCentre string) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := client.Fleet(ctx, &wire.FleetRequest{DataCentre: dataCentre})
	var failure twirp.Error
	handingOver := errors.As(err, &failure) && failure.Code() == twirp.FailedPrecondition
	return err == nil || handingOver
}

// regionOf returns the region of a data centre, or an empty string when no
// member is there.
func regionOf(dataCentre string, members []membership.Member) string {
	for _, m := range members {
		if m.DataCentre == dataCentre {
			return m.Region
		}
	}
	return ""
}
