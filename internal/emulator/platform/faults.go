package platform

import (
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// Paths of the control endpoint.
const (
	// FaultsPath returns Faults with GET. POST changes the fields that the body names and returns all.
	FaultsPath = "/emulator/faults"
	// InstancesControlPath replaces the instance list with PUT; the body is platformapi.Instances.
	InstancesControlPath = "/emulator/instances"
	// CountsPath returns Counts.
	CountsPath = "/emulator/counts"
)

// Outage says how the platform treats calls while it is out.
type Outage string

// The outages.
const (
	// NoOutage means that calls are served.
	NoOutage Outage = ""
	// RefusingOutage answers 503 before any work.
	RefusingOutage Outage = "refuse"
	// DroppingOutage closes the connection before any work.
	DroppingOutage Outage = "drop"
	// HangingOutage answers nothing until the outage ends, and then closes the connection without any work.
	HangingOutage Outage = "hang"
)

// Faults are the faults in force.
type Faults struct {
	Outage Outage `json:"outage"`
	// OutageOfWrites limits the outage to writes.
	OutageOfWrites bool `json:"outage_of_writes"`
	// DelayMS is added to every call before it takes effect, in milliseconds. A write takes effect even if the client
	// gives up during the delay.
	DelayMS int64 `json:"delay_ms"`
	// LateWrites is the number of coming writes that get a further delay of LateMS milliseconds.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// FailWrites is the number of coming writes that are answered with 500 and do not take effect.
	FailWrites int `json:"fail_writes"`
	// LoseResponses is the number of coming writes whose connection is closed after they took effect or were refused
	// with a conflict. LoseShare is the share of all other writes treated so, from 0 to 1.
	LoseResponses int     `json:"lose_responses"`
	LoseShare     float64 `json:"lose_share"`
}

// Counts counts the calls since the start.
type Counts struct {
	// Reads and Writes count the calls that were served, Limited those above a rate limit, Lost the responses that were
	// dropped after the write.
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

// Faults returns the faults in force. The numbers of coming writes go down as the writes arrive.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the number of calls since the start.
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

// admit applies the outage. It returns whether the call may go on.
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

// hang waits until the hanging outage ends, the client leaves or the platform closes, and drops the connection.
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

func (p *Platform) refuseRateLimited(w http.ResponseWriter) {
	p.mu.Lock()
	p.counts.Limited++
	p.mu.Unlock()
	w.Header().Set("Retry-After", retryAfterSeconds)
	wire.WriteError(w, http.StatusTooManyRequests, "the rate limit is exceeded")
}

// guardRead applies faults and the rate limit to a read.
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

// guardWrite applies faults and the rate limit to a write. The body is read before any delay and the delay does not end
// when the client leaves, so that a delayed write takes effect after the client gave up.
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

// writePlan says what happens to one write.
type writePlan struct {
	fail  bool
	lose  bool
	delay time.Duration
}

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

// take counts n down and returns whether it was above 0.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
