package journal

import (
	"cmp"
	"slices"

	"wasabihoist/internal/traffic/request"
)

const (
	// MaxBodyBytes bounds the answer bodies in the fold. A process has 64 MB in
	// all, and a snapshot carries these bytes over the region link.
	MaxBodyBytes = 8 << 20
	// ReasonBodyDropped is the reason of an outcome whose answer body is gone.
	ReasonBodyDropped = "the answer is no longer kept; the outcome is"
)

// bodies holds the finished requests that have a body in claim order. The
// order depends on the state alone, so all processes drop the same bodies.
type bodies struct {
	requests []*RequestState
	bytes    int
}

func claimOrder(a, b *RequestState) int {
	return cmp.Or(cmp.Compare(a.Claim, b.Claim),
		cmp.Compare(a.Identity.Organisation, b.Identity.Organisation),
		cmp.Compare(a.Identity.ID, b.Identity.ID))
}

func (b *bodies) add(r *RequestState) {
	if len(r.Body) == 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(b.requests, r, claimOrder)
	b.requests = slices.Insert(b.requests, i, r)
	b.bytes += len(r.Body)
}

func (b *bodies) remove(r *RequestState) {
	if len(r.Body) == 0 {
		return
	}
	if i, found := slices.BinarySearchFunc(b.requests, r, claimOrder); found {
		b.requests = slices.Delete(b.requests, i, i+1)
		b.bytes -= len(r.Body)
	}
}

// enforce drops the bodies of the oldest claims until the rest is within the
// bound. Their outcomes stay.
func (b *bodies) enforce(limit int) {
	dropped := 0
	for b.bytes > limit {
		r := b.requests[dropped]
		b.bytes -= len(r.Body)
		r.Body, r.Reason = nil, droppedReason(r)
		dropped++
	}
	b.requests = slices.Delete(b.requests, 0, dropped)
}

func droppedReason(r *RequestState) string {
	if r.Reason != "" {
		return r.Reason + "; " + ReasonBodyDropped + " " + r.Outcome.String()
	}
	return ReasonBodyDropped + " " + r.Outcome.String()
}

// collect rebuilds the order after the state was decoded.
func (b *bodies) collect(requests map[request.Identity]*RequestState) {
	for _, r := range requests {
		if len(r.Body) > 0 {
			b.requests = append(b.requests, r)
			b.bytes += len(r.Body)
		}
	}
	slices.SortFunc(b.requests, claimOrder)
}
