package gateway

import (
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// Call is a caller's request as the adapter has decoded it.
type Call struct {
	// ID names this attempt of the caller; each attempt has its own.
	ID string
	// Key is the caller's API key, empty if there is none.
	APIKey string
	// Deadline is how long the caller waits from the arrival of the request; 0 if it does not say.
	Timeout time.Duration
	// PromptTokens and MaxTokens are the sizes of a generation; ExpectedTokens is the caller's estimate of its length, 0
	// if it gives none.
	PromptTokens, MaxTokens, ExpectedTokens int
	// LastEvent is the id of the last event that the caller has received, -1 if it asks for a stream from its start.
	LastEventID int64
	// Request is the caller's request; its body has been read into Body.
	Request *http.Request
	Body    []byte
}

// Hop is one engine of a path.
type Hop struct {
	Target  entity.TargetID
	Address string
	Layers  entity.LayerRange
}

// Attempt is one sending of a call to a target.
type Attempt struct {
	Call    *Call
	Target  fleet.Target
	Account entity.AccountID
	// Path is set for generations; its first hop is Target.
	Path []Hop
	// Left is how long the target may work on the call.
	Timeout time.Duration
	// LastEvent is the id of the last event that the caller has; -1 for none.
	LastEventID int64
	// Urgency orders the attempts at an engine from 0, the most urgent, to 9.
	Priority int
}

// Reply is the head of a target's response as the adapter has decoded it.
type ResponseHead struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// RequestID is the id of the request that the response belongs to; empty if the target does not say.
	RequestID string
	// NotRun says that the target states that it did not run the call and never will.
	NotRun bool
	// FaultAddress is the address of the engine of a path that caused a failure, if the target names one.
	FaultyAddress string
	// Genuine says that the response bears the mark of a target's own answer.
	FromTarget bool
	// Encoded says that the body is not the target's own bytes.
	ContentEncoded bool
	// KeepAlive is how long the target keeps the connection when it is idle; 0 if it does not say.
	KeepAlive time.Duration
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// DecodeCall decodes the head of a caller's request. An error of kind BadRequest describes what is wrong with it.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeAttempt returns the request to send to the target of an attempt.
	EncodeAttempt(a *Attempt) *http.Request
	// DecodeReply decodes the head of a target's response.
	DecodeResponseHead(r *http.Response) ResponseHead
	// WriteRefusal answers a call that the gateway itself ends. retryAfter is 0 if a repetition is not offered.
	WriteError(w http.ResponseWriter, callID string, kind errkind.Kind, retryAfter time.Duration)
}
