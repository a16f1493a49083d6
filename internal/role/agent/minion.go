package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"wasabihoist/internal/traffic/minion"
)

// minionState is what the agent knows about its minion.
type minionState struct {
	client       *minion.Client
	address      netip.AddrPort
	incarnation  int64
	state        minion.State
	available    bool // available is set while the minion has announced itself or answered one of the last probes.
	failedProbes int  // failedProbes counts consecutive probes without an answer.

	incarnationCtx    context.Context // incarnationCtx ends when another incarnation replaces this one.
	cancelIncarnation context.CancelFunc
	availableCtx      context.Context // availableCtx ends with incarnationCtx and when the minion becomes unavailable.
	cancelAvailable   context.CancelFunc
	generation        int // generation is the number of clients so far; it detects a replaced client.
}

func (m *minionState) draining() bool { return m.state == minion.Draining }

// setConfiguredMinion makes the probes start at MinionAddress, if that is set.
// The caller holds the mutex.
func (s *Server) setConfiguredMinion() {
	if s.options.MinionAddress.IsValid() {
		s.replaceMinion(s.options.MinionAddress, 0)
	}
}

// replaceMinion sets a new incarnation of the minion, with a new client, and
// closes the old one. The caller holds the mutex.
func (s *Server) replaceMinion(address netip.AddrPort, incarnation int64) {
	old := s.minion
	if old.cancelIncarnation != nil {
		old.cancelIncarnation()
		old.client.Close()
	}
	m := minionState{address: address, incarnation: incarnation, generation: old.generation + 1}
	m.client = minion.NewClient(address, s.options.Client)
	m.incarnationCtx, m.cancelIncarnation = context.WithCancel(s.group.Context())
	m.availableCtx, m.cancelAvailable = context.WithCancel(m.incarnationCtx)
	s.minion = m
}

// probe checks once whether the minion answers. It ignores the result if the
// client was replaced meanwhile.
func (s *Server) probe(ctx context.Context) error {
	s.mu.Lock()
	client, generation := s.minion.client, s.minion.generation
	s.mu.Unlock()
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeInterval)
	defer cancel()
	status, err := client.Probe(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeDispatcher()
	if s.group == nil || s.minion.generation != generation {
		return nil
	}
	if err != nil {
		s.recordProbeFailure()
		return nil
	}
	if status.Incarnation != s.minion.incarnation {
		s.replaceMinion(s.minion.address, status.Incarnation)
	}
	s.recordMinionContact(status.State)
	return nil
}

func (s *Server) recordProbeFailure() {
	s.minion.failedProbes++
	if s.minion.failedProbes < s.options.ProbeFailureThreshold || !s.minion.available {
		return
	}
	s.minion.available = false
	s.minion.cancelAvailable()
	s.Counters.MinionFailures.Add(1)
}

func (s *Server) recordMinionContact(state minion.State) {
	m := &s.minion
	m.failedProbes = 0
	m.state = state
	if m.available {
		return
	}
	m.available = true
	m.cancelAvailable()
	m.availableCtx, m.cancelAvailable = context.WithCancel(m.incarnationCtx)
}

// Handler returns the HTTP handler for announcements of the minion. It must be
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
	validState := a.State == minion.Serving || a.State == minion.Draining
	if err != nil || addressErr != nil || a.Incarnation <= 0 || !validState {
		http.Error(w, "want incarnation, address and state serving or leaving", http.StatusBadRequest)
		return
	}
	s.applyAnnouncement(address, a)
	w.WriteHeader(http.StatusNoContent)
}

// applyAnnouncement replaces the minion if an announcement has a new incarnation
// or address, and ignores incarnations that were replaced. An announcement of
// the known incarnation does not make the minion available again; only a probe
// does.
func (s *Server) applyAnnouncement(address netip.AddrPort, a minion.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeDispatcher()
	if s.group == nil || a.Incarnation < s.minion.incarnation {
		return
	}
	if a.Incarnation == s.minion.incarnation && address == s.minion.address {
		s.minion.state = a.State
		return
	}
	s.replaceMinion(address, a.Incarnation)
	s.recordMinionContact(a.State)
}
