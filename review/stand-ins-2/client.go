package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	taskCPU = 8000
	taskGPU = 1
)

// step is a step of a job.
type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	Memory       int   `json:"memMb"`
	GPU          int   `json:"gpu"`
	EstimateMs   int   `json:"estimateMs,omitempty"`
	LongRunning  bool  `json:"longRunning,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
	MayMiss      int   `json:"mayMiss,omitempty"`
	DependsOn    []int `json:"dependsOn,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
}

// call sends a request of a client to an entry. It returns status 0 if there was no
// answer within the time.
func (d *deployment) call(method, front, path string, body any, within time.Duration) (int, string) {
	data := ""
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		data = string(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = clientHost
	r.Header.Set(names["credential"], clientKey)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	d.log.write("client", "%s %s to %s %s", method, path, front, data)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		d.log.write("client", "%s %s: no answer, the client leaves: %v", method, path, ctx.Err())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	d.log.write("client", "%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, string(answer)
}

// deadline is how long clients wait for an answer.
const deadline = 3 * time.Second

// submit submits a job and returns the status of the answer.
func (d *deployment) submit(front, path, spec string, steps ...step) int {
	status, _ := d.call(http.MethodPost, front, path, map[string]any{"spec": spec, "steps": steps}, deadline)
	return status
}
