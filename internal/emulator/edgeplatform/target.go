package edgeplatform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// eventInterval is the time between two events of a stream.
	eventInterval = 5 * time.Millisecond
	// crashTime is how long a target is down after a crash.
	crashTime = 100 * time.Millisecond
)

// TargetFaults are the faults of a Target.
type TargetFaults struct {
	// Hang makes the target read requests and never respond.
	Hang bool
	// BreakAfter closes the connection of each stream after this many events; 0 for never. BreakMidEvent closes it in
	// the middle of the next event.
	BreakAfter    int
	BreakMidEvent bool
	// FirstEventDelay is how long a stream has no event at first.
	FirstEventDelay time.Duration
	// StallAfter makes each stream stall after this many events; 0 for never.
	StallAfter int
	// CommentWhileStalled makes a stalled stream send comments.
	CommentWhileStalled bool
	// WaitFor is the address of another engine for which each stream waits after StallAfter events, until the stream is
	// rerouted to a path without that engine. HideWait leaves waiting streams out of the target's report.
	WaitFor  string
	HideWait bool
	// RefuseReroutesVia makes the target refuse to reroute streams to paths that contain the engine at this address,
	// which it names as the cause.
	RefuseReroutesVia string
	// RefusePathsVia makes the target refuse requests whose path contains the engine at this address, which it names as
	// the cause. The header X-Not-Executed marks the refusal.
	RefusePathsVia string
	// Refuse makes the target refuse all requests. The header X-Not-Executed marks the refusal.
	Refuse bool
	// RefuseFor makes the target refuse all requests, as Refuse does, and ask for this time without any.
	RefuseFor time.Duration
	// LoseResponses makes the target run requests and close the connection without a response.
	LoseResponses bool
	// Truncate makes responses of plain services end in the middle of the body.
	Truncate bool
	// OmitStamp omits the header X-Server-Stamp, which shows that a response of a plain service comes from the target.
	OmitStamp bool
	// EndlessHead and EndlessBody make responses of plain services go on until the other side closes the connection, in
	// a line of the head or in the body.
	EndlessHead, EndlessBody bool
	// CloseDelimited makes responses have neither a length nor chunks, so that they end with the connection.
	CloseDelimited bool
	// CrashOnPart makes the target crash when it begins to answer a stream whose prompt has this part. It is then down
	// for crashTime, and comes back as a new process that holds its layers, so that tests need not wait for orders.
	CrashOnPart string
	// FailStatus is the status of responses of plain services; 200 if 0.
	FailStatus int
	// SilentFor makes the target fall silent once: it keeps its connections and what it runs, and neither reads nor
	// writes for this time. It does so when a request arrives, or at the event SilentAfter of a stream.
	SilentFor   time.Duration
	SilentAfter int
	// SilentInBody makes the target fall silent for this time in the middle of the body of each response of a plain
	// service.
	SilentInBody time.Duration
	// Leaving makes the target say in all its responses that it leaves.
	Leaving bool
}

// Run is a request that a target has started to run.
type Run struct {
	RequestID, Tenant, Path, LastEvent, Hops string
	Body                                     string
	At                                       time.Time
}

// Target is an emulated model engine or target of a plain service. It is safe for concurrent use.
type Target struct {
	ID      string
	Service string
	Zone    string
	// Card is the accelerator type; empty for a plain service.
	Card string
	// Events is the number of events of a complete stream.
	Events int
	// Latency is the time that a request to a plain service takes.
	Latency time.Duration

	server *httptest.Server
	mu     sync.Mutex
	// advertised is the host:port in the target's entry. born counts the starts of the target.
	advertised string
	born       int
	faults     TargetFaults
	runs       []Run
	arrivals   []Arrival
	refusals   int
	// entries counts the entries that Entry has returned.
	entries          int
	from             int
	to               int
	orderCount       int
	orders           []Order
	maxOrderedLayers int
	// inProgress counts the requests in progress.
	inProgress int
	// waitingStreams holds a channel for each stream that waits for another engine, by request ID. The channel is
	// closed when the stream is rerouted to a path without that engine.
	waitingStreams map[string]chan string
	// endlessBytes counts the bytes written for EndlessHead and EndlessBody.
	endlessBytes int64
	// reroutes holds the new paths of all accepted reroutes.
	reroutes []string
	// crashes counts the crashes because of CrashOnPart. The target is down until downUntil.
	crashes   int
	downUntil time.Time
	// silentUntil is the end of a silence because of SilentFor.
	silentUntil time.Time
}

// NewTarget starts a target. Call Close to stop it.
func NewTarget(id, service, zone, card string, events int) *Target {
	t := &Target{
		ID: id, Service: service, Zone: zone, Card: card, Events: events, born: 1,
		waitingStreams: make(map[string]chan string),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", t.report)
	mux.HandleFunc("POST /api/order", t.order)
	mux.HandleFunc("/", t.serve)
	t.server = httptest.NewServer(t.abortWhileDown(t.announceLeaving(t.refuseForTime(mux))))
	t.advertised = t.server.Listener.Addr().String()
	return t
}

// Address returns the host:port in the target's entry.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advertised
}

// Advertise sets the address in the target's entry to that of a proxy in front of it, and returns the address on which
// the target listens.
func (t *Target) Advertise(address string) (listenAddress string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advertised = address
	return t.server.Listener.Addr().String()
}

// Restart closes all connections, discards the layers and the order count, and counts a new start, as after a crash.
func (t *Target) Restart() {
	t.server.CloseClientConnections()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.born++
	t.from, t.to, t.orderCount = 0, 0, 0
}

// abortWhileDown closes the connections of requests that arrive while the target is down.
func (t *Target) abortWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.Down() {
			panic(http.ErrAbortHandler)
		}
		t.awaitEndOfSilence()
		next.ServeHTTP(w, r)
	})
}

// fallSilent begins a silence because of SilentFor after the given number of events of a stream, unless it has been.
func (t *Target) fallSilent(events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.SilentFor > 0 && t.faults.SilentAfter == events {
		t.silentUntil = time.Now().Add(t.faults.SilentFor)
		t.faults.SilentFor = 0
	}
}

// Silence makes the target fall silent now, as SilentFor does.
func (t *Target) Silence(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentUntil = time.Now().Add(d)
}

// awaitEndOfSilence blocks while the target is silent.
func (t *Target) awaitEndOfSilence() {
	t.mu.Lock()
	until := t.silentUntil
	t.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Down reports whether the target is down after a crash.
func (t *Target) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.downUntil)
}

// Crashes returns the number of crashes because of TargetFaults.CrashOnPart.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// crash closes all connections and takes the target down for crashTime.
func (t *Target) crash() {
	t.mu.Lock()
	t.born++
	t.crashes++
	t.downUntil = time.Now().Add(crashTime)
	t.mu.Unlock()
	t.server.CloseClientConnections()
}

// hasPart reports whether the prompt of a request has a part with the given id.
func hasPart(r *http.Request, id string) bool {
	for entry := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		if name, _, _ := strings.Cut(entry, ":"); name == id {
			return true
		}
	}
	return false
}

// Arrival is a request that a target has received, whether it ran or not.
type Arrival struct {
	RequestID string
	At        time.Time
}

// Arrivals returns the requests that the target has received.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Close stops the target as a crash would: open connections are reset and new ones refused.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// UpdateFaults changes the faults while no request reads them.
func (t *Target) UpdateFaults(update func(*TargetFaults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.faults)
}

// Runs returns the requests that the target has started to run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// InProgress returns the number of requests in progress.
func (t *Target) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inProgress
}

// Layers returns the range of layers that the target holds, and the largest number of layers that an order has set.
func (t *Target) Layers() (from, to, maxOrderedLayers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.from, t.to, t.maxOrderedLayers
}

// SetLayers sets, without an order, the layers that the target holds. Its parameters mean the same as the results of
// Layers.
func (t *Target) SetLayers(from, to, maxOrderedLayers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from, t.to, t.maxOrderedLayers = from, to, maxOrderedLayers
}

// Entry returns the target's next entry in the list of targets, with the given state.
func (t *Target) Entry(state string) map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries++
	entry := map[string]any{
		"seq":     t.entries,
		"service": t.Service, "addr": t.advertised, "zone": t.Zone, "version": "v1", "slots": 8, "state": state, "born": t.born,
	}
	if t.Card != "" {
		entry["routeKind"] = t.Card
		if t.to > t.from {
			entry["layers"] = map[string]any{"from": t.from, "target": t.to, "version": 1}
		}
	}
	return entry
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := map[string]any{"seq": t.orderCount, "busy": false, "born": t.born, "pace": 1.0, "kvUsed": 10, "kvTotal": 1000}
	if t.to > t.from {
		body["layers"] = map[string]any{"from": t.from, "target": t.to, "version": 1}
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

// Refusals returns the number of requests refused because of TargetFaults.RefusePathsVia.
func (t *Target) Refusals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals
}

// Reroutes returns the new paths of all accepted reroutes.
func (t *Target) Reroutes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.reroutes...)
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
