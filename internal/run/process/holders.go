package process

import (
	"time"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/fleet/lease"
)

// leaseHolders are the other agents of a data centre that can hold leases for
// the scheduler duty. It implements scheduler.Holders.
type leaseHolders struct {
	node       *node
	dataCentre string
	call       time.Duration
}

// Names implements scheduler.Holders. Suspected members stay in the list: moving
// their leases for a false suspicion would break off starts in progress, and the
// scheduler itself notices a holder that does not answer.
func (h leaseHolders) Names() []string {
	var names []string
	for _, m := range h.node.board.members.Get() {
		live := m.State == membership.Alive || m.State == membership.Suspect
		if live && m.Role == membership.Agent && m.DataCentre == h.dataCentre && m.Name != h.node.settings.Name {
			names = append(names, holderName(m))
		}
	}
	return names
}

// holderName has the address, because an agent may come back at another one.
func holderName(m membership.Member) string { return m.Name + "@" + m.Address.String() }

// Dial implements scheduler.Holders.
func (h leaseHolders) Dial(name string) lease.Holder {
	for _, m := range h.node.board.members.Get() {
		if holderName(m) == name {
			t := h.node.transport
			return lease.NewRemoteHolder(m.Address, t.Shared(), t.Fresh(), h.call)
		}
	}
	return lease.UnavailableHolder{}
}
