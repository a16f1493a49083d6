package journal

import "slices"

const (
	// MaxBodyBytes bounds the answer bodies in the fold. A process has 64 MB in
	// all, and a snapshot carries these bytes over the region link.
	MaxBodyBytes = 8 << 20
	// ReasonBodyDropped is the reason of an outcome whose answer body is gone.
	ReasonBodyDropped = "the answer is no longer kept; the outcome is"
)

// bodies bounds the answers of finished requests, in claim order. The order
// depends on the state alone, so all processes drop the same bodies.
type bodies struct {
	kept  []*claim // kept are the claims that have a body.
	bytes int
}

func (b *bodies) add(c *claim) {
	if c.body == "" {
		return
	}
	i, _ := slices.BinarySearchFunc(b.kept, c, claimOrder)
	b.kept = slices.Insert(b.kept, i, c)
	b.bytes += len(c.body)
}

func (b *bodies) remove(c *claim) {
	if i, found := slices.BinarySearchFunc(b.kept, c, claimOrder); found {
		b.bytes -= len(b.kept[i].body)
		b.kept = slices.Delete(b.kept, i, i+1)
	}
}

// enforce drops the bodies of the oldest claims until the rest is within the
// bound, and returns these claims.
func (b *bodies) enforce(limit int) []*claim {
	var dropped []*claim
	for b.bytes > limit {
		oldest := b.kept[len(dropped)]
		b.bytes -= len(oldest.body)
		dropped = append(dropped, oldest)
	}
	b.kept = slices.Delete(b.kept, 0, len(dropped))
	return dropped
}

func droppedReason(e ending) string {
	if e.reason != "" {
		return e.reason + "; " + ReasonBodyDropped + " " + e.outcome.String()
	}
	return ReasonBodyDropped + " " + e.outcome.String()
}
