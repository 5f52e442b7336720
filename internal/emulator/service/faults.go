package service

import (
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// Paths for tests to control the emulator.
const (
	// FaultsPath returns Faults on GET. POST sets the fields present in the body and returns all fields.
	FaultsPath = "/emulator/faults"
	// LedgerPath returns Ledger; the query parameter "key" restricts it to one key.
	LedgerPath = "/emulator/ledger"
)

// Faults are the current faults of a Service. The numbers of upcoming calls decrease as calls arrive.
type Faults struct {
	// LatencyMS is the delay of a call before execution, AfterMS the delay after it, in milliseconds.
	LatencyMS int64 `json:"latency_ms"`
	AfterMS   int64 `json:"after_ms"`
	// Leaving makes the service refuse all new calls with engineapi.RunNotRun. Calls in progress complete.
	Leaving bool `json:"leaving"`
	// Hanging blocks calls before execution. When it ends, the blocked calls are dropped without execution.
	Hanging bool `json:"hanging"`
	// Refuse is the number of upcoming calls that are refused with engineapi.RunNotRun.
	Refuse int `json:"refuse"`
	// FailBefore and FailAfter are the numbers of upcoming calls that get status 500 before or after execution.
	FailBefore int `json:"fail_before"`
	FailAfter  int `json:"fail_after"`
	// DropBefore and DropAfter are the numbers of upcoming calls whose connection is closed before or after execution.
	DropBefore int `json:"drop_before"`
	DropAfter  int `json:"drop_after"`
	// DropShare is the share of all other calls whose connection is closed after execution, from 0 to 1.
	DropShare float64 `json:"drop_share"`
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if r.Method == http.MethodPost {
		if !wire.ReadJSON(w, r, &faults) {
			return
		}
		s.SetFaults(faults)
	}
	wire.WriteJSON(w, http.StatusOK, faults)
}

// Ledger is the response of GET LedgerPath.
type Ledger struct {
	Executions []Execution `json:"executions"`
}

func (s *Service) serveLedger(w http.ResponseWriter, r *http.Request) {
	executions := s.Ledger()
	if key := r.URL.Query().Get("key"); key != "" {
		executions = s.Executions(key)
	}
	wire.WriteJSON(w, http.StatusOK, Ledger{Executions: executions})
}

// callPlan holds the faults that apply to one call.
type callPlan struct {
	refuse     bool
	failBefore bool
	failAfter  bool
	dropBefore bool
	dropAfter  bool
	latency    time.Duration
	after      time.Duration
}

// planCall determines the faults of the next call.
func (s *Service) planCall() callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	if f.Leaving || consume(&f.Refuse) {
		return callPlan{refuse: true}
	}
	p := callPlan{
		failBefore: consume(&f.FailBefore),
		failAfter:  consume(&f.FailAfter),
		dropBefore: consume(&f.DropBefore),
		dropAfter:  consume(&f.DropAfter),
		latency:    time.Duration(f.LatencyMS) * time.Millisecond,
		after:      time.Duration(f.AfterMS) * time.Millisecond,
	}
	if f.DropShare > 0 && s.random.Float64() < f.DropShare {
		p.dropAfter = true
	}
	return p
}

// consume decrements *n if it is above 0 and reports whether it did so.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// hang blocks a call while Faults.Hanging is set and then drops it. It returns at once if Faults.Hanging is not set.
func (s *Service) hang(r *http.Request) {
	waited := false
	for {
		s.mu.Lock()
		hanging, changed := s.faults.Hanging, s.faultsChanged
		s.mu.Unlock()
		if !hanging {
			if waited {
				wire.DropConnection()
			}
			return
		}
		waited = true
		select {
		case <-changed:
		case <-r.Context().Done():
			wire.DropConnection()
		case <-s.ctx.Done():
			wire.DropConnection()
		}
	}
}
