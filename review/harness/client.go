package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// job is a job of one step that a client submits.
type job struct {
	id        string
	spec      string
	queue     string // queue is the path prefix.
	label     string // label is what its minions must have; empty for any.
	gang      bool
	count     int
	need      resources
	estimate  time.Duration
	spread    int // spread is the most tasks of it on one minion; 0 is no limit.
	work      work
	doneTasks map[string]bool
	lastRun   time.Time // lastRun is when a run of it was last started.
	sent      time.Time
	accepted  time.Time
}

// submit hands a job in as a client does, and reports whether it was accepted.
func (d *deployment) submit(j *job) bool {
	j.spec = "spec of " + j.id
	j.work.job = j
	j.doneTasks = make(map[string]bool)
	d.fleet.mu.Lock()
	d.fleet.jobs[j.id] = j
	d.fleet.mu.Unlock()
	step := map[string]any{"count": j.count, "cpu": j.need.cpu, "memMb": j.need.mem, "gpu": j.need.gpu, "estimateMs": j.estimate.Milliseconds()}
	for key, set := range map[string]bool{"gang": j.gang, "longRunning": j.work.lasting} {
		if set {
			step[key] = true
		}
	}
	if j.spread > 0 {
		step["antiAffinity"] = j.spread
	}
	if j.label != "" {
		step["requires"] = j.label
	}
	body := map[string]any{"spec": j.spec, "steps": []any{step}}
	j.sent = time.Now()
	const tries = 5
	for i := range tries {
		status, _ := d.call(i, http.MethodPost, j.queue+j.id, body)
		if status == http.StatusOK {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// call makes a call of a client at an entry and returns the status, 0 for none.
func (d *deployment) call(entry int, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	const wait = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.entries[entry%len(d.entries)].front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = clientHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(names["key"], clientKey)
	r.Header.Set(names["wait"], fmt.Sprint(wait.Milliseconds()))
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		d.rec.add("call", "method", method, "path", path, "error", err)
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	var reply map[string]any
	_ = json.Unmarshal(text, &reply)
	d.rec.add("call", "entry", entry%len(d.entries)+1, "method", method, "path", path, "status", answer.StatusCode, "reply", string(text))
	return answer.StatusCode, reply
}

// state returns the state of a job that its client is shown.
func (d *deployment) state(j *job) string {
	for i := range d.entries {
		if status, reply := d.call(i, http.MethodGet, j.queue+j.id, nil); status == http.StatusOK {
			s, _ := reply["state"].(string)
			return s
		}
	}
	return "no answer"
}
