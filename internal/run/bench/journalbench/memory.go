package journalbench

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/peer"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/snapshot"
	"wasabihoist/internal/run/bench/usage"
)

// Memory is what a snapshot needs beside the state, with the garbage of an
// eager collector.
type Memory struct {
	WriteBytes   int64         // WriteBytes is the most that is held while the chunks are made.
	WriteLive    int64         // WriteLive is the same without garbage, at every tenth chunk.
	WriteTime    time.Duration // WriteTime of all chunks without the log.
	RestoreBytes int64         // RestoreBytes is the most that is held beside the log and the restored state.
	RestoreTime  time.Duration // RestoreTime from a log in memory.
	PeerBytes    int64         // PeerBytes are the most that two processes hold beside both states while one gives its state to the other.
	PeerTime     time.Duration // PeerTime over a loopback connection.
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
	err = writeChunks(j, func(chunk journal.SnapshotChunk) error {
		if chunk.Index%10 == 0 {
			m.WriteLive = max(m.WriteLive, usage.Heap()-before)
		}
		return nil
	})
	if err != nil {
		return m, err
	}
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
	m.PeerBytes, m.PeerTime, err = measurePeer(ctx, j)
	return m, err
}

// measurePeer takes the state of a journal over a connection.
func measurePeer(ctx context.Context, j *journal.Journal) (int64, time.Duration, error) {
	server := httptest.NewServer(peer.NewHandler(peer.NewServer(j, nil)))
	defer server.Close()
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	if err != nil {
		return 0, 0, fmt.Errorf("address of the peer: %w", err)
	}
	restored := journal.New()
	peak, took, err := heapPeak(ctx, func() error {
		state, err := peer.NewClient(address, nil).Snapshot(ctx, 1)
		if err != nil {
			return err
		}
		return restored.Adopt(state)
	})
	after := usage.Heap()
	runtime.KeepAlive(restored)
	return peak - after, took, err
}

func discardChunk(journal.SnapshotChunk) error { return nil }

// writeChunks hands out the chunks of a snapshot of the journal.
func writeChunks(j *journal.Journal, write func(journal.SnapshotChunk) error) error {
	for chunk, err := range j.Capture().Chunks(chunkBytes) {
		if err != nil {
			return err
		}
		if err := write(chunk); err != nil {
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
	return restored.Adopt(found)
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
