package minionhost

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"wasabihoist/internal/traffic/minion"
)

const maxBody = 16 << 20

func (in *instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+minion.PathWork, in.withStalls(in.handleWork))
	mux.HandleFunc("GET "+minion.PathWork, in.withStalls(in.handleQuestion))
	mux.HandleFunc("GET "+minion.PathProbe, in.withStalls(in.handleProbe))
	mux.HandleFunc("GET /v1/executions", in.host.handleExecutions)
	mux.HandleFunc("PUT /v1/faults", in.host.handleFaults)
	mux.HandleFunc("POST /v1/crash", control(in.host.Crash))
	mux.HandleFunc("POST /v1/leave", control(in.host.Leave))
	mux.HandleFunc("POST /v1/silence", control(in.host.SilenceConnections))
	return mux
}

func control(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}

// withStalls reads the body first, so that the end of the connection is seen
// while the handler waits.
func (in *instance) withStalls(next func(w http.ResponseWriter, r *http.Request, body []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		waitIfSilent(r)
		in.waitWhileFrozen()
		next(w, r, body)
	}
}

func (in *instance) handleProbe(w http.ResponseWriter, _ *http.Request, _ []byte) {
	w.Header().Set(minion.HeaderIncarnation, strconv.FormatInt(in.incarnation, 10))
	w.Header().Set(minion.HeaderState, string(in.announcement().State))
}

func (h *Host) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.ExecutionCounts())
}

func (in *instance) handleWork(w http.ResponseWriter, r *http.Request, body []byte) {
	requestID := r.Header.Get(minion.HeaderRequestID)
	faults := in.host.takeFaults()
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !in.startWork(requestID) {
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	// A minion does not notice that its caller has gone: work goes on.
	if !in.spend(in.host.workTime(r.Header.Get(minion.HeaderKind), body) + faults.Slow) {
		panic(http.ErrAbortHandler)
	}
	answer := in.finishWork(requestID, body, faults.FailAll)
	in.waitWhileFrozen()
	waitIfSilent(r)
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	in.write(w, answer, faults)
}

func (in *instance) handleQuestion(w http.ResponseWriter, r *http.Request, _ []byte) {
	answer := in.known(r.Header.Get(minion.HeaderRequestID))
	switch {
	case answer == nil:
		http.Error(w, "not known", http.StatusNotFound)
	case answer.running:
		w.WriteHeader(http.StatusAccepted)
	default:
		in.write(w, answer, in.host.takeFaults())
	}
}

func (in *instance) write(w http.ResponseWriter, answer *stored, faults Faults) {
	if faults.Cross {
		answer = in.another(answer)
	}
	w.Header().Set(minion.HeaderRequestID, answer.requestID)
	w.Header().Set(minion.HeaderIncarnation, strconv.FormatInt(in.incarnation, 10))
	w.Header().Set(minion.HeaderChecksum, minion.Checksum(answer.body))
	if answer.failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	body := answer.body
	if faults.Truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}
