package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const ticketValidity = 3 * time.Second // ticketValidity is validityMs.

// adviser returns a stand-in of the placement adviser that permits all minions.
func (d *deployment) adviser() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		time.Sleep(20*time.Millisecond + 2*time.Millisecond*time.Duration(len(call.Workers)))
		good := [][]string{}
		d.fleet.mu.Lock()
		for _, id := range call.Workers {
			good = append(good, []string{id, call.Step + "/" + id})
			d.fleet.tickets[call.Step+"/"+id] = time.Now().Add(ticketValidity)
		}
		d.fleet.mu.Unlock()
		d.log.write("adviser", "%s on %s: all are good", call.Step, strings.Join(call.Workers, " "))
		reply(w, http.StatusOK, map[string]any{"good": good, "validityMs": ticketValidity.Milliseconds()})
	})
}

// valid reports whether a ticket permits a task on a minion. The caller holds mu.
func (f *fleet) valid(ticket, minion, task string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == step+"/"+minion && time.Now().Before(f.tickets[ticket])
}
