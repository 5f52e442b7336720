package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service: a plain one, or a model engine if card is set.
type server struct {
	id, service, zone, card string
	slots                   int
	work                    time.Duration // time that a plain request runs
	firstEvent, gap         time.Duration
	events                  int
	address                 string
	store                   *store
	record                  *record
	born                    int64

	mu       sync.Mutex
	state    string
	seq      int
	orders   int
	from, to int
	busy     bool
	places   chan struct{}
	// arrived and runs hold the time of arrival and of the begin of work of each request by its id.
	arrived map[string]time.Time
	runs    map[string]int
	keys    map[string]string
}

func newServer(s *store, rec *record, t *server) (*server, error) {
	t.store, t.record, t.state = s, rec, "ready"
	t.born = time.Now().UnixMilli()
	t.places = make(chan struct{}, t.slots)
	t.arrived, t.runs, t.keys = make(map[string]time.Time), make(map[string]int), make(map[string]string)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /api/report", t.report)
	mux.HandleFunc("POST /api/order", t.order)
	mux.HandleFunc("/", t.serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	t.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			t.register()
		}
	}()
	return t, nil
}

// register writes the server's entry, as a server does about every heartbeatMs and when more than seq has changed.
func (t *server) register() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == "gone" {
		return time.Time{}
	}
	t.seq++
	entry := map[string]any{
		"service": t.service, "addr": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": t.state,
		"coldLeftMs": 0, "seq": t.seq, "born": t.born,
	}
	if t.card != "" {
		entry["stage"], entry["routeKind"], entry["busy"] = "both", t.card, t.busy
		entry["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}
		if t.to > t.from {
			entry["layers"] = map[string]any{"from": t.from, "target": t.to, "version": 1}
		}
	}
	return t.store.put("servers", t.id, entry)
}

// leave reports that the server is draining and returns when the store confirmed it.
func (t *server) leave() time.Time {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	return t.register()
}

func (t *server) expected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (t *server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *server) report(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := map[string]any{
		"stage": "both", "models": []any{}, "busy": t.busy, "seq": t.orders, "queued": 0, "active": len(t.places),
		"kvUsed": 10, "kvTotal": 1e9, "handles": 0, "born": t.born, "pace": 1.0, "stalled": []any{}, "routeKind": t.card,
	}
	if t.to > t.from {
		body["layers"] = map[string]any{"from": t.from, "target": t.to, "version": 1}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (t *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		From         int    `json:"from"`
		Target       int    `json:"target"`
		Precondition *int   `json:"precondition"`
	}
	if !t.expected(w, r) {
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "place" && o.Op != "repath" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Op == "repath" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.mu.Lock()
	if o.Precondition != nil && *o.Precondition != t.orders || t.busy {
		t.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.orders++
	t.busy = true
	t.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	go func() {
		time.Sleep(300 * time.Millisecond)
		t.mu.Lock()
		t.from, t.to, t.busy = o.From, o.Target, false
		t.mu.Unlock()
		t.register()
	}()
}

func (t *server) serve(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("X-Request-Id")
	t.mu.Lock()
	t.arrived[name] = time.Now()
	t.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !t.expected(w, r) {
		return
	}
	w.Header().Set("X-Request-Id", name)
	select {
	case t.places <- struct{}{}:
		defer func() { <-t.places }()
	case <-r.Context().Done():
		return
	case <-time.After(2 * time.Second):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Stamp", t.id+"."+name)
	t.mu.Lock()
	t.runs[name]++
	t.keys[name] = r.Header.Get("X-Tenant")
	t.mu.Unlock()
	t.record.writef("server %s runs %s", t.id, name)
	if t.card == "" {
		t.servePlain(w, r, name)
		return
	}
	t.serveStream(w, r)
}

func (t *server) servePlain(w http.ResponseWriter, r *http.Request, name string) {
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	body := "answer to " + name
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (t *server) serveStream(w http.ResponseWriter, r *http.Request) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	wait := t.firstEvent
	for i := first; i < t.events; i++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = t.gap
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (t *server) runsOf(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[name]
}

func (t *server) arrivalOf(name string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, found := t.arrived[name]
	return at, found
}
