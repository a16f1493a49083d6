package journalbench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

type foldJSON struct {
	Subject          string  `json:"subject"`
	Count            int     `json:"count"`
	Records          int     `json:"records"`
	LogBytesEach     float64 `json:"log-bytes-each"`
	LogBytesAlone    int     `json:"log-bytes-alone"`
	HeapBytesEach    float64 `json:"heap-bytes-each"`
	CPUMicrosRecord  float64 `json:"cpu-us-per-record"`
	SnapshotBytes    int     `json:"snapshot-bytes"`
	EncodeMillis     float64 `json:"encode-ms"`
	DecodeMillis     float64 `json:"decode-ms"`
	StartMillis      float64 `json:"start-ms"`
	TotalLogBytes    int     `json:"log-bytes"`
	TotalHeapBytes   int64   `json:"heap-bytes"`
	TotalFoldCPUTime float64 `json:"fold-cpu-ms"`
}

type holdJSON struct {
	RunningJobs   int     `json:"running-jobs"`
	EndedJobs     int     `json:"ended-jobs"`
	Claims        int     `json:"claims"`
	Organisations int     `json:"organisations"`
	SnapshotBytes int     `json:"snapshot-bytes"`
	EncodeMillis  float64 `json:"encode-ms"`
	WaitMillis    float64 `json:"wait-ms"`
	IdleMillis    float64 `json:"idle-wait-ms"`
	WriteBytes    int64   `json:"write-memory-bytes"`
	WriteLive     int64   `json:"write-live-bytes"`
	WriteMillis   float64 `json:"write-ms"`
	RestoreBytes  int64   `json:"restore-memory-bytes"`
	RestoreMillis float64 `json:"restore-ms"`
	PeerBytes     int64   `json:"peer-memory-bytes"`
	PeerMillis    float64 `json:"peer-ms"`
}

type throughputJSON struct {
	Writers          int     `json:"writers"`
	Relays           int     `json:"relays"`
	Seconds          float64 `json:"seconds"`
	Records          int64   `json:"records"`
	Failed           int64   `json:"failed"`
	AppendsPerSecond float64 `json:"appends-per-second"`
	RecordsPerSecond float64 `json:"records-per-second"`
	LatencyP50       float64 `json:"latency-p50-ms"`
	LatencyP99       float64 `json:"latency-p99-ms"`
	LatencyMax       float64 `json:"latency-max-ms"`
	CPUPerSecond     float64 `json:"cpu-per-second"`
}

type resultJSON struct {
	Folds   []foldJSON       `json:"folds"`
	Hold    holdJSON         `json:"snapshot-hold"`
	Writers []throughputJSON `json:"writers"`
}

// JSON formats the result with names in kebab case.
func (r Result) JSON() ([]byte, error) {
	out := resultJSON{Hold: holdToJSON(r.Hold)}
	for _, f := range r.Folds {
		out.Folds = append(out.Folds, foldToJSON(f))
	}
	for _, t := range r.Writers {
		out.Writers = append(out.Writers, throughputToJSON(t))
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode result: %w", err)
	}
	return data, nil
}

func (r Result) write(w io.Writer) error {
	if w == nil {
		return nil
	}
	data, err := r.JSON()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "%s\n", data); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func foldToJSON(f Fold) foldJSON {
	count := float64(max(1, f.Count))
	return foldJSON{
		Subject: f.Subject, Count: f.Count, Records: f.Records,
		LogBytesEach:     float64(f.LogBytes) / count,
		LogBytesAlone:    f.LogBytesAlone,
		HeapBytesEach:    float64(f.HeapBytes) / count,
		CPUMicrosRecord:  float64(f.FoldCPU.Microseconds()) / float64(max(1, f.Records)),
		SnapshotBytes:    f.SnapshotBytes,
		EncodeMillis:     millis(f.EncodeTime),
		DecodeMillis:     millis(f.DecodeTime),
		StartMillis:      millis(f.StartTime),
		TotalLogBytes:    f.LogBytes,
		TotalHeapBytes:   f.HeapBytes,
		TotalFoldCPUTime: millis(f.FoldCPU),
	}
}

func holdToJSON(h Hold) holdJSON {
	return holdJSON{
		RunningJobs: h.RunningJobs, EndedJobs: h.EndedJobs, Claims: h.Claims, Organisations: h.Organisations,
		SnapshotBytes: h.SnapshotBytes,
		EncodeMillis:  millis(h.EncodeTime),
		WaitMillis:    millis(h.WaitTime),
		IdleMillis:    millis(h.IdleTime),
		WriteBytes:    h.Memory.WriteBytes,
		WriteLive:     h.Memory.WriteLive,
		WriteMillis:   millis(h.Memory.WriteTime),
		RestoreBytes:  h.Memory.RestoreBytes,
		RestoreMillis: millis(h.Memory.RestoreTime),
		PeerBytes:     h.Memory.PeerBytes,
		PeerMillis:    millis(h.Memory.PeerTime),
	}
}

func throughputToJSON(t Throughput) throughputJSON {
	return throughputJSON{
		Writers: t.Writers, Relays: t.Relays, Seconds: t.Seconds, Records: t.Records, Failed: t.Failed,
		AppendsPerSecond: t.AppendsPerSecond, RecordsPerSecond: t.RecordsPerSecond,
		LatencyP50: millis(t.LatencyP50), LatencyP99: millis(t.LatencyP99), LatencyMax: millis(t.LatencyMax),
		CPUPerSecond: t.CPUPerSecond,
	}
}
