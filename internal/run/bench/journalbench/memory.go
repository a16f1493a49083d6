package journalbench

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/snapshot"
	"wasabihoist/internal/run/bench/usage"
)

// Memory is what a snapshot needs beside the state, with the garbage of an
// eager collector.
type Memory struct {
	WriteBytes   int64         // WriteBytes is the most that is held while the chunks are made.
	WriteTime    time.Duration // WriteTime of all chunks without the log.
	RestoreBytes int64         // RestoreBytes is the most that is held beside the log and the restored state.
	RestoreTime  time.Duration // RestoreTime from a log in memory.
}

func measureMemory(ctx context.Context, j *journal.Journal) (Memory, error) {
	var m Memory
	var err error
	var peak, after int64
	before := usage.Heap()
	peak, m.WriteTime, err = heapPeak(ctx, func() error { return writeChunks(j, discardChunk) })
	if err != nil {
		return m, err
	}
	m.WriteBytes = peak - before
	log, err := snapshotLog(j)
	if err != nil {
		return m, err
	}
	restored := journal.New()
	peak, m.RestoreTime, err = heapPeak(ctx, func() error { return restoreFrom(ctx, log, restored) })
	if err != nil {
		return m, err
	}
	after = usage.Heap()
	m.RestoreBytes = peak - after
	runtime.KeepAlive(restored)
	runtime.KeepAlive(log)
	return m, nil
}

func discardChunk(journal.SnapshotChunk) error { return nil }

// writeChunks hands out the chunks of a snapshot of the journal.
func writeChunks(j *journal.Journal, write func(journal.SnapshotChunk) error) error {
	data, covers, err := j.Snapshot()
	if err != nil {
		return err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		if err := write(journal.SnapshotChunk{Covers: covers, Index: i, Count: count, State: part}); err != nil {
			return err
		}
	}
	return nil
}

func restoreFrom(ctx context.Context, log memoryLog, restored *journal.Journal) error {
	found, err := snapshot.NewScan(log).Snapshot(ctx, log[0].Offset)
	if err != nil {
		return err
	}
	return restored.Restore(found)
}

// heapPeak returns the highest size of the heap while work runs, and the time
// of the work. The collector runs early, so that garbage counts little.
func heapPeak(ctx context.Context, work func() error) (int64, time.Duration, error) {
	const collectorPercent = 5
	defer debug.SetGCPercent(debug.SetGCPercent(collectorPercent))
	peak := int64(0)
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	g := group.New(ctx)
	g.Go("sampler", func(ctx context.Context) error {
		for ctx.Err() == nil {
			metrics.Read(sample)
			peak = max(peak, int64(sample[0].Value.Uint64()))
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	began := time.Now()
	err := work()
	took := time.Since(began)
	g.Stop()
	if waited := g.Wait(); err == nil {
		err = waited
	}
	return peak, took, err
}
