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

// row is a row of the platform's store, as PROTOCOL.md describes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store stands in for the platform's store: tables with transactions, reads and a feed of changes. It loses nothing.
type store struct {
	addr    string
	began   time.Time
	mu      sync.Mutex
	changed chan struct{}
	ver     uint64
	rows    map[rowID]row
	history []row
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: listener.Addr().String(), began: time.Now(), changed: make(chan struct{}), rows: make(map[rowID]row),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row with an empty part, without a condition.
func (s *store) put(table, key string, value any) { s.putInPart(table, "", key, value) }

// putInPart is put for a row in another part.
func (s *store) putInPart(table, part, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Part: part, Key: key, Value: content}})
}

// remove removes a row with an empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Tombstone: true}})
}

// apply performs a transaction. The caller holds s.mu.
func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
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

type answer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

func (s *store) write(w http.ResponseWriter, status int, a answer) {
	a.NowMs = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, c := range t.Precondition {
		found, exists := s.rows[c.id()]
		if exists {
			current = append(current, found)
		}
		failed = failed || found.Ver != c.Ver
	}
	if failed {
		s.write(w, http.StatusPreconditionFailed, answer{Rows: current, Ver: s.ver})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Tombstone = true
	}
	for _, change := range append(slices.Clone(t.Writes), t.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	s.apply(append(t.Writes, t.Remove...))
	s.write(w, http.StatusOK, answer{Ver: s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, found := range s.rows {
		to := q.Get("target")
		if found.Table == q.Get("table") && found.Part == q.Get("part") && found.Key >= q.Get("from") && (to == "" || found.Key < to) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.write(w, http.StatusOK, answer{Rows: rows[:min(limit, len(rows))], HasMore: len(rows) > limit, Ver: s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || wait > 30000 {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.write(w, http.StatusOK, answer{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.write(w, http.StatusOK, answer{Ver: ver})
			return
		}
	}
}
