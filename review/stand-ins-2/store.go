package main

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. Each topic has one partition.
type store struct {
	log *record

	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*members
	changed chan struct{} // changed is closed at the next append and then replaced.
	writes  int           // writes counts appends and group calls.

	// lose reports whether an append is done late and not answered, and after which
	// time it is done; nil loses none.
	lose func(topic string, keys []string) (bool, time.Duration)
}

type topic struct {
	records []stored // records has the record of each offset.
	fences  map[string]fence
}

type stored struct {
	key   string
	value []byte
}

type fence struct{ epoch, sequence int64 }

// members is a consumer group of one partition, which one member owns.
type members struct {
	generation int64
	owner      string
	until      map[string]time.Time // until is when each member is removed.
}

func newStore(log *record) *store {
	return &store{log: log, topics: make(map[string]*topic), groups: make(map[string]*members), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{fences: make(map[string]fence)}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, []stored{{key, value}})
}

func (s *store) add(name string, records []stored) {
	t := s.topic(name)
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeCount returns how many writing calls the store has got.
func (s *store) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	mux.HandleFunc("GET /v1/log-owners", s.owners)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func split(data []byte) []stored {
	var records []stored
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+size]
		data = data[4+size:]
		end := 1 + int(content[0])
		records = append(records, stored{string(content[1:end]), content[end:]})
	}
	return records
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records := split(data)
	keys := make([]string, 0, len(records))
	for _, one := range records {
		keys = append(keys, one.key)
	}
	q := r.URL.Query()
	name := q.Get("topic")
	s.mu.Lock()
	s.writes++
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if lost, late := lose(name, keys); lost {
			s.log.write("store", "append of %s gets no answer and is done after %s", strings.Join(keys, " "), late)
			time.AfterFunc(late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.log.write("store", "late append of %s is done", strings.Join(keys, " "))
				s.add(name, records)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if writer := q.Get("producer"); writer != "" {
		next, last := fence{number(q.Get("epoch")), number(q.Get("seq"))}, t.fences[writer]
		switch {
		case next.epoch < last.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case len(records) == 0:
			if next.epoch > last.epoch {
				t.fences[writer] = fence{epoch: next.epoch}
			}
		case next.epoch == last.epoch && next.sequence <= last.sequence && next.sequence > last.sequence-5:
			reply(w, http.StatusOK, map[string]any{"offset": len(t.records), "end": len(t.records)})
			return
		case next.epoch == last.epoch && next.sequence != last.sequence+1:
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": last.sequence + 1})
			return
		default:
			t.fences[writer] = next
		}
	}
	offset := len(t.records)
	if len(records) > 0 {
		s.add(name, records)
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, limit := int(number(q.Get("from"))), int(cmp.Or(number(q.Get("maxKb")), 1024))<<10
	timer := time.NewTimer(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		records := t.records[min(from, len(t.records)):]
		body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		s.mu.Unlock()
		if len(records) > 0 || waited {
			body = binary.BigEndian.AppendUint64(body, 0)
			for i, one := range records {
				size := 1 + len(one.key) + len(one.value)
				if i > 0 && len(body)+size > limit {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(size))
				body = append(append(append(body, byte(len(one.key))), one.key...), one.value...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			waited = true
		case <-changed:
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	latest := make(map[string]int)
	for i, one := range t.records {
		latest[one.key] = i
	}
	items, more := []map[string]any{}, false
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		one := t.records[latest[key]]
		if key <= q.Get("dependsOn") || len(one.value) == 0 {
			continue
		}
		if more = len(items) == 500; more {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(one.value), "offset": latest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}

type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

// settle removes the members whose time is over and gives the partition of a group to
// one of the others.
func (g *members) settle() {
	for name, until := range g.until {
		if time.Now().After(until) {
			delete(g.until, name)
		}
	}
	if _, present := g.until[g.owner]; !present {
		g.owner = ""
		for name := range g.until {
			g.owner = name
		}
		g.generation++
	}
}

func (s *store) group(w http.ResponseWriter, r *http.Request) (groupCall, *members, bool) {
	var call groupCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, nil, false
	}
	s.writes++
	g := s.groups[call.Group]
	if g == nil {
		g = &members{until: make(map[string]time.Time)}
		s.groups[call.Group] = g
	}
	return call, g, true
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, g, ok := s.group(w, r)
	if !ok {
		return
	}
	g.until[call.Member] = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	g.settle()
	parts := [][]any{}
	if g.owner == call.Member {
		parts = append(parts, []any{call.Topics[0], 0, 0})
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": call.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, g, ok := s.group(w, r)
	if !ok {
		return
	}
	delete(g.until, call.Member)
	g.settle()
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		g.settle()
		if g.owner != "" {
			parts = append(parts, []any{"keyed.fleet", 0, g.owner, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": parts})
}
