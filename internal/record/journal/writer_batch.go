package journal

import (
	"context"
	"errors"

	"wasabihoist/internal/record/platformlog"
)

// send appends one batch and reports whether the log took it. Nothing is sent
// while the journal cannot fold the log, because no verdict would be learnt.
func (w *Writer) send(ctx context.Context) bool {
	if w.journal.Unsupported() != nil {
		return false
	}
	b, carried := w.nextBatch()
	payload, err := encodeBatch(b)
	if err != nil {
		w.reject(carried)
		return false
	}
	_, err = w.log.Append(ctx, payload)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.doubtful = false
	case errors.Is(err, platformlog.ErrTooLarge) && len(carried) == 1:
		w.unsend(carried)
		w.drop(carried[0])
	case errors.Is(err, platformlog.ErrTooLarge):
		w.batchBytes = max(1, min(w.batchBytes, len(payload))/2)
		w.requeue(carried)
	case errors.Is(err, platformlog.ErrNotAppended):
		w.requeue(carried)
	default:
		w.doubtful = true
	}
	return err == nil
}

// nextBatch takes waiting records, then audit entries into the space that is
// left, or a barrier when there is nothing to send.
func (w *Writer) nextBatch() (batch, []*submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := batch{writer: w.name}
	var carried []*submission
	size := 0
	for _, list := range []*submissionList{&w.pending, &w.audit} {
		for s := list.front(); s != nil; s = list.front() {
			full := len(carried) >= w.options.MaxRecords || size+s.size > w.batchBytes
			if len(carried) > 0 && full {
				break
			}
			list.pop()
			if s.withdrawn {
				w.drop(s)
				continue
			}
			w.sequence++
			s.sequence = w.sequence
			w.sent.push(s)
			carried = append(carried, s)
			b.records = append(b.records, envelope{sequence: s.sequence, time: w.now(), record: s.record})
			size += s.size
		}
	}
	if len(b.records) == 0 {
		w.sequence++
		b.records = append(b.records, envelope{sequence: w.sequence, time: w.now(), record: Barrier{}})
	}
	return b, carried
}

// reject reports the records of a batch that cannot be encoded as absent.
func (w *Writer) reject(carried []*submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsend(carried)
	for _, s := range carried {
		if s.record != nil {
			w.drop(s)
		}
	}
}

// drop gives up on a record that is certainly absent. It needs the mutex.
func (w *Writer) drop(s *submission) {
	w.release(s)
	if s.audit {
		w.lost++
		return
	}
	close(s.absent)
}

// requeue puts the records of a refused append back, in order. Records that
// were withdrawn in the meantime are certainly absent. It needs the mutex.
func (w *Writer) requeue(carried []*submission) {
	w.unsend(carried)
	var records, audit []*submission
	for _, s := range carried {
		switch {
		case s.record == nil:
		case s.withdrawn:
			w.drop(s)
		case s.audit:
			audit = append(audit, s)
		default:
			records = append(records, s)
		}
	}
	w.pending.putBack(records)
	w.audit.putBack(audit)
}

// unsend takes the newest batch out of the sent records. It needs the mutex.
func (w *Writer) unsend(carried []*submission) {
	if len(carried) == 0 {
		return
	}
	first := carried[0].sequence
	items := w.sent.items
	for len(items) > 0 && items[len(items)-1].sequence >= first {
		if items[len(items)-1].record == nil {
			w.sent.abandoned--
		}
		items = items[:len(items)-1]
	}
	w.sent.items = items
	for _, s := range carried {
		s.sequence = 0
	}
}
