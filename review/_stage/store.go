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

// txTime is the time that a transaction takes.
const txTime = 4 * time.Millisecond

type storeKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storeRow struct {
	storeKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type storeReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	NowMS   int64      `json:"now_ms"`
}

// store is the stand-in of the platform's store: rows, transactions and feeds.
type store struct {
	mu      sync.Mutex
	rows    map[storeKey]storeRow
	changes []storeRow
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[storeKey]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

// setConfig writes the desired state as the operator does.
func (s *store) setConfig(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{storeKey: storeKey{Table: "op", Key: "config"}, Value: []byte(value), Version: s.version})
	s.wake()
}

func (s *store) write(row storeRow) {
	if row.Removed {
		delete(s.rows, row.storeKey)
	} else {
		s.rows[row.storeKey] = row
	}
	s.changes = append(s.changes, row)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeDoor is the address of the store that one process uses.
type storeDoor struct {
	store *store
	mu    sync.Mutex
	// wroteAt is when the process last wrote.
	wroteAt time.Time
}

// lastWrite returns when the process last wrote.
func (d *storeDoor) lastWrite() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wroteAt
}

// ServeHTTP implements http.Handler.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/rows-tx":
		time.Sleep(txTime)
		d.transact(w, r)
	case "/api/rows-get":
		time.Sleep(txTime)
		d.store.get(w, r)
	case "/api/rows-feed":
		d.store.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (d *storeDoor) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []struct {
			storeKey
			Version uint64 `json:"ver"`
		} `json:"expected_rev"`
		Put []struct {
			storeKey
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []storeKey `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := d.store
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := storeReply{NowMS: time.Since(s.started).Milliseconds()}
	holds := true
	for _, e := range tx.Expected {
		row, exists := s.rows[e.storeKey]
		if exists {
			reply.Rows = append(reply.Rows, row)
		}
		holds = holds && row.Version == e.Version
	}
	if !holds {
		reply.Version = s.version
		answer(w, http.StatusPreconditionFailed, reply)
		return
	}
	s.version++
	for _, p := range tx.Put {
		s.write(storeRow{storeKey: p.storeKey, Value: p.Value, Version: s.version})
	}
	for _, k := range tx.Remove {
		s.write(storeRow{storeKey: k, Version: s.version, Removed: true})
	}
	s.wake()
	d.mu.Lock()
	d.wroteAt = time.Now()
	d.mu.Unlock()
	answer(w, http.StatusOK, storeReply{Version: s.version, NowMS: reply.NowMS})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := storeReply{Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
	to := q.Get("target")
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (to == "" || k.Key < to) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	slices.SortFunc(reply.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		reply := storeReply{Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
		for _, row := range s.changes {
			if row.Table == q.Get("table") && row.Version > after {
				reply.Rows = append(reply.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Rows) > 0 {
			answer(w, http.StatusOK, reply)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, reply)
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}
