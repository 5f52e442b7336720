package platform

import (
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// Paths for tests to control the emulator.
const (
	// FaultsPath returns Faults on GET. POST sets the fields present in the body and returns all fields.
	FaultsPath = "/emulator/faults"
	// InstancesControlPath replaces the instance list on PUT; the body is platformapi.Instances.
	InstancesControlPath = "/emulator/instances"
	// CountsPath returns Counts.
	CountsPath = "/emulator/counts"
)

// Outage is how the platform treats calls during an outage.
type Outage string

// The kinds of outage.
const (
	// NoOutage means that calls are served.
	NoOutage Outage = ""
	// RefusingOutage responds with status 503 without executing the call.
	RefusingOutage Outage = "refuse"
	// DroppingOutage closes the connection without executing the call.
	DroppingOutage Outage = "drop"
	// HangingOutage keeps calls waiting until the outage ends, and then closes the connection without executing them.
	HangingOutage Outage = "hang"
)

// Faults are the current faults of a Platform.
type Faults struct {
	Outage Outage `json:"outage"`
	// OutageOfWrites limits the outage to writes.
	OutageOfWrites bool `json:"outage_of_writes"`
	// DelayMS is the delay before each read or write takes effect, in milliseconds; downloads of weights are not delayed.
	// A write takes effect even if the client gives up during the delay.
	DelayMS int64 `json:"delay_ms"`
	// LateWrites is the number of upcoming writes that get an additional delay of LateMS milliseconds.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// FailWrites is the number of upcoming writes that get status 500 and do not take effect.
	FailWrites int `json:"fail_writes"`
	// LoseResponses is the number of upcoming writes whose connection is closed after they took effect or were refused
	// with a conflict. LoseShare is the share of all other writes to which the same happens, from 0 to 1.
	LoseResponses int     `json:"lose_responses"`
	LoseShare     float64 `json:"lose_share"`
}

// Counts are the numbers of calls since the start.
type Counts struct {
	// Reads and Writes count the calls that were served, Limited those above a rate limit, and Lost the writes whose
	// response was dropped.
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Limited int `json:"limited"`
	Lost    int `json:"lost"`
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Faults returns the current faults. The numbers of upcoming writes decrease as writes arrive.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := p.Faults()
	if r.Method == http.MethodPost {
		if !wire.ReadJSON(w, r, &faults) {
			return
		}
		switch faults.Outage {
		case NoOutage, RefusingOutage, DroppingOutage, HangingOutage:
		default:
			wire.WriteError(w, http.StatusBadRequest, "unknown outage %q", faults.Outage)
			return
		}
		p.SetFaults(faults)
	}
	wire.WriteJSON(w, http.StatusOK, faults)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances platformapi.Instances
	if wire.ReadJSON(w, r, &instances) {
		p.SetInstances(instances.Instances)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(w, http.StatusOK, p.Counts())
}

// admit applies the current outage to a call and reports whether the call may proceed.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	outage, changed := p.faults.Outage, p.faultsChanged
	if p.faults.OutageOfWrites && r.Method == http.MethodGet {
		outage = NoOutage
	}
	p.mu.Unlock()
	switch outage {
	case RefusingOutage:
		w.Header().Set("Retry-After", retryAfterSeconds)
		wire.WriteError(w, http.StatusServiceUnavailable, "the platform is not available")
		return false
	case DroppingOutage:
		wire.DropConnection()
	case HangingOutage:
		p.hang(r, changed)
	}
	return true
}

// hang waits until the hanging outage ends, the client disconnects or the platform closes, and then drops the
// connection.
func (p *Platform) hang(r *http.Request, changed chan struct{}) {
	for {
		select {
		case <-changed:
		case <-r.Context().Done():
			wire.DropConnection()
		case <-p.ctx.Done():
			wire.DropConnection()
		}
		p.mu.Lock()
		outage := p.faults.Outage
		changed = p.faultsChanged
		p.mu.Unlock()
		if outage != HangingOutage {
			wire.DropConnection()
		}
	}
}

// refuseRateLimited responds to a call above a rate limit with status 429.
func (p *Platform) refuseRateLimited(w http.ResponseWriter) {
	p.mu.Lock()
	p.counts.Limited++
	p.mu.Unlock()
	w.Header().Set("Retry-After", retryAfterSeconds)
	wire.WriteError(w, http.StatusTooManyRequests, "the rate limit is exceeded")
}

// guardRead applies the outage, the rate limit and the delay to a read.
func (p *Platform) guardRead(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r) {
			return
		}
		if !p.reads.AllowN(p.clock.Now(), 1) {
			p.refuseRateLimited(w)
			return
		}
		delay := milliseconds(p.Faults().DelayMS)
		if p.clock.Sleep(r.Context(), delay) != nil {
			return
		}
		p.mu.Lock()
		p.counts.Reads++
		p.mu.Unlock()
		serve(w, r)
	}
}

// guardWrite applies faults and the rate limit to a write. It reads the body before any delay, and the delay continues
// when the client disconnects, so that a delayed write takes effect even after the client gave up.
func (p *Platform) guardWrite(apply func(r *http.Request, body []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r) {
			return
		}
		if !p.writes.AllowN(p.clock.Now(), 1) {
			p.refuseRateLimited(w)
			return
		}
		body, err := wire.ReadBody(w, r)
		if err != nil {
			wire.WriteError(w, http.StatusBadRequest, "read body: %v", err)
			return
		}
		plan := p.planWrite()
		if plan.fail {
			wire.WriteError(w, http.StatusInternalServerError, "the write failed")
			return
		}
		if p.clock.Sleep(p.ctx, plan.delay) != nil {
			wire.DropConnection()
		}
		status, response := apply(r, body)
		if plan.lose {
			wire.DropConnection()
		}
		wire.WriteJSON(w, status, response)
	}
}

// writePlan holds the faults that apply to one write.
type writePlan struct {
	fail  bool
	lose  bool
	delay time.Duration
}

// planWrite determines the faults of the next write, and counts the write unless it fails.
func (p *Platform) planWrite() writePlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if consume(&p.faults.FailWrites) {
		return writePlan{fail: true}
	}
	plan := writePlan{delay: milliseconds(p.faults.DelayMS)}
	if consume(&p.faults.LateWrites) {
		plan.delay += milliseconds(p.faults.LateMS)
	}
	plan.lose = consume(&p.faults.LoseResponses) || (p.faults.LoseShare > 0 && p.random.Float64() < p.faults.LoseShare)
	p.counts.Writes++
	if plan.lose {
		p.counts.Lost++
	}
	return plan
}

// consume decrements *n if it is above 0 and reports whether it did so.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
