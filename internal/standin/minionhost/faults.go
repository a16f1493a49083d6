package minionhost

import (
	"net/http"
	"time"

	"wasabihoist/internal/base/webserver"
)

// Faults are the failures that the stand-in can produce. Freeze applies to
// everything but the fault interface; the others apply to work only.
type Faults struct {
	Hang       bool          // Hang takes work and neither runs nor answers it.
	Slow       time.Duration // Slow is added to the time of each work.
	Cross      bool          // Cross answers with the answer of another request.
	Truncate   bool          // Truncate answers with half of the body.
	LoseAnswer bool          // LoseAnswer runs the work and closes the connection.
	FailAll    bool          // FailAll runs the work and reports a failure.
	Freeze     bool          // Freeze stops everything until it is lifted; what had arrived then goes on.
	Times      int           // Times is the number of exchanges with Hang, Cross, Truncate, LoseAnswer or FailAll; 0 has no bound.
}

// SetFaults replaces the faults in force.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.Freeze != h.faults.Freeze {
		if f.Freeze {
			h.thawed = make(chan struct{})
		} else {
			close(h.thawed)
		}
	}
	h.faults = f
}

// takeFaults returns the faults for one exchange and counts it.
func (h *Host) takeFaults() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.faults
	counted := f.Hang || f.Cross || f.Truncate || f.LoseAnswer || f.FailAll
	if counted && f.Times > 0 {
		h.faults.Times--
		if h.faults.Times == 0 {
			h.faults = Faults{Slow: f.Slow, Freeze: f.Freeze}
		}
	}
	return f
}

type faultsRequest struct {
	Hang       bool  `json:"hang"`
	SlowMS     int64 `json:"slow-ms"`
	Cross      bool  `json:"cross"`
	Truncate   bool  `json:"truncate"`
	LoseAnswer bool  `json:"lose-answer"`
	FailAll    bool  `json:"fail-all"`
	Freeze     bool  `json:"freeze"`
	Times      int   `json:"times"`
}

func (h *Host) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsRequest
	if !webserver.DecodeJSON(w, r, 1<<16, &f) {
		return
	}
	h.SetFaults(Faults{
		Hang:       f.Hang,
		Slow:       time.Duration(f.SlowMS) * time.Millisecond,
		Cross:      f.Cross,
		Truncate:   f.Truncate,
		LoseAnswer: f.LoseAnswer,
		FailAll:    f.FailAll,
		Freeze:     f.Freeze,
		Times:      f.Times,
	})
	w.WriteHeader(http.StatusNoContent)
}
