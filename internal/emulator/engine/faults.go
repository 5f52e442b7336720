package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

const controlPrefix = "/emulator/"

// FaultsPath returns Faults with GET. POST changes the fields that the body names and returns all.
const FaultsPath = controlPrefix + "faults"

// Corruption is an error in the events of a stream.
type Corruption string

// The corruptions. Each must be caught by a check of the trace or of the identity of a token.
const (
	NoCorruption Corruption = ""
	// SkippedLayer leaves the last layer of this engine out of its trace entry.
	SkippedLayer Corruption = "skipped-layer"
	// RepeatedStage repeats the trace entry of this engine.
	RepeatedStage Corruption = "repeated-stage"
	// OtherRequest names another request in the event.
	OtherRequest Corruption = "other-request"
	// OtherAttempt names another attempt in the event.
	OtherAttempt Corruption = "other-attempt"
	// OtherPosition names the next but one position in the event.
	OtherPosition Corruption = "other-position"
	// RepeatedEvent sends the event twice.
	RepeatedEvent Corruption = "repeated-event"
)

// Faults are the faults in force. The numbers of coming steps go down as steps arrive.
type Faults struct {
	// Speed divides the time of steps and loads; it must be above 0.
	Speed float64 `json:"speed"`
	// Links replaces the links to the targets that it names.
	Links map[string]Link `json:"links,omitempty"`
	// Leaving makes the engine refuse new streams as not run. Streams in progress finish.
	Leaving bool `json:"leaving"`
	// Hanging stops all steps and calls. They go on when it ends, as those of a paused process do.
	Hanging bool `json:"hanging"`
	// Crashed closes all connections and drops every call. When it ends, the engine has lost all KV and prefixes.
	Crashed bool `json:"crashed"`
	// CrashAfterSteps, if above 0, sets Crashed in place of the result of that step, counted from 1.
	CrashAfterSteps int `json:"crash_after_steps"`
	// FailSteps is the number of coming steps that fail with an error.
	FailSteps int `json:"fail_steps"`
	// RefuseStreams is the number of coming streams that are refused as not run.
	RefuseStreams int `json:"refuse_streams"`
	// CorruptEvents is the number of coming tokens with Corruption. The corruptions of events take effect only at the
	// first engine of a route.
	Corruption    Corruption `json:"corruption"`
	CorruptEvents int        `json:"corrupt_events"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Speed <= 0 {
		faults.Speed = 1
	}
	if e.faults.Crashed && !faults.Crashed {
		e.incarnation = e.newIncarnation()
	} else if faults.Crashed {
		e.crash()
	}
	e.faults = faults
	e.notifyFaultsChanged()
}

// crash ends all calls in progress and forgets KV and prefixes. The caller holds e.mu.
func (e *Engine) crash() {
	e.incarnation.cancel()
	e.dropCaches()
	e.recordLoad()
}

// forget drops KV and prefixes. The caller holds e.mu.
func (e *Engine) dropCaches() {
	e.kv = newKVStore(e.accelerator.KVTokens)
	e.publishCacheEvent(nil, e.prefixes.clear())
}

func (e *Engine) notifyFaultsChanged() {
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.wakeScheduler()
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := e.Faults()
	if r.Method == http.MethodPost {
		// Decoding into the map in force would change it without the lock.
		links := faults.Links
		faults.Links = nil
		if !wire.ReadJSON(w, r, &faults) {
			return
		}
		if faults.Links == nil {
			faults.Links = links
		}
		if faults.Speed <= 0 {
			wire.WriteError(w, http.StatusBadRequest, "speed %g is not above 0", faults.Speed)
			return
		}
		e.SetFaults(faults)
	}
	wire.WriteJSON(w, http.StatusOK, faults)
}

func (e *Engine) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Crashed
}

// awaitResume waits while the engine hangs. It returns the error of ctx if that ends first.
func (e *Engine) awaitResume(ctx context.Context) error {
	for {
		e.mu.Lock()
		hanging, faultsChanged := e.faults.Hanging, e.faultsChanged
		e.mu.Unlock()
		if !hanging {
			return ctx.Err()
		}
		select {
		case <-faultsChanged:
		case <-ctx.Done():
			return ctx.Err()
		case <-e.ctx.Done():
			return e.ctx.Err()
		}
	}
}

// stepFault counts one step and returns an error if it is to fail.
func (e *Engine) injectStepFault() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashAfterSteps > 0 {
		e.faults.CrashAfterSteps--
		if e.faults.CrashAfterSteps == 0 {
			e.faults.Crashed = true
			e.crash()
			e.notifyFaultsChanged()
			return errors.New("engine crashed")
		}
	}
	if decrementIfPositive(&e.faults.FailSteps) {
		return errors.New("step failed by order of the test")
	}
	return nil
}

// corruption returns the corruption of the next token and counts it, if it is one of wanted.
func (e *Engine) nextCorruption(candidates ...Corruption) Corruption {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, corruption := range candidates {
		if e.faults.Corruption == corruption && decrementIfPositive(&e.faults.CorruptEvents) {
			return corruption
		}
	}
	return NoCorruption
}

// take counts n down and returns whether it was above 0.
func decrementIfPositive(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
