package workerhost

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/fleet/worker"
)

const (
	maxBody = 1 << 20
	maxWait = 30 * time.Second
)

// Handler returns the HTTP handler of the worker.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+worker.PathLease, h.withFaults(h.handleLease))
	mux.HandleFunc("GET "+worker.PathTasks, h.withFaults(h.handleList))
	mux.HandleFunc("GET "+worker.PathUsage, h.withFaults(h.handleUsage))
	mux.HandleFunc("POST "+worker.PathStart, h.withFaults(h.holdStart(h.onTask(h.handleStart))))
	mux.HandleFunc("POST "+worker.PathThrottle, h.withFaults(h.onTask(h.handleThrottle)))
	mux.HandleFunc("POST "+worker.PathStop, h.withFaults(h.onTask(h.handleStop)))
	mux.HandleFunc("POST "+worker.PathCheckpoint, h.withFaults(h.delayCheckpoint(h.onTask(h.handleCheckpoint))))
	mux.HandleFunc("PUT "+worker.PathFaults, h.handleFaults)
	return mux
}

func (h *Host) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		faults, crashed, thawed := h.faults, h.crashed, h.thawed
		h.mu.Unlock()
		switch {
		case crashed:
			panic(http.ErrAbortHandler) // closes the connection without an answer
		case faults.Hang:
			// The server notices that the caller has gone only when the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case faults.Freeze:
			<-thawed // the call takes effect later, even when the caller has gone
		}
		next(w, r)
	}
}

// holdStart holds the call back while starts are held.
func (h *Host) holdStart(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		held, thawed := h.faults.HoldStarts, h.thawed
		h.mu.Unlock()
		if held {
			<-thawed
		}
		next(w, r)
	}
}

// delayCheckpoint delays or hangs the call before it takes effect.
func (h *Host) delayCheckpoint(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		delay := h.faults.CheckpointDelay
		h.mu.Unlock()
		var due <-chan time.Time
		if delay >= 0 {
			due = time.After(delay)
		}
		body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-due:
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errStale):
		status = http.StatusConflict
	case errors.Is(err, errUnknown):
		status = http.StatusNotFound
	case errors.Is(err, errGone):
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}

func (h *Host) handleLease(w http.ResponseWriter, r *http.Request) {
	var m worker.LeaseRequest
	if !webserver.DecodeJSON(w, r, maxBody, &m) {
		return
	}
	lease := worker.Lease{Holder: m.Holder, Epoch: m.Epoch, TTL: time.Duration(m.TTLMillis) * time.Millisecond}
	h.mu.Lock()
	err := h.acquire(lease)
	h.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	wait := min(maxWait, time.Duration(m.WaitMillis)*time.Millisecond)
	writeJSON(w, worker.FromReport(h.awaitReport(r, m.After, wait)))
}

func (h *Host) awaitReport(r *http.Request, after int64, wait time.Duration) worker.Report {
	timeout := time.After(wait)
	for waiting := true; ; {
		h.mu.Lock()
		report, changed, crashed := h.report(after), h.changed, h.crashed
		h.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if len(report.Tasks) > 0 || !waiting {
			return report
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
	}
}

func (h *Host) handleList(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	writeJSON(w, worker.ListingMessage{
		Holder:        h.lease.Holder,
		Epoch:         h.lease.Epoch,
		ReportMessage: worker.FromReport(h.report(0)),
	})
}

func (h *Host) handleUsage(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := []worker.UsageMessage{}
	for _, u := range h.usage() {
		reply = append(reply, worker.FromUsage(u))
	}
	writeJSON(w, reply)
}

// onTask checks the lease, carries out the call and answers with the task.
func (h *Host) onTask(carryOut func(worker.TaskRequest) (*task, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m worker.TaskRequest
		if !webserver.DecodeJSON(w, r, maxBody, &m) {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.crashed || h.faults.LoseAnswers {
			defer func() { panic(http.ErrAbortHandler) }()
		}
		if !h.holds(m.Holder, m.Epoch) {
			writeError(w, errStale)
			return
		}
		t, err := carryOut(m)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, worker.FromTask(t.report()))
	}
}

func (h *Host) known(name string) (*task, error) {
	if t := h.tasks[name]; t != nil && !t.tombstone {
		return t, nil
	}
	return nil, errUnknown
}

func (h *Host) handleStart(m worker.TaskRequest) (*task, error) {
	if m.Spec == nil {
		return nil, errRefused
	}
	return h.start(m.Spec.ToSpec(m.Task))
}

func (h *Host) handleThrottle(m worker.TaskRequest) (*task, error) {
	t, err := h.known(m.Task)
	if err == nil {
		h.throttle(t, m.Cores)
	}
	return t, err
}

func (h *Host) handleStop(m worker.TaskRequest) (*task, error) { return h.stop(m.Task) }

func (h *Host) handleCheckpoint(m worker.TaskRequest) (*task, error) {
	t, err := h.known(m.Task)
	if err == nil {
		h.checkpoint(t)
	}
	return t, err
}

type faultsRequest struct {
	FailTasks             bool  `json:"fail-tasks"`
	RefuseStarts          bool  `json:"refuse-starts"`
	Hang                  bool  `json:"hang"`
	Freeze                bool  `json:"freeze"`
	HoldStarts            bool  `json:"hold-starts"`
	LoseAnswers           bool  `json:"lose-answers"`
	CheckpointDelayMillis int64 `json:"checkpoint-delay-ms"`
	Crashed               bool  `json:"crashed"`
}

func (h *Host) handleFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsRequest
	if !webserver.DecodeJSON(w, r, maxBody, &m) {
		return
	}
	h.SetFaults(Faults{
		FailTasks:       m.FailTasks,
		RefuseStarts:    m.RefuseStarts,
		Hang:            m.Hang,
		Freeze:          m.Freeze,
		HoldStarts:      m.HoldStarts,
		LoseAnswers:     m.LoseAnswers,
		CheckpointDelay: time.Duration(m.CheckpointDelayMillis) * time.Millisecond,
	})
	h.mu.Lock()
	crashed := h.crashed
	h.mu.Unlock()
	switch {
	case m.Crashed && !crashed:
		h.Crash()
	case !m.Crashed && crashed:
		h.Restart()
	}
	w.WriteHeader(http.StatusNoContent)
}
