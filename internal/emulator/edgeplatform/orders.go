package edgeplatform

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := map[string]any{"seq": t.orderCount, "busy": false, "born": t.born, "pace": 1.0, "kvUsed": 10, "kvTotal": 1000}
	if t.to > t.from {
		body["layers"] = t.layersField()
	}
	stalled := []map[string]string{}
	for id := range t.waitingStreams {
		if !t.faults.HideWait {
			stalled = append(stalled, map[string]string{"id": id, "addr": t.faults.WaitFor})
		}
	}
	body["stalled"] = stalled
	writeJSON(w, http.StatusOK, body)
}

// order handles an order. The op "place" sets the layers that the target holds to [from, target), and "repath" reroutes
// a waiting stream.
func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string `json:"op"`
		From         int    `json:"from"`
		Target       int    `json:"target"`
		Precondition *int   `json:"precondition"`
		ID           string `json:"id"`
		Path         string `json:"path"`
		Fence        uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if order.Op == "repath" {
		t.reroute(w, order.ID, order.Path)
		return
	}
	if order.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.orders = append(t.orders, Order{Fence: order.Fence, At: time.Now()})
	if order.Precondition != nil && *order.Precondition != t.orderCount {
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.orderCount++
	t.from, t.to = order.From, order.Target
	t.maxOrderedLayers = max(t.maxOrderedLayers, order.Target-order.From)
	w.WriteHeader(http.StatusAccepted)
}

// reroute handles an order to send a waiting stream along a new path. The stream continues if that path does not
// contain the engine for which it waits. The caller holds t.mu.
func (t *Target) reroute(w http.ResponseWriter, id, path string) {
	waiting := t.waitingStreams[id]
	switch {
	case waiting == nil:
		w.WriteHeader(http.StatusNotFound)
	case !strings.HasPrefix(path, t.advertised+"="):
		w.WriteHeader(http.StatusBadRequest)
	case t.faults.RefuseReroutesVia != "" && strings.Contains(path, t.faults.RefuseReroutesVia+"="):
		writeJSON(w, http.StatusConflict, map[string]string{"addr": t.faults.RefuseReroutesVia})
	default:
		t.reroutes = append(t.reroutes, path)
		if !strings.Contains(path, t.faults.WaitFor+"=") {
			delete(t.waitingStreams, id)
			close(waiting)
		}
		w.WriteHeader(http.StatusOK)
	}
}

// waitForReroute blocks a stream until it is rerouted. It returns false if the client disconnects before that.
func (t *Target) waitForReroute(r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	rerouted := make(chan string)
	t.mu.Lock()
	t.waitingStreams[id] = rerouted
	t.mu.Unlock()
	select {
	case <-rerouted:
		return true
	case <-r.Context().Done():
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.waitingStreams[id] == rerouted {
			delete(t.waitingStreams, id)
		}
		return false
	}
}

// Order is an order to hold layers that a target has received, whether it was carried out or not.
type Order struct {
	// Fence is the fencing number.
	Fence uint64
	At    time.Time
}

// Orders returns the orders to hold layers that the target has received.
func (t *Target) Orders() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Order(nil), t.orders...)
}

// Reroutes returns the new paths of all accepted reroutes.
func (t *Target) Reroutes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.reroutes...)
}
