package edgeplatform

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Run is a request that a target has started to run.
type Run struct {
	RequestID, Tenant, Path, LastEvent, Hops string
	Body                                     string
	// Timeout is how long the target may work on the request.
	Timeout time.Duration
	At      time.Time
	// EndedAt is when the target stopped working on the request; zero if it has not.
	EndedAt time.Time
}

// Arrival is a request that a target has received, whether it ran or not.
type Arrival struct {
	RequestID string
	At        time.Time
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
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	// stalledUntil is when streams go on whose path contains the engine at an address.
	stalledUntil map[string]time.Time
}

// NewTarget starts a target. Call Close to stop it.
func NewTarget(id, service, zone, card string, events int) *Target {
	t := &Target{
		ID: id, Service: service, Zone: zone, Card: card, Events: events, born: 1,
		waitingStreams: make(map[string]chan string), eventInterval: eventInterval,
		stalledUntil: make(map[string]time.Time),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", t.report)
	mux.HandleFunc("POST /api/order", t.order)
	mux.HandleFunc("/", t.serve)
	t.server = httptest.NewUnstartedServer(t.abortWhileDown(t.announceLeaving(t.refuseForTime(mux))))
	t.server.Listener = lateCopyListener{t.server.Listener, t}
	t.server.Start()
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

// Close stops the target as a crash would: open connections are reset and new ones refused.
func (t *Target) Close() {
	t.server.Listener.Close()
	t.server.CloseClientConnections()
	t.server.Close()
}

// Arrivals returns the requests that the target has received.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Refusals returns the number of requests refused because of TargetFaults.RefusePathsVia.
func (t *Target) Refusals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals
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
		"coldLeftMs": 0,
	}
	if t.Card != "" {
		entry["routeKind"] = t.Card
		if t.to > t.from {
			entry["layers"] = t.layersField()
		}
	}
	return entry
}

// layersField returns the layers that the target holds, as its entry and its report give them. The caller holds t.mu.
func (t *Target) layersField() map[string]any {
	return map[string]any{"from": t.from, "target": t.to, "version": 1}
}
