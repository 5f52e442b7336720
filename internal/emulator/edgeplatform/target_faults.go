package edgeplatform

import (
	"net/http"
	"strings"
	"time"
)

// crashTime is how long a target is down after a crash.
const crashTime = 100 * time.Millisecond

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
	// CommentFirst makes each stream begin with a comment, before FirstEventDelay.
	CommentFirst bool
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
	// ExtraResponse makes the target of a plain service write a copy of an earlier response before each response and close
	// the connection after the latter. Without ExtraResponseID the copy names no request.
	ExtraResponse   bool
	ExtraResponseID string
	// LateCopies is the number of times that the target sends each response again, whatever it says, when the next request has
	// arrived on its connection.
	LateCopies int
	// RefuseFirst makes the target refuse each request when it arrives for the first time. The refusal of a stream names the last
	// engine of its path as the cause, as for one that is full.
	RefuseFirst bool
	// OmitRequestID omits the header X-Request-Id.
	OmitRequestID bool
	// EndlessHead and EndlessBody make responses of plain services go on until the other side closes the connection, in
	// a line of the head or in the body.
	EndlessHead, EndlessBody bool
	// CloseDelimited makes responses have neither a length nor chunks, so that they end with the connection.
	CloseDelimited bool
	// CrashOnPart makes the target crash when it begins to answer a stream whose prompt has this part. It is then down
	// for crashTime, and comes back as a new process that holds its layers, so that tests need not wait for orders.
	CrashOnPart string
	// RawStatus, if set, is the status code as written in all responses, which have no body and keep their connection open.
	RawStatus string
	// FailStatus is the status of responses of plain services; 200 if 0.
	FailStatus int
	// SilentFor makes the target fall silent once: it keeps its connections and what it runs, and neither reads nor
	// writes for this time. It does so when a request arrives, or at the event SilentAfter of a stream.
	SilentFor   time.Duration
	SilentAfter int
	// SilentInBody makes the target fall silent for this time in the middle of the body of each response of a plain
	// service.
	SilentInBody time.Duration
	// Leaving makes the target announce in all its responses that it is leaving.
	Leaving bool
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

// StallStreamsVia makes the target send no events for the given time of streams whose path contains the engine at this
// address, as if it waited for that engine.
func (t *Target) StallStreamsVia(address string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalledUntil[address] = time.Now().Add(d)
}

// awaitEndOfStall blocks while the target sends no events of a stream with these hops.
func (t *Target) awaitEndOfStall(hops string) {
	t.mu.Lock()
	var end time.Time
	for address, until := range t.stalledUntil {
		if until.After(end) && strings.Contains(hops, address+"=") {
			end = until
		}
	}
	t.mu.Unlock()
	time.Sleep(time.Until(end))
}

// SetEventInterval sets the time between two events of a stream; 0 for the usual time.
func (t *Target) SetEventInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d == 0 {
		d = eventInterval
	}
	t.eventInterval = d
}

// sleepUntilNextEvent waits until the next event of a stream is due.
func (t *Target) sleepUntilNextEvent() {
	t.mu.Lock()
	interval := t.eventInterval
	t.mu.Unlock()
	time.Sleep(interval)
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
