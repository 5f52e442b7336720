package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[[3]string]row
	history []row
}

type storeResponse struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// maxPage is the number of rows that one read returns at most.
const maxPage = 500

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), changed: make(chan struct{}), rows: make(map[[3]string]row)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go http.Serve(listener, mux)
	return s, nil
}

// put writes a row as the operator or a server does. The row is confirmed when put returns.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: content})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Tombstone: true})
}

// has reports whether a row exists.
func (s *store) has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.rows[[3]string{table, "", key}]
	return found
}

// apply commits rows with one version. The caller holds s.mu.
func (s *store) apply(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Ver = s.version
		if r.Tombstone {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, status int, r storeResponse) {
	if r.Rows == nil {
		r.Rows = []row{}
	}
	r.NowMs = time.Since(begunAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range slices.Concat(t.Writes, t.Remove) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, condition := range t.Precondition {
		found, exists := s.rows[condition.id()]
		if exists {
			current = append(current, found)
		}
		failed = failed || found.Ver != condition.Ver
	}
	if failed {
		s.respond(w, http.StatusPreconditionFailed, storeResponse{Rows: current, Ver: s.version})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Tombstone = true
	}
	s.apply(slices.Concat(t.Writes, t.Remove)...)
	s.respond(w, http.StatusOK, storeResponse{Ver: s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, found := range s.rows {
		to := query.Get("target")
		if found.Table == query.Get("table") && found.Part == query.Get("part") && found.Key >= query.Get("from") &&
			(to == "" || found.Key < to) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, http.StatusOK, storeResponse{Rows: rows[:min(limit, len(rows))], HasMore: len(rows) > limit, Ver: s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, changed := range s.history {
			if changed.Table == query.Get("table") && changed.Ver > after {
				rows = append(rows, changed)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, storeResponse{Rows: rows, Ver: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.respond(w, http.StatusOK, storeResponse{Ver: version})
			return
		}
	}
}
