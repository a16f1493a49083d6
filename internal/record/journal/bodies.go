package journal

import "slices"

const (
	// MaxBodyBytes bounds the answer bodies in the fold. A process has 64 MB in
	// all, and a snapshot carries these bytes over the region link.
	MaxBodyBytes = 8 << 20
	// ReasonBodyDropped is the reason of an outcome whose answer body is gone.
	ReasonBodyDropped = "the answer is no longer kept; the outcome is"
)

// bodies holds the answers of finished requests in claim order. The order
// depends on the state alone, so all processes drop the same bodies.
type bodies struct {
	kept  []keptBody
	bytes int
}

type keptBody struct {
	claim *claim
	body  []byte
}

func (b *bodies) find(c *claim) (int, bool) {
	return slices.BinarySearchFunc(b.kept, c, func(k keptBody, c *claim) int { return claimOrder(k.claim, c) })
}

// of returns the body of a claim, or nil.
func (b *bodies) of(c *claim) []byte {
	if i, found := b.find(c); found {
		return b.kept[i].body
	}
	return nil
}

// set replaces the body of a claim.
func (b *bodies) set(c *claim, body []byte) {
	b.remove(c)
	if len(body) == 0 {
		return
	}
	i, _ := b.find(c)
	b.kept = slices.Insert(b.kept, i, keptBody{c, body})
	b.bytes += len(body)
}

func (b *bodies) remove(c *claim) {
	if i, found := b.find(c); found {
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
		dropped = append(dropped, oldest.claim)
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
