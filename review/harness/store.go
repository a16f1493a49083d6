package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// keysPerPage is the most records that a page of the newest records has.
const keysPerPage = 500

type storedRecord struct {
	key    string
	value  []byte
	raw    []byte // raw is the record without its length.
	offset int64
}

// producer is the state of one producer of a topic.
type producer struct {
	epoch   int64
	last    int64 // last is the sequence number of its last append in the epoch.
	any     bool  // any is set once the epoch has an append.
	replies map[int64]map[string]int64
}

type topic struct {
	records   []storedRecord
	first     int64
	newest    map[string]storedRecord
	producers map[string]*producer
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

type member struct {
	until time.Time
}

type group struct {
	generation int64
	members    map[string]member
	owner      string
}

// store is a stand-in of the platform's store: topics with one partition each, and
// groups of members that share one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), groups: make(map[string]*group), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]storedRecord), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	mux.HandleFunc("GET /v1/log-owners", s.owners)
	return mux
}

// put appends one record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append(append([]byte{byte(len(key))}, key...), value...)
	s.add(s.topic(name), [][]byte{raw})
}

func (s *store) add(t *topic, records [][]byte) map[string]int64 {
	offset := t.end()
	for _, raw := range records {
		r := storedRecord{raw: raw, offset: t.end()}
		if len(raw) > 0 && int(raw[0]) < len(raw) {
			r.key, r.value = string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
			if len(r.value) == 0 {
				delete(t.newest, r.key)
			} else {
				t.newest[r.key] = r
			}
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return map[string]int64{"offset": offset, "end": t.end()}
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		if size > len(data)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, data[4:4+size])
		data = data[4+size:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	name := q.Get("producer")
	if name == "" {
		reply(w, http.StatusOK, s.add(t, records))
		return
	}
	epoch, seq := number(q.Get("epoch")), number(q.Get("seq"))
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: -1}
		t.producers[name] = p
	}
	switch {
	case epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case epoch > p.epoch:
		*p = producer{epoch: epoch, replies: make(map[int64]map[string]int64)}
	}
	if len(records) == 0 {
		reply(w, http.StatusOK, map[string]int64{"offset": t.end(), "end": t.end()})
		return
	}
	if former, ok := p.replies[seq]; ok && seq > p.last-5 {
		reply(w, http.StatusOK, former)
		return
	}
	if p.any && seq != p.last+1 {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.last + 1})
		return
	}
	p.any, p.last = true, seq
	p.replies[seq] = s.add(t, records)
	reply(w, http.StatusOK, p.replies[seq])
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, limit := number(q.Get("from")), int(number(q.Get("maxKb")))<<10
	if limit == 0 {
		limit = 1 << 20
	}
	deadline := time.Now().Add(time.Duration(min(number(q.Get("waitMs")), 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		if from < t.first {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": t.first})
			return
		}
		if from < t.end() || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
			body = binary.BigEndian.AppendUint64(body, uint64(t.first))
			for i := from; i < t.end(); i++ {
				raw := t.records[i-t.first].raw
				if i > from && len(body)+4+len(raw) > limit {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
				body = append(body, raw...)
			}
			s.mu.Unlock()
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("dependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), keysPerPage)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.newest[key].value), "offset": t.newest[key].offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > keysPerPage, "end": t.end()})
}

// expire removes the members that have been silent for too long, and gives the
// partition to a member if it has no owner.
func (g *group) expire() {
	for name, m := range g.members {
		if time.Now().After(m.until) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	g.generation++
	if g.owner != name {
		return
	}
	g.owner = ""
	for other := range g.members {
		if g.owner == "" || other < g.owner {
			g.owner = other
		}
	}
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: make(map[string]member)}
		s.groups[name] = g
	}
	g.expire()
	return g
}

type joinBody struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	if _, ok := g.members[b.Member]; !ok {
		g.generation++
		if g.owner == "" {
			g.owner = b.Member
		}
	}
	g.members[b.Member] = member{time.Now().Add(time.Duration(b.TTLMs) * time.Millisecond)}
	parts := [][]any{}
	if g.owner == b.Member {
		parts = append(parts, []any{b.Topics[0], 0, 0})
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": b.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(b.Group).remove(b.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	parts := [][]any{}
	if g.owner != "" {
		parts = append(parts, []any{"keyed.fleet", 0, g.owner, 0})
	}
	reply(w, http.StatusOK, map[string]any{"parts": parts})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode reply: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
