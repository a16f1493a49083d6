package agent

import (
	"time"

	"wasabihoist/internal/traffic/request"
)

// answerOverhead is the approximate memory of a cached answer without its body,
// in bytes.
const answerOverhead = 256

type cachedAnswer struct {
	answer    request.Answer
	expiresAt time.Time
}

// answerCache keeps answers for a limited time in bounded memory. It evicts the
// oldest answer first.
type answerCache struct {
	retention time.Duration
	maxBytes  int
	bytes     int
	byID      map[request.Identity]cachedAnswer
	order     []request.Identity // order lists the identities by the time of their answer.
}

func newAnswerCache(retention time.Duration, maxBytes int) *answerCache {
	return &answerCache{retention: retention, maxBytes: maxBytes, byID: map[request.Identity]cachedAnswer{}}
}

func (a *answerCache) add(answer request.Answer, now time.Time) {
	if _, known := a.byID[answer.Identity]; known || answerSize(answer) > a.maxBytes {
		return
	}
	a.byID[answer.Identity] = cachedAnswer{answer, now.Add(a.retention)}
	a.order = append(a.order, answer.Identity)
	a.bytes += answerSize(answer)
	a.evict(now)
}

func (a *answerCache) get(id request.Identity, now time.Time) (request.Answer, bool) {
	cached, ok := a.byID[id]
	return cached.answer, ok && now.Before(cached.expiresAt)
}

func (a *answerCache) evict(now time.Time) {
	for len(a.order) > 0 {
		oldest := a.byID[a.order[0]]
		if a.bytes <= a.maxBytes && now.Before(oldest.expiresAt) {
			return
		}
		a.bytes -= answerSize(oldest.answer)
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func answerSize(a request.Answer) int { return answerOverhead + len(a.Body) }
