package journalbench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/run/bench/usage"
)

// chunkBytes is the size of snapshot chunks in production.
const chunkBytes = 200 << 10

// Fold is what a number of one kind of thing costs.
type Fold struct {
	Subject       string
	Count         int
	Records       int
	LogBytes      int           // LogBytes of all payloads, batched.
	LogBytesAlone int           // LogBytesAlone is for one with each record in an append of its own.
	HeapBytes     int64         // HeapBytes of the state without the window.
	FoldCPU       time.Duration // FoldCPU of all records.
	SnapshotBytes int
	EncodeTime    time.Duration
	DecodeTime    time.Duration
	StartTime     time.Duration // StartTime to find the snapshot on a log in memory and to restore it.
}

// series is a number of one subject on a log.
type series struct {
	subject
	writer string
	offset int64 // offset of the first append.
	first  int   // first is the number of the first identity.
	count  int
	batch  int // batch is the number of records in an append.
}

// payloads makes the log: all first records, then all second records and so on,
// as many of them in an append as the batch allows.
func (s series) payloads() ([]platformlog.Entry, int, error) {
	if s.whole != nil {
		payload, err := journal.Encode(s.writer, 1, time.Now(), s.whole(s.count))
		return []platformlog.Entry{{Offset: s.offset, Payload: payload}}, 1, err
	}
	steps := len(s.records(0, 0))
	var entries []platformlog.Entry
	sequence := uint64(1)
	for from := 0; from < s.count; from += s.batch {
		offset := s.offset + int64(len(entries))
		for step := range steps {
			var records []journal.Record
			for i := from; i < min(s.count, from+s.batch); i++ {
				records = append(records, s.records(s.first+i, offset)[step])
			}
			payload, err := journal.Encode(s.writer, sequence, time.Now(), records...)
			if err != nil {
				return nil, 0, err
			}
			sequence += uint64(len(records))
			entries = append(entries, platformlog.Entry{Offset: offset + int64(step), Payload: payload})
		}
	}
	return entries, int(sequence - 1), nil
}

func measureFold(ctx context.Context, s subject, count, batch int) (Fold, error) {
	const writer = "bench@1"
	entries, records, err := series{subject: s, writer: writer, offset: 1, count: count, batch: batch}.payloads()
	if err != nil {
		return Fold{}, err
	}
	alone, _, err := series{subject: s, writer: writer, offset: 1, count: 1, batch: 1}.payloads()
	if err != nil {
		return Fold{}, err
	}
	f := Fold{Subject: s.name, Count: count, Records: records, LogBytes: payloadBytes(entries), LogBytesAlone: payloadBytes(alone)}
	j := journal.New()
	invalid := 0
	j.Observe(func(_ string, _ uint64, _ journal.Record, v journal.Verdict) {
		if !v.Valid {
			invalid++
		}
	})
	began := usage.ProcessorTime()
	if err := j.Apply(1, platformlog.Page{Entries: entries, Next: int64(len(entries) + 1)}); err != nil {
		return Fold{}, err
	}
	f.FoldCPU = usage.ProcessorTime() - began
	if invalid > 0 {
		return Fold{}, fmt.Errorf("%d records are not valid", invalid)
	}
	return f, f.measureSnapshot(ctx, j)
}

func payloadBytes(entries []platformlog.Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Payload)
	}
	return total
}

func (f *Fold) measureSnapshot(ctx context.Context, j *journal.Journal) error {
	began := time.Now()
	data, _, err := j.Snapshot()
	if err != nil {
		return err
	}
	f.EncodeTime = time.Since(began)
	f.SnapshotBytes = len(data)
	before := usage.Heap()
	restored := journal.New()
	began = time.Now()
	if err := restored.Restore(data); err != nil {
		return err
	}
	f.DecodeTime = time.Since(began)
	f.HeapBytes = usage.Heap() - before
	runtime.KeepAlive(restored)
	runtime.KeepAlive(data)
	log, err := snapshotLog(j)
	if err != nil {
		return err
	}
	began = time.Now()
	if err := restoreFrom(ctx, log, journal.New()); err != nil {
		return err
	}
	f.StartTime = time.Since(began)
	return nil
}

// memoryLog is a log of fixed entries with ascending offsets without gaps.
type memoryLog []platformlog.Entry

func snapshotLog(j *journal.Journal) (memoryLog, error) {
	var log memoryLog
	err := writeChunks(j, func(chunk journal.SnapshotChunk) error {
		payload, err := journal.Encode("bench@1", uint64(chunk.Index+1), time.Now(), chunk)
		log = append(log, platformlog.Entry{Offset: chunk.Covers + int64(chunk.Index), Payload: payload})
		return err
	})
	return log, err
}

// Append implements platformlog.Log.
func (memoryLog) Append(context.Context, []byte) (int64, error) {
	return 0, errors.New("the log takes no records")
}

// Read implements platformlog.Log.
func (l memoryLog) Read(_ context.Context, from int64, limit int, _ time.Duration) (platformlog.Page, error) {
	earliest := l[0].Offset
	page := platformlog.Page{Next: from, Earliest: earliest}
	if from < earliest {
		return page, platformlog.ErrExpired
	}
	first := min(int(from-earliest), len(l))
	page.Entries = l[first:min(len(l), first+limit)]
	page.Next = from + int64(len(page.Entries))
	return page, nil
}
