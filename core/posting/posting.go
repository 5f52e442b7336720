// Package posting implements the state machine of a posting, which is a non-idempotent request with an idempotency
// key: it claims the key, sends the request at most once and stores the outcome.
//
// A Machine handles one call, an OutcomeWriter stores one outcome in the background, and Attempts tracks the attempts
// of this process. None of them does I/O: the caller performs the actions, reports what happened as events, and passes
// in the time. None is safe for concurrent use.
//
// The row of a key is authoritative. An attempt is sent only after its claim is known to be in effect, and at most
// once. The claim of another attempt is taken over only if that attempt certainly has not run and never will, or if
// every attempt that may have been sent went to one target that checks fencing numbers and runs a key at most once.
package posting

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// RowState is the state of the row of a key.
type RowState string

// The states of a row. StateDone is final. Rows in StateNotRun and StateUnknown can be claimed again under the rules
// of Machine, and StateUnknown becomes StateDone when the daemon that sent the posting learns its outcome.
const (
	StateClaimed RowState = "claimed"
	StateDone    RowState = "done"
	StateNotRun  RowState = "not_run"
	StateUnknown RowState = "unknown"
)

// EncodedResponse is a response in JSON, which this package does not decode.
type EncodedResponse []byte

// MarshalJSON returns the response unchanged.
func (e EncodedResponse) MarshalJSON() ([]byte, error) { return e, nil }

// UnmarshalJSON stores an unchanged copy of the response.
func (e *EncodedResponse) UnmarshalJSON(text []byte) error {
	*e = append((*e)[:0], text...)
	return nil
}

// Result is the stored response of a target.
type Result struct {
	// Inline is the encoded response, if it is small enough for a row.
	Inline EncodedResponse `json:"inline,omitempty"`
	// Object is the key of the encoded response in the object store, if it is not inline.
	Object string `json:"object,omitempty"`
}

// Record is the value of the row of a key.
type Record struct {
	State RowState `json:"state"`
	// Daemon, Incarnation and Attempt identify the attempt that holds the claim.
	Daemon      entity.DaemonID  `json:"daemon"`
	Incarnation uint64           `json:"incarnation"`
	Attempt     entity.AttemptID `json:"attempt"`
	// Target is where the attempt is sent. Fenced reports whether Target checked fencing numbers when the claim was
	// written.
	Target entity.TargetID `json:"target"`
	Fenced bool            `json:"fenced,omitempty"`
	// Fencing is the fencing number. It rises by 1 with each change of the claim.
	Fencing uint64 `json:"fencing"`
	// EarlierSent reports whether an earlier attempt may have been sent to Target. If so, the key never gets StateNotRun.
	EarlierSent bool   `json:"earlier_sent,omitempty"`
	RequestHash string `json:"request_hash"`
	// DeadlineMS is the deadline of the claiming request, and ExpiresMS the time after which the row may be deleted,
	// both in milliseconds of Unix time.
	DeadlineMS int64 `json:"deadline_ms"`
	ExpiresMS  int64 `json:"expires_ms"`
	// Result is set in StateDone.
	Result *Result `json:"result,omitempty"`
}

// Row is a record with its row version. Version 0 means that the row does not exist.
type Row struct {
	Version uint64
	Record  Record
}

// Call is one call of a service that must run at most once.
type Call struct {
	Daemon      entity.DaemonID
	Incarnation uint64
	// Attempt must be new: no process has used it before.
	Attempt     entity.AttemptID
	RequestHash string
	// Target is the target chosen for this call, and Fenced says whether it checks fencing numbers.
	Target entity.TargetID
	Fenced bool
	// CanResendTo reports whether the call can be sent to another target and that target checks fencing numbers.
	// It is called with the target of an earlier claim; a nil function means no.
	CanResendTo func(entity.TargetID) bool
	// Deadline is the time from which the posting is no longer sent.
	Deadline time.Time
	// Retention is how long the row is kept.
	Retention time.Duration
}

// Event is the result of the last action.
type Event interface{ isEvent() }

// Started is the first event of a Machine or an OutcomeWriter.
type Started struct{}

// Committed reports that a write took effect.
type Committed struct{ Version uint64 }

// Conflicted reports that a write had no effect because the stored row is Row.
type Conflicted struct{ Row Row }

// WriteRefused reports that a write had no effect and never will.
type WriteRefused struct{}

// WriteUnknown reports that a write may have taken effect or may still do so.
type WriteUnknown struct{}

// RowRead carries the row. Version 0 means that it does not exist.
type RowRead struct{ Row Row }

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// StatusReplied carries the status that the claiming daemon reports for its attempt.
type StatusReplied struct{ Status AttemptStatus }

// StatusFailed reports that the claiming daemon did not reply.
type StatusFailed struct{}

// Responded reports that the target returned a complete response.
type Responded struct{ Result Result }

// SendRefused reports that the posting has not run and never will: the target refused it, or it was not sent.
type SendRefused struct {
	Kind       errkind.Kind
	RetryAfter time.Duration
}

// SendUnknown reports that the posting may have run, and may still run.
type SendUnknown struct{ Kind errkind.Kind }

// SendStale reports that the target refused the posting because it has seen a higher fencing number for the key.
type SendStale struct{}

// WaitEnded reports that the duration of a Wait has passed.
type WaitEnded struct{}

func (Started) isEvent()       {}
func (Committed) isEvent()     {}
func (Conflicted) isEvent()    {}
func (WriteRefused) isEvent()  {}
func (WriteUnknown) isEvent()  {}
func (RowRead) isEvent()       {}
func (ReadFailed) isEvent()    {}
func (StatusReplied) isEvent() {}
func (StatusFailed) isEvent()  {}
func (Responded) isEvent()     {}
func (SendRefused) isEvent()   {}
func (SendUnknown) isEvent()   {}
func (SendStale) isEvent()     {}
func (WaitEnded) isEvent()     {}

// Action is an operation that Step returns for the caller to perform. The actions of one step are performed in order.
type Action interface{ isAction() }

// Write replaces the row if its version is ExpectedVersion; 0 means that the row must not exist.
type Write struct {
	ExpectedVersion uint64
	Record          Record
}

// Read reads the row.
type Read struct{}

// AskStatus asks the daemon that holds a claim for the status of its attempt.
type AskStatus struct {
	Daemon  entity.DaemonID
	Attempt entity.AttemptID
}

// Send sends the posting, at most once.
type Send struct {
	Target  entity.TargetID
	Fencing uint64
}

// Abandon marks the attempt of the call as abandoned in Attempts.
type Abandon struct{}

// StoreOutcome starts an OutcomeWriter in the background.
type StoreOutcome struct{ Outcome Outcome }

// Finish ends the call with an answer.
type Finish struct{ Answer Answer }

// Wait asks for the event WaitEnded after the duration.
type Wait struct{ For time.Duration }

// StopWriter ends an OutcomeWriter. The attempt can then be removed from the active ones.
type StopWriter struct{}

func (Write) isAction()        {}
func (Read) isAction()         {}
func (AskStatus) isAction()    {}
func (Send) isAction()         {}
func (Abandon) isAction()      {}
func (StoreOutcome) isAction() {}
func (Finish) isAction()       {}
func (Wait) isAction()         {}
func (StopWriter) isAction()   {}

// Answer is the result that a call returns: a response or an error.
type Answer struct {
	// Result is set if the call has a response; the other fields are then unset.
	Result *Result
	Kind   errkind.Kind
	Run    errkind.RunOutcome
	// RetryAfter is the delay after which a retry can succeed, or 0.
	RetryAfter time.Duration
}

// Outcome is what an OutcomeWriter stores.
type Outcome struct {
	// State is StateDone, StateNotRun or StateUnknown.
	State RowState
	// Result is set in StateDone.
	Result *Result
	// Row is the row last known to this daemon, with the claim of the attempt. Its version is 0 if the claim is not
	// known to be in effect; Record is then the claim that was written.
	Row Row
}
