// Package readertree says from which members a process reads the records of the
// log. The members of a data centre form two trees of bounded degree, computed
// from the member list without messages: whoever passes records on in one tree
// is a leaf of the other, so no single failure cuts a member off from both.
package readertree

import (
	"cmp"
	"slices"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/rendezvous"
)

const (
	// Degree bounds the readers of a member. Eight readers of 1.6 KB/s are the
	// 13 KB/s that a daemon may spend.
	Degree = 8
	// Duty is the duty of the member that reads the log for a region without the
	// log service. It is the first one of the order in its data centre, because
	// the order uses the same weights.
	Duty = "reader"
)

// Place is the place of a process in both trees.
type Place struct {
	Parents []membership.Member // Parents in the order of preference; none when the process reads the log.
	Standby bool                // Standby is set for the second reader of a region without the log service.
	Guest   bool                // Guest is set for a root whose parents are in another data centre.
}

// Of returns the place of a process. logRegion is the region of the log service.
func Of(self membership.Member, members []membership.Member, logRegion string) Place {
	first, second := orders(members, self.DataCentre)
	// A process that is not in its own list yet, or that others take for dead,
	// must not be the root.
	if !contains(first, self) {
		first, second = append(first, self), append(second, self)
	}
	if !isRoot(first, self) && !isRoot(second, self) {
		return placeIn(first, second, self)
	}
	if self.Region == logRegion {
		return Place{}
	}
	home := homeOf(self, members)
	if home == self.DataCentre {
		return Place{Standby: !isRoot(first, self)}
	}
	first, second = homeOrders(self, members, home)
	place := placeIn(first, second, self)
	place.Guest = true
	return place
}

// isRoot reports whether the process is the first live member of the order.
func isRoot(order []membership.Member, self membership.Member) bool {
	return root(order).Name == self.Name
}

// root returns the first live member, or the first one when none is alive.
func root(order []membership.Member) membership.Member {
	return order[max(slices.IndexFunc(order, isAlive), 0)]
}

func isAlive(m membership.Member) bool { return m.State == membership.Alive }

func placeIn(first, second []membership.Member, self membership.Member) Place {
	place := Place{Parents: []membership.Member{parent(first, self)}}
	if other := parent(second, self); other.Name != place.Parents[0].Name {
		place.Parents = append(place.Parents, other)
	}
	return place
}

// parent returns the nearest ancestor that is alive, or else the root. Members
// that are suspect or leaving keep their places until they are dead, so that the
// others keep their parents, but nobody reads from them.
func parent(order []membership.Member, self membership.Member) membership.Member {
	i := slices.IndexFunc(order, func(m membership.Member) bool { return m.Name == self.Name })
	for i > 0 {
		if i = (i - 1) / Degree; isAlive(order[i]) {
			return order[i]
		}
	}
	return root(order)
}

// homeOf returns the data centre whose root reads the log for the region.
func homeOf(self membership.Member, members []membership.Member) string {
	home := self
	for _, m := range members {
		if m.Region == self.Region && isAlive(m) && compare(m, home) < 0 {
			home = m
		}
	}
	return home.DataCentre
}

// homeOrders returns the trees of the home data centre. The roots of the other
// data centres of the region are their last leaves, so that the bound of the
// degree holds for them as well.
func homeOrders(self membership.Member, members []membership.Member, home string) (first, second []membership.Member) {
	var guests []membership.Member
	seen := map[string]bool{home: true}
	for _, m := range members {
		if m.Region != self.Region || m.State == membership.Dead || seen[m.DataCentre] {
			continue
		}
		seen[m.DataCentre] = true
		a, b := orders(members, m.DataCentre)
		guests = append(guests, root(a))
		if !isRoot(b, root(a)) {
			guests = append(guests, root(b))
		}
	}
	slices.SortFunc(guests, compare)
	first, second = orders(members, home)
	return append(first, guests...), append(second, guests...)
}

// orders returns the members of a data centre in the order of each tree. The
// second one is the reverse of the first; entries are leaves of both as long as
// there are two agents, because hosts of entries are few.
func orders(members []membership.Member, dataCentre string) (first, second []membership.Member) {
	agents := 0
	for _, m := range members {
		if m.DataCentre != dataCentre || m.State == membership.Dead {
			continue
		}
		if m.Role == membership.Agent {
			agents++
		}
		first = append(first, m)
	}
	slices.SortFunc(first, compare)
	if agents < 2 {
		agents = len(first)
	}
	second = slices.Clone(first)
	slices.Reverse(second[:agents])
	return first, second
}

// compare puts agents before entries, and then the higher weight first.
func compare(a, b membership.Member) int {
	return cmp.Or(
		-cmp.Compare(agentFirst(a), agentFirst(b)),
		-cmp.Compare(weight(a), weight(b)),
		-cmp.Compare(a.Name, b.Name),
	)
}

func agentFirst(m membership.Member) int {
	if m.Role == membership.Agent {
		return 1
	}
	return 0
}

var key = rendezvous.Hash(Duty + "\x00")

func weight(m membership.Member) uint64 { return rendezvous.Combine(key, rendezvous.Hash(m.Name)) }

func contains(list []membership.Member, m membership.Member) bool {
	return slices.ContainsFunc(list, func(o membership.Member) bool { return o.Name == m.Name })
}
