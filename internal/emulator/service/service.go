// Package service emulates a plain HTTP service with idempotent lookups (GET and HEAD) and non-idempotent postings
// (all other methods), which carry an Idempotency-Key header. It records every execution in a ledger, so that tests can
// count the executions of a key. Faults are set with SetFaults or at FaultsPath.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	"github.com/hyssophoist/hyssophoist/internal/emulator/lag"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// KeyHeader carries the idempotency key of a posting.
const KeyHeader = "Idempotency-Key"

// LoadPath returns an engineapi.LoadReport in which Target, Sequence, AgeMS, Queued and Running are set.
const LoadPath = engineapi.LoadPath

// Options configures a Service.
type Options struct {
	// Target is the name of this service instance.
	Target string
	// Latency is the delay of a call before it is executed. It is the initial value of Faults.LatencyMS.
	Latency time.Duration
	// MaxRunning bounds the calls that run at once and MaxQueued those that wait; a call beyond both is refused with
	// engineapi.RunNotRun. 0 means 64 for MaxRunning and 256 for MaxQueued.
	MaxRunning, MaxQueued int
	// ChecksFencing makes the service refuse a fencing number lower than the highest seen for a key, run a key at most
	// once and return the recorded response for a repeated key. Otherwise it runs every call that it receives.
	ChecksFencing bool
	// LoadLag is the delay until a load report is visible, LoadInterval the time between two load reports.
	LoadLag, LoadInterval time.Duration
	// Seed determines which responses are dropped when Faults.DropShare is set.
	Seed uint64
	// Clock is the clock of the service; clock.System if nil.
	Clock clock.Clock
}

const (
	defaultMaxRunning = 64
	defaultMaxQueued  = 256
)

// Execution is one execution of a posting.
type Execution struct {
	Key           string    `json:"key"`
	Method        string    `json:"method"`
	Path          string    `json:"path"`
	FencingNumber uint64    `json:"fencing_number"`
	BodySHA256    string    `json:"body_sha256"`
	At            time.Time `json:"at"`
}

// Posting is the body of a posting that changes a balance. A body of another form changes nothing.
type Posting struct {
	Account string `json:"account"`
	// Amount is in the smallest unit of the currency.
	Amount int64 `json:"amount"`
}

// Response is the body of every successful response.
type Response struct {
	Target string `json:"target"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	// Executions is the number of executions of the key, including this one; 0 for lookups.
	Executions int    `json:"executions,omitempty"`
	BodySHA256 string `json:"body_sha256,omitempty"`
	// Account and Balance are set for lookups below BalancesPath and for postings whose body is a Posting.
	Account string `json:"account,omitempty"`
	Balance int64  `json:"balance"`
}

// BalancesPath is the path prefix of balance lookups, GET /balances/{account}.
const BalancesPath = "/balances"

// Service is an emulated service. It is an http.Handler and safe for concurrent use.
type Service struct {
	options Options
	clock   clock.Clock
	handler *mux.Router
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}

	mu                sync.Mutex
	ledger            []Execution
	executionsByKey   map[string][]Execution
	balances          map[string]int64
	highestFencing    map[string]uint64
	recordedResponses map[string]*Response
	load              load
	loadHistory       *lag.History[load]
	faults            Faults
	faultsChanged     chan struct{}
	random            *rand.Rand
}

type load struct{ queued, running int }

// New returns a service.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.MaxRunning == 0 {
		options.MaxRunning = defaultMaxRunning
	}
	if options.MaxQueued == 0 {
		options.MaxQueued = defaultMaxQueued
	}
	s := &Service{
		options:           options,
		clock:             options.Clock,
		slots:             make(chan struct{}, options.MaxRunning),
		executionsByKey:   map[string][]Execution{},
		balances:          map[string]int64{},
		highestFencing:    map[string]uint64{},
		recordedResponses: map[string]*Response{},
		loadHistory:       lag.NewHistory(options.Clock.Now(), load{}, options.LoadLag, options.LoadInterval),
		faults:            Faults{LatencyMS: options.Latency.Milliseconds()},
		faultsChanged:     make(chan struct{}),
		random:            rand.New(rand.NewPCG(options.Seed, 0)),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.handler = wire.NewRouter()
	s.handler.HandleFunc(LoadPath, s.serveLoad).Methods(http.MethodGet)
	s.handler.HandleFunc(FaultsPath, s.serveFaults).Methods(http.MethodGet, http.MethodPost)
	s.handler.HandleFunc(LedgerPath, s.serveLedger).Methods(http.MethodGet)
	s.handler.PathPrefix("/").HandlerFunc(s.serveCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Close drops queued and hanging calls and delayed postings. Postings that are not yet executed do not take effect.
func (s *Service) Close() { s.cancel() }

// Executions returns all executions of key in order.
func (s *Service) Executions(key string) []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executionsByKey[key]...)
}

// Ledger returns all executions of all keys in order.
func (s *Service) Ledger() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.ledger...)
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.hang(r)
	s.mu.Lock()
	now := s.clock.Now()
	visible, measured, sequence := s.loadHistory.Visible(now)
	s.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, engineapi.LoadReport{
		Target: s.options.Target, Sequence: sequence, AgeMS: now.Sub(measured).Milliseconds(),
		Queued: visible.queued, Running: visible.running,
	})
}

// serveCall handles a lookup or posting. A posting continues when the client disconnects, because the client then does
// not know its outcome.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(w, r)
	if err != nil {
		wire.WriteError(w, http.StatusBadRequest, "read body: %v", err)
		return
	}
	plan := s.planCall()
	if plan.refuse || !s.enqueue() {
		w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
		w.Header().Set("Retry-After", "1")
		wire.WriteError(w, http.StatusServiceUnavailable, "service %q is not accepting calls", s.options.Target)
		return
	}
	s.hangQueued(r)
	select {
	case s.slots <- struct{}{}:
		s.adjustLoad(-1, 1)
	case <-s.ctx.Done():
		s.adjustLoad(-1, 0)
		wire.DropConnection()
	}
	defer func() {
		s.adjustLoad(0, -1)
		<-s.slots
	}()
	lookup := r.Method == http.MethodGet || r.Method == http.MethodHead
	ctx := s.ctx
	if lookup {
		ctx = r.Context()
	}
	if s.clock.Sleep(ctx, plan.latency) != nil || plan.dropBefore {
		wire.DropConnection()
	}
	if plan.failBefore {
		wire.WriteError(w, http.StatusInternalServerError, "failed before execution")
		return
	}
	status, response := http.StatusOK, any(nil)
	if lookup {
		response = s.lookUp(r)
	} else if executed, stale := s.execute(r, body); !stale {
		response = executed
	} else {
		// The header distinguishes this refusal from a 409 response of the application. It applies to this call only; an
		// earlier call with a higher fencing number may have executed the key.
		w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
		status = http.StatusConflict
		response = engineapi.ErrorBody{Error: "the fencing number is lower than the highest seen for the key"}
	}
	if s.clock.Sleep(ctx, plan.after) != nil || plan.dropAfter {
		wire.DropConnection()
	}
	if plan.failAfter {
		status, response = http.StatusInternalServerError, engineapi.ErrorBody{Error: "failed after execution"}
	}
	wire.WriteJSON(w, status, response)
}

// enqueue adds a call to the queue. It returns false if the queue is full.
func (s *Service) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.queued+s.load.running >= s.options.MaxRunning+s.options.MaxQueued {
		return false
	}
	s.load.queued++
	s.loadHistory.Record(s.clock.Now(), s.load)
	return true
}

// hangQueued is hang for a queued call. It removes the call from the queue if hang drops the call by a panic.
func (s *Service) hangQueued(r *http.Request) {
	hangReturned := false
	defer func() {
		if !hangReturned {
			s.adjustLoad(-1, 0)
		}
	}()
	s.hang(r)
	hangReturned = true
}

// adjustLoad adds queued and running to the load.
func (s *Service) adjustLoad(queued, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.queued += queued
	s.load.running += running
	s.loadHistory.Record(s.clock.Now(), s.load)
}

func (s *Service) lookUp(r *http.Request) *Response {
	response := &Response{Target: s.options.Target, Method: r.Method, Path: r.URL.Path}
	if account, ok := strings.CutPrefix(r.URL.Path, BalancesPath+"/"); ok {
		s.mu.Lock()
		response.Account, response.Balance = account, s.balances[account]
		s.mu.Unlock()
	}
	return response
}

// execute runs a posting. It returns stale if the service checks fencing numbers and has seen a higher one for the key.
func (s *Service) execute(r *http.Request, body []byte) (response *Response, stale bool) {
	key := r.Header.Get(KeyHeader)
	fencing, _ := strconv.ParseUint(r.Header.Get(engineapi.FencingHeader), 10, 64)
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFencing && key != "" {
		if fencing < s.highestFencing[key] {
			return nil, true
		}
		s.highestFencing[key] = fencing
		if recorded := s.recordedResponses[key]; recorded != nil {
			return recorded, false
		}
	}
	execution := Execution{
		Key: key, Method: r.Method, Path: r.URL.Path, FencingNumber: fencing,
		BodySHA256: hex.EncodeToString(sum[:]), At: s.clock.Now(),
	}
	s.ledger = append(s.ledger, execution)
	s.executionsByKey[key] = append(s.executionsByKey[key], execution)
	response = &Response{
		Target: s.options.Target, Method: r.Method, Path: r.URL.Path, Key: key, BodySHA256: execution.BodySHA256,
		Executions: len(s.executionsByKey[key]),
	}
	var posting Posting
	if json.Unmarshal(body, &posting) == nil && posting.Account != "" {
		s.balances[posting.Account] += posting.Amount
		response.Account, response.Balance = posting.Account, s.balances[posting.Account]
	}
	s.recordedResponses[key] = response
	return response, false
}
