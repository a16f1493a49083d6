package journal_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"wasabihoist/internal/record/platformlog"
)

// faultyLog is a log in memory that fails at random: appends are refused, lose
// their answer with or without effect, arrive late, or are slow, and there are
// outages.
type faultyLog struct {
	mu       sync.Mutex
	random   *rand.Rand
	payloads [][]byte
	late     [][]byte
	outage   int // outage is the number of calls that still fail.
	healthy  bool
	changed  chan struct{}
}

var errOutage = errors.New("outage")

func newFaultyLog(seed uint64) *faultyLog {
	return &faultyLog{random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
}

func (l *faultyLog) Append(ctx context.Context, payload []byte) (int64, error) {
	l.mu.Lock()
	fault, slow := l.random.IntN(10), time.Duration(l.random.IntN(5))*time.Millisecond
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(slow):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healthy {
		return l.add(payload), nil
	}
	l.deliverLate()
	if l.outage > 0 {
		l.outage--
		return 0, platformlog.ErrNotAppended
	}
	switch fault {
	case 0:
		return 0, platformlog.ErrNotAppended
	case 1:
		l.add(payload)
		return 0, errLost
	case 2:
		return 0, errLost
	case 3:
		l.late = append(l.late, payload)
		return 0, errLost
	case 4:
		l.outage = l.random.IntN(20)
	}
	return l.add(payload), nil
}

func (l *faultyLog) deliverLate() {
	if len(l.late) > 0 && l.random.IntN(3) == 0 {
		l.add(l.late[0])
		l.late = l.late[1:]
	}
}

func (l *faultyLog) add(payload []byte) int64 {
	l.payloads = append(l.payloads, payload)
	close(l.changed)
	l.changed = make(chan struct{})
	return int64(len(l.payloads))
}

// heal ends all faults and delivers what is still on its way. It returns the
// first offset that is not taken.
func (l *faultyLog) heal() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healthy, l.outage = true, 0
	for _, p := range l.late {
		l.add(p)
	}
	l.late = nil
	return int64(len(l.payloads)) + 1
}

func (l *faultyLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		page, changed, outage := l.page(from, limit), l.changed, l.outage
		l.outage = max(0, l.outage-1)
		l.mu.Unlock()
		if outage > 0 {
			return platformlog.Page{}, errOutage
		}
		if len(page.Entries) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *faultyLog) page(from int64, limit int) platformlog.Page {
	page := platformlog.Page{Next: from, Earliest: 1}
	for i := from; i <= int64(len(l.payloads)) && len(page.Entries) < limit; i++ {
		page.Entries = append(page.Entries, platformlog.Entry{Offset: i, Payload: l.payloads[i-1]})
		page.Next = i + 1
	}
	return page
}
