package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold     = 10 * time.Second       // maxHold is maxHoldMs of the settings.
	stopTime    = 100 * time.Millisecond // stopTime is how long a stop takes; stopTimeoutMs is 200.
	gangTimeout = 3 * time.Second        // gangTimeout is gangTimeoutMs of the settings.
	beatPause   = 1500 * time.Millisecond
)

// resources of a task or a minion.
type resources struct{ cpu, mem, gpu int }

func (r resources) add(o resources) resources {
	return resources{r.cpu + o.cpu, r.mem + o.mem, r.gpu + o.gpu}
}

func (r resources) sub(o resources) resources {
	return resources{r.cpu - o.cpu, r.mem - o.mem, r.gpu - o.gpu}
}

func (r resources) fits(need resources) bool {
	return r.cpu >= need.cpu && r.mem >= need.mem && r.gpu >= need.gpu
}

// count returns how many tasks with a need fit.
func (r resources) count(need resources) int {
	n := 0
	for r.fits(need) && n < 1000 {
		r = r.sub(need)
		n++
	}
	return n
}

// work is what the tasks of a job do on a sound minion.
type work struct {
	job      *job
	duration time.Duration // duration of a task; of a lasting one, until it is at work.
	lasting  bool
	fails    bool // fails ends each run as failed after duration.
	flaky    int  // flaky is how many of the first runs fail at their start.
}

// run is a run of a task on a minion.
type run struct {
	task     string
	number   int
	work     work
	began    time.Time // began is when it was started; of a gang, when all its members were present.
	started  time.Time
	stopping time.Time
}

type end struct {
	number int
	row    []any
}

// fleet is what the minions share.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	jobs    map[string]*job
	minions []*minion
	gangs   map[string]*gang // gangs is by STEP/RUN.
	twice   string           // twice is the last finding by the rule TWICE.
}

// gang is one run of a gang.
type gang struct {
	present map[string]bool
	first   time.Time
	began   time.Time
	outcome string // outcome is what the members that are left end as.
}

// minion is a stand-in of a minion. All its fields are guarded by fleet.mu.
type minion struct {
	fleet    *fleet
	id       string
	service  string
	address  string // address of its API.
	control  string // control is the address of its agent for heartbeats.
	labels   []string
	capacity resources
	born     time.Time
	token    int64
	lease    time.Duration
	runs     map[string]*run
	dead     map[string]int
	ends     []end
	ended    int
	seq      int
	failing  bool // failing minions fail all that they start.
	failures int  // failures counts the runs that failed because of that.
	shedding bool // shedding minions refuse all starts with 503.
	down     bool // down is set after a crash.
	proxy    *proxy
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

func (m *minion) used() resources {
	var sum resources
	for _, r := range m.runs {
		sum = sum.add(r.work.job.need)
	}
	return sum
}

func (m *minion) prolong(ms int64) {
	m.lease = max(m.lease, min(time.Duration(ms)*time.Millisecond, m.clock()+maxHold))
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// settle ends the runs of all minions whose time has come. The caller holds mu.
func (f *fleet) settle() {
	now := time.Now()
	for _, m := range f.minions {
		for _, r := range m.runs {
			switch {
			case m.clock() > m.lease:
				m.finish(r, "lapsed")
			case !r.stopping.IsZero():
				if now.After(r.stopping) {
					m.finish(r, "stopped")
				}
			case r.work.job.gang:
				f.settleMember(m, r, now)
			default:
				m.settleWork(r, r.started, now)
			}
		}
	}
}

func (f *fleet) settleMember(m *minion, r *run, now time.Time) {
	g := f.gangs[stepOf(r.task)+fmt.Sprint("/", r.number)]
	switch {
	case g.outcome != "":
		m.finish(r, g.outcome)
	case !g.began.IsZero():
		m.settleWork(r, g.began, now)
	case now.Sub(g.first) > gangTimeout:
		g.outcome = "broken"
		m.finish(r, "alone")
	}
}

func (m *minion) settleWork(r *run, began, now time.Time) {
	past := now.Sub(began) > r.work.duration
	switch {
	case m.failing && now.Sub(began) > failAfter:
		m.failures++
		m.finish(r, "failed")
	case past && r.work.fails, r.number <= r.work.flaky && now.Sub(began) > failAfter:
		m.finish(r, "failed")
	case past && !r.work.lasting:
		m.finish(r, "done")
	}
}

// failAfter is how long a run works on a minion that fails everything.
const failAfter = 300 * time.Millisecond

func (m *minion) finish(r *run, how string) {
	f := m.fleet
	delete(m.runs, r.task)
	m.dead[r.task] = max(m.dead[r.task], r.number)
	m.ended++
	m.ends = append(m.ends, end{m.ended, []any{m.ended, r.task, r.number, how, ""}})
	f.rec.add("run ended", "minion", m.id, "task", r.task, "run", r.number, "how", how)
	if r.work.job.gang {
		g := f.gangs[stepOf(r.task)+fmt.Sprint("/", r.number)]
		if g.outcome == "" {
			g.outcome = "broken"
			if how == "done" {
				g.outcome = "done"
			}
		}
	}
	if how == "done" {
		r.work.job.doneTasks[r.task] = true
	}
}

// answer is the part of each reply that describes the minion.
func (m *minion) answer() map[string]any {
	return map[string]any{"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli()}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	a := m.answer()
	a["reason"] = reason
	reply(w, http.StatusConflict, a)
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(w http.ResponseWriter, r *http.Request, b map[string]any){
		names["start"]: m.start, names["stop"]: m.stop, names["hold"]: m.hold, names["pace"]: m.pace,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var b map[string]any
			if json.NewDecoder(r.Body).Decode(&b) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if id := r.Header.Get(names["instance"]); id != "" && id != m.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			serve(w, r, b)
		})
	}
	return mux
}

func integer(b map[string]any, key string) int64 {
	n, _ := b[key].(float64)
	return int64(n)
}

func text(b map[string]any, key string) string {
	s, _ := b[key].(string)
	return s
}

// fenced checks the token of a call. The caller holds mu.
func (m *minion) fenced(w http.ResponseWriter, b map[string]any) bool {
	token := integer(b, names["token"])
	if token < m.token {
		m.refuse(w, "fence")
		return true
	}
	m.token = token
	return false
}

func (m *minion) start(w http.ResponseWriter, _ *http.Request, b map[string]any) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	if m.fenced(w, b) {
		return
	}
	task, number, deadline := text(b, "task"), int(integer(b, "run")), integer(b, "deadlineMs")
	j := f.jobs[task[:strings.Index(task, ".")]]
	switch {
	case j == nil || j.spec != text(b, "spec"):
		f.rec.add("unasked start", "minion", m.id, "task", task, "spec", text(b, "spec"))
		w.WriteHeader(http.StatusBadRequest)
		return
	case m.shedding:
		f.rec.add("start refused with 503", "minion", m.id, "task", task, "run", number)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case number <= m.dead[task]:
		m.prolong(deadline)
		m.refuse(w, "old")
		return
	case m.clock() > time.Duration(deadline)*time.Millisecond:
		m.refuse(w, "late")
		return
	}
	m.prolong(deadline)
	if r := m.runs[task]; r == nil || r.number != number {
		f.rec.add("run started", "minion", m.id, "born", m.born.UnixMilli(), "task", task, "run", number, "token", m.token)
		f.checkTwice(m, task, number)
		m.runs[task] = &run{task: task, number: number, work: j.work, started: time.Now()}
		j.lastRun = time.Now()
		if j.gang {
			f.join(m.runs[task])
		}
	}
	reply(w, http.StatusOK, m.answer())
}

// checkTwice notes a run that begins while another run of its task is at work. The
// caller holds mu.
func (f *fleet) checkTwice(m *minion, task string, number int) {
	for _, other := range f.minions {
		if r := other.runs[task]; r != nil && !other.down {
			f.twice = fmt.Sprintf("TWICE: run %d of task %s begins on %s while run %d of it is at work on %s", number, task, m.id, r.number, other.id)
			f.rec.add("task runs twice", "finding", f.twice)
		}
	}
}

// crash ends the minion and all that it runs, and restart begins a new incarnation
// under the same id.
func (m *minion) crash() {
	m.proxy.down()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.settle()
	m.runs, m.ends, m.down = make(map[string]*run), nil, true
	m.fleet.rec.add("minion crashes", "minion", m.id)
}

func (m *minion) restart() error {
	m.fleet.mu.Lock()
	m.dead, m.ended, m.token, m.lease, m.seq, m.down = make(map[string]int), 0, 0, 0, 0, false
	m.born = time.UnixMilli(time.Now().UnixMilli())
	m.fleet.rec.add("minion starts again", "minion", m.id, "born", m.born.UnixMilli())
	m.fleet.mu.Unlock()
	return m.proxy.up()
}

// join adds a member to the run of its gang.
func (f *fleet) join(r *run) {
	key := stepOf(r.task) + fmt.Sprint("/", r.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{present: make(map[string]bool), first: time.Now()}
		f.gangs[key] = g
	}
	g.present[r.task] = true
	if len(g.present) == r.work.job.count {
		g.began = time.Now()
	}
}

func (m *minion) stop(w http.ResponseWriter, _ *http.Request, b map[string]any) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	if m.fenced(w, b) {
		return
	}
	task, number := text(b, "task"), int(integer(b, "run"))
	m.dead[task] = max(m.dead[task], number)
	if r := m.runs[task]; r != nil && r.number == number && r.stopping.IsZero() {
		f.rec.add("stop ordered", "minion", m.id, "task", task, "run", number)
		r.stopping = time.Now().Add(stopTime)
	}
	reply(w, http.StatusOK, m.answer())
}

func (m *minion) pace(w http.ResponseWriter, _ *http.Request, b map[string]any) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.fenced(w, b) {
		reply(w, http.StatusOK, m.answer())
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, b map[string]any) {
	f := m.fleet
	deadline := time.Now().Add(time.Duration(min(integer(b, "waitMs"), 2000)) * time.Millisecond)
	for first := true; ; first = false {
		f.mu.Lock()
		f.settle()
		if m.fenced(w, b) {
			f.mu.Unlock()
			return
		}
		if first {
			m.prolong(integer(b, "deadlineMs"))
			var left []end
			for _, e := range m.ends {
				if int64(e.number) > integer(b, names["seen"]) {
					left = append(left, e)
				}
			}
			m.ends = left
		}
		if len(m.ends) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			reply(w, http.StatusOK, m.listing())
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// listing is the reply to a renewal.
func (m *minion) listing() map[string]any {
	a := m.answer()
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		if r.stopping.IsZero() {
			running = append(running, []any{r.task, r.number, "", m.percent(r), r.work.job.need.cpu})
		}
	}
	for _, e := range m.ends {
		finished = append(finished, e.row)
	}
	a["running"], a["finished"] = running, finished
	return a
}

func (m *minion) percent(r *run) int {
	began := r.started
	if r.work.job.gang {
		if began = m.fleet.gangs[stepOf(r.task)+fmt.Sprint("/", r.number)].began; began.IsZero() {
			return 0
		}
	}
	return int(min(100, 100*time.Since(began)/max(1, r.work.duration)))
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (m *minion) beat() bool {
	m.fleet.mu.Lock()
	m.seq++
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": "one", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": m.capacity.cpu, "memMb": m.capacity.mem, "gpu": m.capacity.gpu}, "labels": m.labels,
		"clockMs": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "seq": m.seq,
	}
	m.fleet.mu.Unlock()
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Post("http://"+m.control+"/v1/Instances.Heartbeat/"+m.id, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// beats sends heartbeats until the process ends.
func (m *minion) beats() {
	pause := 200 * time.Millisecond
	m.fleet.mu.Lock()
	down := m.down
	m.fleet.mu.Unlock()
	if !down && m.beat() {
		pause = beatPause
	}
	time.AfterFunc(pause, m.beats)
}
