package journalbench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// Hold says for how long the fold waits while a snapshot of a large state is
// taken.
type Hold struct {
	RunningJobs   int
	EndedJobs     int
	Claims        int
	Organisations int
	SnapshotBytes int
	EncodeTime    time.Duration // EncodeTime is the longest of all snapshots.
	WaitTime      time.Duration // WaitTime is the longest wait of a record for the fold meanwhile.
	IdleTime      time.Duration // IdleTime is the same without snapshots.
	Memory        Memory
}

// measureHold folds one record after the other while snapshots are taken.
func measureHold(ctx context.Context, o Options) (Hold, error) {
	h := o.Hold
	j := journal.New()
	for _, s := range []series{
		{subject: subject{records: runningJob}, writer: "running@1", count: h.RunningJobs},
		{subject: subject{records: jobLife}, writer: "ended@1", count: h.EndedJobs, first: h.RunningJobs},
		{subject: subject{records: func(i int, _ int64) []journal.Record { return answeredClaim(i, o.AnswerBytes) }}, writer: "claims@1", count: h.Claims},
		{subject: subject{whole: func(count int) journal.Record { return Configuration(count) }}, writer: "operator@1", count: h.Organisations},
	} {
		s.batch, s.offset = o.Batch, j.Next()
		entries, _, err := s.payloads()
		if err != nil {
			return Hold{}, err
		}
		if err := j.Apply(s.offset, platformlog.Page{Entries: entries, Next: s.offset + int64(len(entries))}); err != nil {
			return Hold{}, err
		}
	}
	var err error
	const idle = 300 * time.Millisecond
	h.IdleTime, err = longestWait(ctx, j, "idle@1", func() error {
		time.Sleep(idle)
		return nil
	})
	if err != nil {
		return h, err
	}
	h.WaitTime, err = longestWait(ctx, j, "busy@1", func() error { return h.snapshots(j) })
	if err != nil {
		return h, err
	}
	h.Memory, err = measureMemory(ctx, j)
	return h, err
}

func (h *Hold) snapshots(j *journal.Journal) error {
	const count = 5
	for range count {
		began := time.Now()
		data, _, err := j.Snapshot()
		if err != nil {
			return err
		}
		h.EncodeTime = max(h.EncodeTime, time.Since(began))
		h.SnapshotBytes = len(data)
	}
	return nil
}

// longestWait folds a record each millisecond until the work is done, which
// starts after the first record.
func longestWait(ctx context.Context, j *journal.Journal, writer string, work func() error) (time.Duration, error) {
	longest := time.Duration(0)
	started := make(chan struct{})
	g := group.New(ctx)
	g.Go("fold", func(ctx context.Context) error {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			payload, err := journal.Encode(writer, sequence, time.Now(), journal.Barrier{})
			if err != nil {
				return err
			}
			next := j.Next()
			began := time.Now()
			err = j.Apply(next, platformlog.Page{Entries: []platformlog.Entry{{Offset: next, Payload: payload}}, Next: next + 1})
			if err != nil {
				return fmt.Errorf("fold: %w", err)
			}
			longest = max(longest, time.Since(began))
			if sequence == 1 {
				close(started)
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	var err error
	select {
	case <-started:
		err = work()
	case <-g.Context().Done():
	}
	g.Stop()
	return longest, errors.Join(err, g.Wait())
}
