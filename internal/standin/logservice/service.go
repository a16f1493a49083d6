package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/record/platformlog"
)

const (
	maxWait    = 30 * time.Second
	maxPerRead = 1000
)

// Faults are the failures that the stand-in can produce.
type Faults struct {
	Outage     bool          // Outage refuses every call.
	Hang       bool          // Hang accepts calls and never answers them.
	Delay      time.Duration // Delay is added to every answer.
	LoseAnswer float64       // LoseAnswer is the share of appends, 0 to 1, whose answer is lost after the effect.
}

// Service is the HTTP interface of the stand-in.
type Service struct {
	store *store

	mu     sync.Mutex
	faults Faults
}

// New returns a service with the given limits.
func New(limits Limits) *Service {
	return &Service{store: newStore(limits, time.Now)}
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.withFaults(s.handleAppend))
	mux.HandleFunc("GET /v1/records", s.withFaults(s.handleRead))
	mux.HandleFunc("PUT /v1/faults", s.handleFaults)
	return mux
}

func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		if f.Hang {
			// The server notices the end of a connection only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if f.Delay > 0 {
			sleep(r, f.Delay)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func sleep(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.store.limits.MaxPayload)+1))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.store.append(payload)
	switch {
	case errors.Is(err, errTooMany):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	case errors.Is(err, errTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if rand.Float64() < s.currentFaults().LoseAnswer {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

type entryReply struct {
	Offset  int64  `json:"offset"`
	Payload []byte `json:"payload"`
}

type pageReply struct {
	Entries  []entryReply `json:"entries"`
	Next     int64        `json:"next"`
	Earliest int64        `json:"earliest"`
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("max"))
	waitMillis, errWait := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if errors.Join(errFrom, errLimit, errWait) != nil || limit < 1 {
		http.Error(w, "from, max and wait-ms must be numbers", http.StatusBadRequest)
		return
	}
	wait := min(maxWait, time.Duration(waitMillis)*time.Millisecond)
	page, expired := s.awaitPage(r, from, min(limit, maxPerRead), wait)
	if expired {
		w.WriteHeader(http.StatusGone)
		page.Entries = nil
	}
	writeJSON(w, replyFromPage(page))
}

func (s *Service) awaitPage(r *http.Request, from int64, limit int, wait time.Duration) (platformlog.Page, bool) {
	timeout := time.After(wait)
	for {
		page, expired, changed := s.store.read(from, limit)
		if expired || len(page.Entries) > 0 {
			return page, expired
		}
		select {
		case <-changed:
		case <-timeout:
			return page, false
		case <-r.Context().Done():
			return page, false
		}
	}
}

func replyFromPage(page platformlog.Page) pageReply {
	reply := pageReply{Next: page.Next, Earliest: page.Earliest}
	for _, e := range page.Entries {
		reply.Entries = append(reply.Entries, entryReply(e))
	}
	return reply
}

type faultsRequest struct {
	Outage     bool    `json:"outage"`
	Hang       bool    `json:"hang"`
	DelayMS    int64   `json:"delay-ms"`
	LoseAnswer float64 `json:"lose-answer"`
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsRequest
	if !webserver.DecodeJSON(w, r, 1<<16, &f) {
		return
	}
	s.SetFaults(Faults{
		Outage:     f.Outage,
		Hang:       f.Hang,
		Delay:      time.Duration(f.DelayMS) * time.Millisecond,
		LoseAnswer: f.LoseAnswer,
	})
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
