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

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowName struct{ table, part, key string }

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// store stands in for the platform's metadata store. It keeps its whole history.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	changes []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *store) write(r row) {
	if r.Removed {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transact(w, r)
	case "/api/rows-get":
		s.read(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// answer writes rows with the newest version. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	writeJSON(w, status, map[string]any{
		"rows": append([]row{}, rows...), "has_more": false, "ver": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []row
	holds := true
	for _, condition := range tx.Expected {
		current, exists := s.rows[condition.name()]
		if exists {
			present = append(present, current)
		}
		holds = holds && current.Version == condition.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, present)
		return
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.write(p)
	}
	for _, removed := range tx.Remove {
		removed.Version, removed.Removed = s.version, true
		s.write(removed)
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, to := query.Get("from"), query.Get("target")
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for name, current := range s.rows {
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= from && (to == "" || name.key < to) {
			found = append(found, current)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, found)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for waiting := true; ; {
		var news []row
		for _, change := range s.changes {
			if change.Table == query.Get("table") && change.Version > after {
				news = append(news, change)
			}
		}
		if len(news) > 0 || !waiting {
			s.answer(w, http.StatusOK, news)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
