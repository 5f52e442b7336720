package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store. Value is base64 on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]row
	history []row
	started time.Time
	address string
	// answerLost is asked before each answer to a call of a daemon; if it returns true, the answer is lost: nothing is
	// written, and the connection delivers nothing further. It may be nil.
	answerLost func() bool
}

func newStore() (*store, error) {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

func id(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a server does, and returns when the store confirms it.
func (s *store) put(table, key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: content}})
	return time.Now()
}

func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Tombstone: true}})
	return time.Now()
}

func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Ver = s.version
		if r.Tombstone {
			r.Value = nil
			delete(s.rows, id(r.Table, r.Part, r.Key))
		} else {
			s.rows[id(r.Table, r.Part, r.Key)] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// answer writes an answer unless it is lost.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, rows []row, more bool, version uint64) {
	if s.answerLost != nil && s.answerLost() {
		<-r.Context().Done() // the connection stays open and delivers nothing further
		panic(http.ErrAbortHandler)
	}
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{rows, more, version, time.Since(s.started).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Tombstone = true
	}
	changes := append(tx.Writes, tx.Remove...)
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var current []row
	failed := false
	for _, p := range tx.Precondition {
		found, exists := s.rows[id(p.Table, p.Part, p.Key)]
		if exists {
			current = append(current, found)
		}
		failed = failed || found.Ver != p.Ver
	}
	if !failed {
		s.apply(changes)
	}
	version := s.version
	s.mu.Unlock()
	if failed {
		s.answer(w, r, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.answer(w, r, http.StatusOK, nil, false, version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []row
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") &&
			(q.Get("target") == "" || c.Key < q.Get("target")) {
			rows = append(rows, c)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, r, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []row
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, r, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.answer(w, r, http.StatusOK, nil, false, version)
			return
		}
	}
}
