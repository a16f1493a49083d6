package routing

import (
	"sync"
	"time"
)

// bucket is a token bucket. It may be spent below zero by costs that are known
// only afterwards. It is safe for concurrent use.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // rate is in tokens per second.
	burst  float64
	tokens float64
	filled time.Time // filled is when tokens was last computed.
}

func newBucket(rate, burst float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, filled: now}
}

// refill needs the mutex.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
		b.filled = now
	}
}

// take spends n tokens when there are as many.
func (b *bucket) take(n float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// has reports whether there are n tokens, without spending them.
func (b *bucket) has(n float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= n
}

// add changes the tokens by n, which may be negative.
func (b *bucket) add(n float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+n)
}

// RetryBudget bounds retries to a share of requests plus a constant rate, so that
// retries cannot multiply the load of a failure. It is safe for concurrent use.
type RetryBudget struct {
	share  float64
	bucket *bucket
}

// NewBudget returns a full budget.
func NewBudget(share, perSecond, burst float64, now time.Time) *RetryBudget {
	return &RetryBudget{share: share, bucket: newBucket(perSecond, burst, now)}
}

// AddRequest adds the share of one request.
func (b *RetryBudget) AddRequest(now time.Time) { b.bucket.add(b.share, now) }

// Take reports whether a retry is allowed, and counts it.
func (b *RetryBudget) Take(now time.Time) bool { return b.bucket.take(1, now) }
