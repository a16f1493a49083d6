package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"wasabihoist/internal/traffic/minion"
)

// minionState is what the agent knows of its minion.
type minionState struct {
	client      *minion.Client
	address     netip.AddrPort
	incarnation int64
	state       minion.State
	up          bool // up minions have announced themselves or answered one of the last probes.
	failures    int  // failures counts probes without an answer in a row.

	life       context.Context // life ends when another incarnation replaces this one.
	endLife    context.CancelFunc
	health     context.Context // health ends with life and when the minion becomes unavailable.
	endHealth  context.CancelFunc
	generation int // generation grows with each new client.
}

func (m *minionState) leaving() bool { return m.state == minion.Draining }

// expectMinion prepares probes of the address in the options. It needs the
// mutex.
func (s *Server) expectMinion() {
	if s.options.Minion.IsValid() {
		s.setMinion(s.options.Minion, 0)
	}
}

// setMinion replaces the incarnation of the minion. It needs the mutex.
func (s *Server) setMinion(address netip.AddrPort, incarnation int64) {
	old := s.minion
	if old.endLife != nil {
		old.endLife()
		old.client.Close()
	}
	m := minionState{address: address, incarnation: incarnation, generation: old.generation + 1}
	m.client = minion.NewClient(address, s.options.Client)
	m.life, m.endLife = context.WithCancel(s.group.Context())
	m.health, m.endHealth = context.WithCancel(m.life)
	s.minion = m
}

// probe checks the minion once.
func (s *Server) probe(ctx context.Context) error {
	s.mu.Lock()
	client, generation := s.minion.client, s.minion.generation
	s.mu.Unlock()
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeEvery)
	defer cancel()
	status, err := client.Probe(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	if s.group == nil || s.minion.generation != generation {
		return nil
	}
	if err != nil {
		s.probeFailed()
		return nil
	}
	if status.Incarnation != s.minion.incarnation {
		s.setMinion(s.minion.address, status.Incarnation)
	}
	s.minionAnswered(status.State)
	return nil
}

func (s *Server) probeFailed() {
	s.minion.failures++
	if s.minion.failures < s.options.ProbeFailed || !s.minion.up {
		return
	}
	s.minion.up = false
	s.minion.endHealth()
	s.Counters.MinionDown.Add(1)
}

func (s *Server) minionAnswered(state minion.State) {
	m := &s.minion
	m.failures = 0
	m.state = state
	if m.up {
		return
	}
	m.up = true
	m.endHealth()
	m.health, m.endHealth = context.WithCancel(m.life)
}

// Handler returns the endpoint for announcements of the minion. It must be
// served on the local address only.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+minion.PathAnnounce, s.handleAnnounce)
	return mux
}

func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a minion.Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&a)
	address, addressErr := netip.ParseAddrPort(a.Address)
	known := a.State == minion.Serving || a.State == minion.Draining
	if err != nil || addressErr != nil || a.Incarnation <= 0 || !known {
		http.Error(w, "want incarnation, address and state serving or leaving", http.StatusBadRequest)
		return
	}
	s.announced(address, a)
	w.WriteHeader(http.StatusNoContent)
}

// announced ignores incarnations that were replaced. An announcement of the
// known incarnation does not make it available again; only a probe does.
func (s *Server) announced(address netip.AddrPort, a minion.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	if s.group == nil || a.Incarnation < s.minion.incarnation {
		return
	}
	if a.Incarnation == s.minion.incarnation && address == s.minion.address {
		s.minion.state = a.State
		return
	}
	s.setMinion(address, a.Incarnation)
	s.minionAnswered(a.State)
}
