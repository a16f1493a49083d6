package journal

import (
	"cmp"
	"slices"
	"time"
	"unique"

	"wasabihoist/internal/traffic/request"
)

const (
	// claimOverhead is counted for each claim beside its id: the claim, its
	// place in the map and, with room for growth, that of its answer.
	claimOverhead = 190
	// reasonOverhead is counted for a reason beside its text, as if no other
	// claim had the same one.
	reasonOverhead = 100
)

// claim is the compact form of a RequestState. Claims are kept for a day and
// are most of the fold, so values that many of them share are stored once. A
// claim does not change, except for its neighbours; it is replaced by another
// one, so that copies of the state can share it.
type claim struct {
	key      claimKey
	writer   unique.Handle[string]
	offset   int64
	deadline int64 // deadline is in nanoseconds since 1970; 0 for none.
	changed  int64 // changed is the clock of the fold in the same unit.
	ending   unique.Handle[ending]
	body     string // body is the answer of a finished request while it is kept.
	before   *claim // before is the neighbour that changed earlier.
	after    *claim
}

type claimKey struct {
	organisation unique.Handle[string]
	id           string
}

type ending struct {
	outcome request.Outcome
	reason  string
}

func keyOf(id request.Identity) claimKey { return claimKey{unique.Make(id.Organisation), id.ID} }

func (c *claim) identity() request.Identity {
	return request.Identity{Organisation: c.key.organisation.Value(), ID: c.key.id}
}

func (c *claim) outcome() request.Outcome { return c.ending.Value().outcome }

// bytes is what the claim counts against a bound.
func (c *claim) bytes() int {
	bytes := claimOverhead + len(c.key.id)
	if reason := c.ending.Value().reason; reason != "" {
		bytes += reasonOverhead + len(reason)
	}
	return bytes
}

// claimOrder depends on the state alone, so that all processes agree on it.
func claimOrder(a, b *claim) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset),
		cmp.Compare(a.key.organisation.Value(), b.key.organisation.Value()),
		cmp.Compare(a.key.id, b.key.id))
}

// claims holds the claims of the repeat window.
type claims struct {
	byKey  map[claimKey]*claim
	oldest *claim // oldest is the one that has not changed for the longest time.
	newest *claim
	bytes  int                           // bytes of all claims.
	used   map[unique.Handle[string]]int // used has the bytes by organisation.
	bodies bodies
}

func newClaims() claims {
	return claims{byKey: map[claimKey]*claim{}, used: map[unique.Handle[string]]int{}}
}

func (c *claims) get(id request.Identity) *claim { return c.byKey[keyOf(id)] }

// add puts a claim at the end of the order of change.
func (c *claims) add(added *claim) {
	if former := c.byKey[added.key]; former != nil {
		c.remove(former)
	}
	c.byKey[added.key] = added
	c.bodies.add(added)
	c.link(added)
	c.count(added, added.bytes())
}

func (c *claims) remove(removed *claim) {
	c.bodies.remove(removed)
	c.count(removed, -removed.bytes())
	c.unlink(removed)
	delete(c.byKey, removed.key)
}

// finish replaces a claim by one with an outcome at the end of the order of
// change.
func (c *claims) finish(open *claim, end ending, body []byte, now time.Time) {
	finished := *open
	finished.ending = unique.Make(end)
	finished.changed = nanos(now)
	finished.body = string(body)
	c.add(&finished)
}

// replace puts a claim with another ending and without a body into the place
// of the former one.
func (c *claims) replace(former *claim, end ending) {
	replaced := *former
	replaced.ending = unique.Make(end)
	replaced.body = ""
	if former.before == nil {
		c.oldest = &replaced
	} else {
		former.before.after = &replaced
	}
	if former.after == nil {
		c.newest = &replaced
	} else {
		former.after.before = &replaced
	}
	c.byKey[former.key] = &replaced
	c.count(former, replaced.bytes()-former.bytes())
}

func (c *claims) count(of *claim, bytes int) {
	c.bytes += bytes
	c.used[of.key.organisation] += bytes
	if c.used[of.key.organisation] == 0 {
		delete(c.used, of.key.organisation)
	}
}

func (c *claims) link(last *claim) {
	last.before, last.after = c.newest, nil
	if c.newest == nil {
		c.oldest = last
	} else {
		c.newest.after = last
	}
	c.newest = last
}

func (c *claims) unlink(removed *claim) {
	if removed.before == nil {
		c.oldest = removed.after
	} else {
		removed.before.after = removed.after
	}
	if removed.after == nil {
		c.newest = removed.before
	} else {
		removed.after.before = removed.before
	}
}

// evict forgets the claims that have not changed since the horizon.
func (c *claims) evict(horizon time.Time) {
	for c.oldest != nil && fromNanos(c.oldest.changed).Before(horizon) {
		c.remove(c.oldest)
	}
}

// enforce drops the bodies of the oldest claims until the rest is within the
// bound. Their outcomes stay.
func (c *claims) enforce(limit int) {
	for _, dropped := range c.bodies.enforce(limit) {
		end := dropped.ending.Value()
		c.replace(dropped, ending{end.outcome, droppedReason(end)})
	}
}

// restore adds claims that were decoded, in any order.
func (c *claims) restore(list []*claim) {
	slices.SortStableFunc(list, func(a, b *claim) int { return cmp.Compare(a.changed, b.changed) })
	for _, added := range list {
		c.add(added)
	}
}

func (c *claim) state() RequestState {
	var body []byte
	if c.body != "" {
		body = []byte(c.body)
	}
	end := c.ending.Value()
	return RequestState{
		Identity: c.identity(),
		Writer:   c.writer.Value(),
		Claim:    c.offset,
		Deadline: fromNanos(c.deadline),
		Outcome:  end.outcome,
		Reason:   end.reason,
		Body:     body,
		Changed:  fromNanos(c.changed),
	}
}

func compact(r RequestState) *claim {
	return &claim{
		key:      keyOf(r.Identity),
		writer:   unique.Make(r.Writer),
		offset:   r.Claim,
		deadline: nanos(r.Deadline),
		changed:  nanos(r.Changed),
		ending:   unique.Make(ending{r.Outcome, r.Reason}),
		body:     string(r.Body),
	}
}
