package journal

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// submission is a record on its way to the log.
type submission struct {
	record   Record // record is nil once nobody waits for it.
	size     int    // size is the encoded size in bytes.
	audit    bool   // audit entries have no caller that waits.
	sequence uint64 // sequence of the append that carries it; 0 while it waits.
	released bool   // released submissions no longer count against the bounds.
	// withdrawn submissions are not sent again, because their caller gives up
	// unless the append in flight is settled at once.
	withdrawn bool

	result  chan Verdict  // result receives the verdict; buffered.
	absent  chan struct{} // absent is closed when the record will never be folded.
	skipped chan struct{} // skipped is closed when a snapshot hides the verdict.
}

// newSubmission checks that the record can be encoded and read back, so that
// one bad record cannot spoil the append that it shares with others.
func newSubmission(r Record, audit bool) (*submission, error) {
	message := recordToWire(r)
	if _, err := recordFromWire(message); err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return &submission{
		record:  r,
		size:    len(encoded) + envelopeBytes,
		audit:   audit,
		result:  make(chan Verdict, 1),
		absent:  make(chan struct{}),
		skipped: make(chan struct{}),
	}, nil
}

// await waits until the submission is settled, for at most limit. A verdict
// stays in the result channel.
func (s *submission) await(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-s.result:
		s.result <- v
	case <-s.absent:
	case <-s.skipped:
	case <-timer.C:
	}
}

// submissionList holds submissions in order. Abandoned ones stay as empty
// entries until they are at the front or outnumber the others.
type submissionList struct {
	items     []*submission
	abandoned int
}

func (l *submissionList) empty() bool { return len(l.items) == l.abandoned }

func (l *submissionList) push(s *submission) { l.items = append(l.items, s) }

// front returns the first submission that is not abandoned, or nil.
func (l *submissionList) front() *submission {
	for len(l.items) > 0 {
		if s := l.items[0]; s.record != nil {
			return s
		}
		l.pop()
	}
	return nil
}

func (l *submissionList) pop() {
	if l.items[0].record == nil {
		l.abandoned--
	}
	l.items[0] = nil
	l.items = l.items[1:]
}

// putBack returns submissions to the front.
func (l *submissionList) putBack(list []*submission) {
	l.items = slices.Concat(list, l.items)
}

// abandon empties a submission that is in the list.
func (l *submissionList) abandon(s *submission) {
	s.record = nil
	l.abandoned++
	if l.abandoned > len(l.items)/2 {
		l.items = slices.DeleteFunc(l.items, func(s *submission) bool { return s.record == nil })
		l.abandoned = 0
	}
}
