package agent

import (
	"time"

	"wasabihoist/internal/traffic/request"
)

// answerOverhead is about the memory of a kept answer without its body.
const answerOverhead = 256

type keptAnswer struct {
	answer request.Answer
	until  time.Time
}

// answers keeps answers for a limited time in bounded memory; the oldest is
// forgotten first.
type answers struct {
	keep  time.Duration
	limit int
	size  int
	byID  map[request.Identity]keptAnswer
	order []request.Identity // order is by time of the answer.
}

func newAnswers(keep time.Duration, limit int) *answers {
	return &answers{keep: keep, limit: limit, byID: map[request.Identity]keptAnswer{}}
}

func (a *answers) add(answer request.Answer, now time.Time) {
	if _, known := a.byID[answer.Identity]; known || answerSize(answer) > a.limit {
		return
	}
	a.byID[answer.Identity] = keptAnswer{answer, now.Add(a.keep)}
	a.order = append(a.order, answer.Identity)
	a.size += answerSize(answer)
	a.evict(now)
}

func (a *answers) get(id request.Identity, now time.Time) (request.Answer, bool) {
	k, ok := a.byID[id]
	return k.answer, ok && now.Before(k.until)
}

func (a *answers) evict(now time.Time) {
	for len(a.order) > 0 {
		oldest := a.byID[a.order[0]]
		if a.size <= a.limit && now.Before(oldest.until) {
			return
		}
		a.size -= answerSize(oldest.answer)
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func answerSize(a request.Answer) int { return answerOverhead + len(a.Body) }
