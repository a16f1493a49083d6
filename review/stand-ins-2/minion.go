package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// capacity of each minion: thousandths of a core, megabytes and accelerators.
const (
	capacityCPU    = 64_000
	capacityMemory = 256_000
	capacityGPU    = 8
)

const (
	maxHold     = 10 * time.Second
	stopTimeout = 900 * time.Millisecond
	startUp     = 300 * time.Millisecond // startUp is how long a task that lasts takes until it is at work.
	beatEvery   = 1500 * time.Millisecond
)

// maxRejectedLines bounds the lines of the record on rejected starts.
const maxRejectedLines = 30

// work is what a task does, by the text in the spec of its job.
type work struct {
	lasts    bool
	advised  bool          // advised work needs a ticket.
	fails    int           // fails is how many runs fail; the others end done or last.
	duration time.Duration // duration is the time until a run ends, or fails.
}

type running struct {
	task, spec string
	number     int
	since      time.Time
	ends       time.Time
	how        string
	lasts      bool
	stopping   bool
}

// minion is a stand-in of a minion that starts whatever it is told to start.
type minion struct {
	id, service, rack string
	address, agent    string
	log               *record
	fleet             *fleet

	mu       sync.Mutex
	born     time.Time
	token    int64
	deadline time.Duration // deadline is the end of the lease on the minion's clock.
	runs     map[string]*running
	highest  map[string]int // highest is the highest number of a run of a task that was stopped or has ended.
	ended    [][]any
	ends     int64
	silent   bool            // silent minions have crashed; their host answers nothing.
	stopped  map[string]bool // stopped holds the tasks at work that were told to stop.
	changed  chan struct{}
}

// fleet is what all minions of a case have in common.
type fleet struct {
	mu     sync.Mutex
	work   map[string]work // work by spec.
	failed map[string]int  // failed counts the runs of each spec that were told to fail.
	starts []start

	tickets  map[string]time.Time // tickets holds until when each ticket is valid.
	rejected int                  // rejected counts the starts without a valid ticket.
}

// start is a task that a minion has begun.
type start struct {
	at     time.Time
	minion string
	task   string
	number int
}

func (f *fleet) startsOf(job string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []start
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

func newMinion(id, rack, address, agent string, f *fleet, log *record) *minion {
	return &minion{
		id: id, service: service, rack: rack, address: address, agent: agent, log: log, fleet: f, born: time.Now().Truncate(time.Millisecond),
		runs: make(map[string]*running), highest: make(map[string]int), stopped: make(map[string]bool), changed: make(chan struct{}),
	}
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

func (m *minion) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) end(r *running, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ends++
	m.ended = append(m.ended, []any{m.ends, r.task, r.number, how, ""})
	m.log.write(m.id, "run %d of %s ends: %s", r.number, r.task, how)
	m.notify()
}

// settle ends what has to end by now.
func (m *minion) settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runs {
		switch {
		case m.clock() > m.deadline:
			m.end(r, "lapsed")
		case !r.ends.IsZero() && time.Now().After(r.ends):
			m.end(r, r.how)
		}
	}
}

func (m *minion) percent(r *running) int {
	if r.lasts {
		if time.Since(r.since) > startUp {
			return 100
		}
		return 0
	}
	return int(100 * time.Since(r.since) / r.ends.Sub(r.since))
}

func (m *minion) usage() (cpu, gpu int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range m.runs {
		cpu += taskCPU
		gpu += taskGPU
	}
	return cpu, gpu
}

// vanish lets the minion crash for good. Nothing on its host answers for it.
func (m *minion) vanish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.write(m.id, "crashes and is silent from now on")
	m.silent = true
	clear(m.runs)
	m.notify()
}

// wasStopped reports whether a task of a job that was at work was told to stop.
func (m *minion) wasStopped(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task, atWork := range m.stopped {
		if atWork && strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hold", m.hold)
	mux.HandleFunc("POST "+names["start"], m.start)
	mux.HandleFunc("POST /v1/run-stop", m.stop)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		silent := m.silent
		m.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Ticket     string `json:"ticket"`
	WaitMs     int64  `json:"waitMs"`
	token      int64
	seen       int64
}

// decode reads an order and checks its token. It answers and returns false if the
// token is too low.
func (m *minion) decode(w http.ResponseWriter, r *http.Request) (order, bool) {
	var raw map[string]json.RawMessage
	var o order
	body, tokens := new(bytes.Buffer), map[string]*int64{names["token"]: &o.token, names["seen"]: &o.seen}
	_, err := body.ReadFrom(r.Body)
	if err == nil {
		err = json.Unmarshal(body.Bytes(), &o)
	}
	if err == nil {
		err = json.Unmarshal(body.Bytes(), &raw)
	}
	for name, into := range tokens {
		if raw[name] != nil && err == nil {
			err = json.Unmarshal(raw[name], into)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if o.token < m.token {
		m.refuse(w, "fence")
		return o, false
	}
	m.token = o.token
	return o, true
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "reason": reason})
}

func (m *minion) extend(deadlineMs int64) {
	m.deadline = max(m.deadline, min(time.Duration(deadlineMs)*time.Millisecond, m.clock()+maxHold))
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.extend(o.DeadlineMs)
	for len(m.ended) > 0 && m.ended[0][0].(int64) <= o.seen {
		m.ended = m.ended[1:]
	}
	if wait := time.Duration(o.WaitMs) * time.Millisecond; wait > 0 && len(m.ended) == 0 {
		timer, changed := time.NewTimer(wait), m.changed
		m.mu.Unlock()
		select {
		case <-timer.C:
		case <-changed:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.mu.Lock()
	}
	if m.silent {
		panic(http.ErrAbortHandler)
	}
	list := [][]any{}
	for _, one := range m.runs {
		if !one.stopping {
			list = append(list, []any{one.task, one.number, "", m.percent(one), 10})
		}
	}
	ended := m.ended
	if ended == nil {
		ended = [][]any{}
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "running": list, "finished": ended})
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	former := m.runs[o.Task]
	switch {
	case former != nil && former.number == o.Run:
		reply(w, http.StatusOK, map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()})
		return
	case former != nil || o.Run <= m.highest[o.Task]:
		m.extend(o.DeadlineMs)
		m.refuse(w, "old")
		return
	case time.Duration(o.DeadlineMs)*time.Millisecond < m.clock():
		m.refuse(w, "late")
		return
	}
	f := m.fleet
	f.mu.Lock()
	what := f.work[o.Spec]
	if what.advised && !f.valid(o.Ticket, m.id, o.Task) {
		f.rejected++
		if f.rejected <= maxRejectedLines {
			m.log.write(m.id, "start of run %d of %s is rejected, ticket %q", o.Run, o.Task, o.Ticket)
		}
		f.mu.Unlock()
		m.refuse(w, "ticket")
		return
	}
	m.extend(o.DeadlineMs)
	how := "done"
	if f.failed[o.Spec] < what.fails {
		f.failed[o.Spec]++
		how = "failed"
	}
	f.starts = append(f.starts, start{time.Now(), m.id, o.Task, o.Run})
	f.mu.Unlock()
	run := &running{task: o.Task, spec: o.Spec, number: o.Run, since: time.Now(), how: how, lasts: what.lasts}
	if !what.lasts || how == "failed" {
		run.ends = run.since.Add(what.duration)
	}
	m.runs[o.Task] = run
	m.log.write(m.id, "run %d of %s starts, token %d", o.Run, o.Task, o.token)
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()})
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if run := m.runs[o.Task]; run != nil && run.number <= o.Run && !run.stopping {
		m.log.write(m.id, "run %d of %s is told to stop, token %d", run.number, o.Task, o.token)
		m.stopped[o.Task] = m.percent(run) == 100
		run.stopping, run.how, run.ends = true, "stopped", time.Now().Add(stopTimeout/3)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()})
}

// beat sends one heartbeat to the agent.
func (m *minion) beat(client *http.Client, sequence int) {
	m.mu.Lock()
	silent := m.silent
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": sequence,
		"capacity": map[string]any{"cpu": capacityCPU, "memMb": capacityMemory, "gpu": capacityGPU},
		"labels":   []string{"a", m.rack}, "clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	if silent {
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	resp, err := client.Post(fmt.Sprintf("http://%s/v1/Instances.Heartbeat/%s", m.agent, m.id), "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// serve serves the minion, ends its runs in time and sends its heartbeats.
func (m *minion) serve(all *sync.WaitGroup, stop <-chan struct{}) error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: m.handler()}
	all.Go(func() { _ = server.Serve(l) })
	all.Go(func() {
		<-stop
		_ = server.Close()
	})
	all.Go(func() { every(5*time.Millisecond, stop, func(int) { m.settle() }) })
	client := &http.Client{Timeout: time.Second}
	all.Go(func() {
		m.beat(client, 1)
		every(beatEvery, stop, func(n int) { m.beat(client, n+2) })
	})
	return nil
}

// every calls step once per interval until stop is closed.
func every(interval time.Duration, stop <-chan struct{}, step func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			step(n)
		}
	}
}
