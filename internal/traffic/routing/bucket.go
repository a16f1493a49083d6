package routing

import (
	"sync"
	"time"
)

// tokenBucket is a token bucket. Its balance may become negative, because some
// costs are known only afterwards. It is safe for concurrent use.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64 // rate is the refill rate in tokens per second.
	burst      float64 // burst is the maximum balance in tokens.
	tokens     float64
	refilledAt time.Time // refilledAt is when tokens was last computed.
}

func newTokenBucket(rate, burst float64, now time.Time) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// refill adds the tokens since the last refill. The caller holds the mutex.
func (b *tokenBucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
		b.refilledAt = now
	}
}

// tryTake spends n tokens if the balance allows it, and reports whether it did.
func (b *tokenBucket) tryTake(n float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// has reports whether the balance is at least n tokens, without spending them.
func (b *tokenBucket) has(n float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= n
}

// add changes the balance by n tokens; n may be negative.
func (b *tokenBucket) add(n float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+n)
}

// RetryBudget limits retries to a ratio of the requests plus a constant rate, so
// that retries cannot multiply the load during a failure. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio  float64
	bucket *tokenBucket
}

// NewRetryBudget returns a full budget. Each request adds ratio retries, and
// perSecond retries are added each second, up to burst retries.
func NewRetryBudget(ratio, perSecond, burst float64, now time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, bucket: newTokenBucket(perSecond, burst, now)}
}

// AddRequest adds the retries that one request earns.
func (b *RetryBudget) AddRequest(now time.Time) { b.bucket.add(b.ratio, now) }

// TryTake takes one retry from the budget if it has one, and reports whether it
// did.
func (b *RetryBudget) TryTake(now time.Time) bool { return b.bucket.tryTake(1, now) }
