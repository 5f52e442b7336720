package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// The model of the service llm: enginesHold of its layers fit on an engine, beside memory for requests.
const (
	modelLayers = 8
	enginesHold = 4
	engineKind  = "small"
)

// engine stands in for a model server that holds layers. It takes orders and reports its state; no case sends streams to it.
type engine struct {
	id, zone, addr string
	world          *world
	born           int64

	mu       sync.Mutex
	state    string
	from, to int
	orders   int
	seq      int64
}

func (w *world) startEngine(id, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, addr: listener.Addr().String(), world: w, born: time.Now().UnixMilli(), state: "ready"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Instance-Id", e.id) })
	go func() { _ = http.Serve(listener, mux) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			if e.gone() {
				return
			}
			e.beat()
		}
	}()
	w.engines = append(w.engines, e)
	return e, nil
}

func (e *engine) gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "gone"
}

func (e *engine) layers() (from, to int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.from, e.to
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": "llm", "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state, "coldLeftMs": 0,
		"stage": "both", "models": []any{}, "seq": e.seq, "born": e.born, "routeKind": engineKind, "busy": false,
	}
	if e.to > e.from {
		entry["layers"] = map[string]any{"from": e.from, "target": e.to, "version": 1}
	}
	e.mu.Unlock()
	e.world.store.put("servers", e.id, entry)
}

// leave reports that the engine is draining and, drainMs and a second later, ends it: its entry is removed.
func (e *engine) leave() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.world.record("engine %s reports draining", e.id)
	time.AfterFunc(3*time.Second, func() {
		e.mu.Lock()
		e.state = "gone"
		e.mu.Unlock()
		e.world.store.remove("servers", e.id)
		e.world.record("engine %s has left", e.id)
	})
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "seq": e.orders, "queued": 0, "active": 0, "kvUsed": 0,
		"kvTotal": 100000, "handles": 0, "born": e.born, "pace": 1, "routeKind": engineKind, "stalled": []any{},
	}
	if e.to > e.from {
		body["layers"] = map[string]any{"from": e.from, "target": e.to, "version": 1}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string
		From, Target int
		Precondition *int
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if order.Precondition != nil && *order.Precondition != e.orders {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.from, e.to = order.From, order.Target
	e.mu.Unlock()
	e.world.record("engine %s of zone %s takes the layers %d to %d", e.id, e.zone, order.From, order.Target)
	w.WriteHeader(http.StatusAccepted)
	e.beat()
}

// onlyHolder returns an engine of a zone that holds a layer that no other engine of the zone holds, or nil.
func (w *world) onlyHolder(zone string) *engine {
	var counts [modelLayers]int
	for _, e := range w.engines {
		from, to := e.layers()
		for layer := from; e.zone == zone && layer < to; layer++ {
			counts[layer]++
		}
	}
	for _, e := range w.engines {
		from, to := e.layers()
		for layer := from; e.zone == zone && layer < to; layer++ {
			if counts[layer] == 1 {
				return e
			}
		}
	}
	return nil
}

// llmService returns the service of the engines as the manifest describes it.
func llmService() map[string]any {
	return map[string]any{"name": "llm", "maxConns": 1000, "healthPath": "/healthz", "engine": map[string]any{
		"slots": 8, "kvCapacity": 100000, "kvTokenBytes": 8000, "stride": 2, "step_ms": 1, "per_seq_ms": 0.01,
		"context_per_k": 0.01, "read_per_s": 100000, "chunk": 512, "loads_at_once": 4, "layers": modelLayers, "layerMb": 100,
		"actBytes": 1000, "pipeMbps": 1000, "usual": map[string]any{"prompt": 100, "answer": 40},
		"models": []any{map[string]any{"name": "m", "loadS": 1}},
		"kinds":  []any{map[string]any{"name": engineKind, "sizeMb": enginesHold*100 + 50, "pace": 1, "readFactor": 1}},
	}}
}
