// Package edgeplatform emulates for tests the users' platform, on which edge daemons run: its table store, model engines
// that hold layers, and plain services. They implement the platform's HTTP protocol on loopback addresses and inject
// faults on request.
package edgeplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"tombstone,omitempty"`
}

// StoreFaults are the faults of a Store.
type StoreFaults struct {
	// Down makes the store respond to all HTTP requests with status 503. Put, PutRaw and Remove still take effect.
	Down bool
	// LoseWriteResponses makes the store commit transactions and then close the connection without a response.
	LoseWriteResponses bool
	// HistoryFrom is the oldest version after which changes can be read; a read after an older version gets status 410.
	HistoryFrom uint64
}

// Store is a transactional table store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[[2]string]Row
	history []Row
	faults  StoreFaults
	calls   int
	// era rises with each Restore.
	era    uint64
	server *httptest.Server
}

// StoreCopy is a copy of the content of a Store.
type StoreCopy struct {
	version uint64
	rows    map[[2]string]Row
	history []Row
}

// NewStore starts a store. Call Close to stop it.
func NewStore() *Store {
	s := &Store{rows: make(map[[2]string]Row), changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.server = httptest.NewServer(s.injectFaults(mux))
	return s
}

// Address returns the host:port of the store.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close closes all connections and stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns the number of requests received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Copy returns a copy of the content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history)}
}

// Restore replaces the content by a copy, as after the loss of what was acknowledged since. Rows in written are written
// again, each with a version of its own, before any call is answered. Open connections are reset.
func (s *Store) Restore(content StoreCopy, written ...Row) {
	s.mu.Lock()
	s.version, s.rows, s.history = content.version, maps.Clone(content.rows), slices.Clone(content.history)
	s.era++
	for _, row := range written {
		s.apply(row)
	}
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Get returns the value of a row, or nil if there is none.
func (s *Store) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[[2]string{table, key}].Value
}

// Put writes a row as the operator or a target would.
func (s *Store) Put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.PutRaw(table, key, content)
	return nil
}

// PutRaw is like Put for an encoded value, which need not be valid JSON.
func (s *Store) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Row{Table: table, Key: key, Value: value})
}

// ChangePart records a change of a row in a part of a table other than the empty one. Only the feed shows it.
func (s *Store) ChangePart(part string, row Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row.Part, row.Ver = part, s.version
	s.history = append(s.history, row)
	s.wake()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Row{Table: table, Key: key, Removed: true})
}

// apply commits rows with the next version and wakes waiting feed requests. The caller holds s.mu.
func (s *Store) apply(rows ...Row) {
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		id := [2]string{row.Table, row.Key}
		if row.Removed {
			delete(s.rows, id)
		} else {
			s.rows[id] = row
		}
		s.history = append(s.history, row)
	}
	s.wake()
}

// wake wakes waiting feed requests. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectFaults returns a handler that counts requests and applies StoreFaults.Down to them.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.faults.Down
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type transaction struct {
	Conditions []Row `json:"precondition"`
	Writes     []Row `json:"writes"`
	Remove     []Row `json:"remove"`
}

type response struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	failed := false
	for _, condition := range t.Conditions {
		row, exists := s.rows[[2]string{condition.Table, condition.Key}]
		if exists {
			current = append(current, row)
		}
		failed = failed || row.Ver != condition.Ver
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, response{Rows: current, Ver: s.version})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Removed = true
	}
	s.apply(append(t.Writes, t.Remove...)...)
	if s.faults.LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, response{Ver: s.version})
}

// get responds with the rows of a table whose keys are in the range [from, target), in the order of their keys.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, row := range s.rows {
		to := query.Get("target")
		if row.Table == query.Get("table") && row.Key >= query.Get("from") && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(rows) > limit
	writeJSON(w, http.StatusOK, response{Rows: rows[:min(limit, len(rows))], HasMore: more, Ver: s.version})
}

// feed responds with the changes of a table after a version. It waits up to waitMs for a change if there is none.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		lost := after < s.faults.HistoryFrom || after > s.version
		rows := s.changesSince(query.Get("table"), after)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, response{Rows: rows, Ver: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, response{Ver: version})
			return
		}
	}
}

// changesSince returns the changes of table with a version above after. The caller holds s.mu.
func (s *Store) changesSince(table string, after uint64) []Row {
	var rows []Row
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			rows = append(rows, row)
		}
	}
	return rows
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected; there is no one to report it to.
	_ = json.NewEncoder(w).Encode(body)
}
