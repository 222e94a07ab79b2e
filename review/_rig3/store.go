package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type reply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// store stands in for the platform's store: rows, transactions and feeds. It is sound: it
// loses nothing and answers every call.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]row
	changes []row
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowName]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator does. Its return is the acknowledgement.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowName: rowName{Table: "op", Key: key}, Value: []byte(value), Version: s.version})
	s.wake()
}

func (s *store) apply(r row) {
	if r.Removed {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(rows []row) reply {
	if rows == nil {
		rows = []row{}
	}
	return reply{Rows: rows, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transaction(w, r)
	case "/api/rows-get":
		s.list(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-parts":
		s.parts(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row     `json:"expected_rev"`
		Put      []row     `json:"put"`
		Remove   []rowName `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []row
	holds := true
	for _, want := range tx.Expected {
		have, exists := s.rows[want.rowName]
		if exists {
			present = append(present, have)
		}
		holds = holds && have.Version == want.Version
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, s.reply(present))
		return
	}
	s.version++
	for _, p := range tx.Put {
		s.apply(row{rowName: p.rowName, Value: p.Value, Version: s.version})
	}
	for _, name := range tx.Remove {
		s.apply(row{rowName: name, Version: s.version, Removed: true})
	}
	s.wake()
	answer(w, http.StatusOK, s.reply(nil))
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for name, found := range s.rows {
		target := query.Get("target")
		if name.Table == query.Get("table") && name.Part == query.Get("part") &&
			name.Key >= query.Get("from") && (target == "" || name.Key < target) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	result := s.reply(rows[:min(len(rows), limit)])
	result.HasMore = more
	answer(w, http.StatusOK, result)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for name := range s.rows {
		if name.Table == r.URL.Query().Get("table") && !slices.Contains(parts, name.Part) {
			parts = append(parts, name.Part)
		}
	}
	slices.Sort(parts)
	answer(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	s.mu.Lock()
	rows, changed := s.since(query.Get("table"), after), s.changed
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting && len(rows) == 0; {
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline:
			waiting = false
		}
		s.mu.Lock()
		rows, changed = s.since(query.Get("table"), after), s.changed
	}
	defer s.mu.Unlock()
	answer(w, http.StatusOK, s.reply(rows))
}

func (s *store) since(table string, after uint64) []row {
	var rows []row
	for _, r := range s.changes {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
