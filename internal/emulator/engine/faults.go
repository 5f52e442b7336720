package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

const controlPrefix = "/emulator/"

// FaultsPath serves Faults: GET returns them, POST changes the fields that the body sets and returns all of them.
const FaultsPath = controlPrefix + "faults"

// Corruption is a kind of error injected into the token events of a stream.
type Corruption string

// The corruptions. Each must be detectable by a check of the trace or of the request, attempt and position of a token.
const (
	NoCorruption Corruption = ""
	// SkippedLayer omits the last layer of this engine from its trace entry.
	SkippedLayer Corruption = "skipped-layer"
	// RepeatedStage duplicates the trace entry of this engine.
	RepeatedStage Corruption = "repeated-stage"
	// OtherRequest replaces the request of the event.
	OtherRequest Corruption = "other-request"
	// OtherAttempt replaces the attempt of the event.
	OtherAttempt Corruption = "other-attempt"
	// OtherPosition increments the position of the event.
	OtherPosition Corruption = "other-position"
	// RepeatedEvent sends the event twice.
	RepeatedEvent Corruption = "repeated-event"
)

// Faults is the set of injected faults. Its counters count down as steps, streams and tokens arrive.
type Faults struct {
	// Speed divides the duration of steps and weight loads; it must be above 0.
	Speed float64 `json:"speed"`
	// Links overrides the links to the targets that it lists.
	Links map[string]Link `json:"links,omitempty"`
	// Leaving makes the engine refuse new streams with engineapi.RunNotRun. Running streams continue.
	Leaving bool `json:"leaving"`
	// Hanging suspends all steps and all calls but those to FaultsPath until it is cleared, as in a paused process.
	Hanging bool `json:"hanging"`
	// Crashed drops all connections and all calls but those to FaultsPath. When it is cleared, the KV and the prefix
	// cache are empty.
	Crashed bool `json:"crashed"`
	// CrashAfterSteps is the number of steps after which Crashed is set; 0 means never. The last of these steps returns
	// no result.
	CrashAfterSteps int `json:"crash_after_steps"`
	// FailSteps is the number of next steps that fail with an error.
	FailSteps int `json:"fail_steps"`
	// RefuseStreams is the number of next streams that are refused with engineapi.RunNotRun.
	RefuseStreams int `json:"refuse_streams"`
	// CorruptEvents is the number of next tokens to which Corruption applies. Corruptions other than SkippedLayer and
	// RepeatedStage take effect only at the first engine of a route.
	Corruption    Corruption `json:"corruption"`
	CorruptEvents int        `json:"corrupt_events"`
}

// SetFaults replaces the faults. It sets Speed to 1 if it is not above 0.
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

// crash cancels all calls in progress and drops the KV and the prefix cache. The caller holds e.mu.
func (e *Engine) crash() {
	e.incarnation.cancel()
	e.dropCaches()
	e.recordLoad()
}

// dropCaches drops the KV and the prefix cache. The caller holds e.mu.
func (e *Engine) dropCaches() {
	e.kv = newKVStore(e.accelerator.KVTokens)
	e.publishCacheEvent(nil, e.prefixes.clear())
}

func (e *Engine) notifyFaultsChanged() {
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.wakeScheduler()
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := e.Faults()
	if r.Method == http.MethodPost {
		// Decoding into the map that e.faults shares would change it without the lock.
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

// awaitResume blocks while Faults.Hanging is set. It returns an error if ctx ends or the engine is closed.
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

// injectStepFault counts one step and returns an error if a fault makes it fail.
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
		return errors.New("injected step failure")
	}
	return nil
}

// nextCorruption returns the corruption of the next token and decrements CorruptEvents if it is one of candidates.
// Otherwise it returns NoCorruption.
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

// decrementIfPositive decrements n if it is above 0 and returns whether it did.
func decrementIfPositive(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
