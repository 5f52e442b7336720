package gateway

import (
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// Call is a caller's request as decoded by the Codec.
type Call struct {
	// ID identifies the request; a caller that retries uses a new one.
	ID string
	// APIKey is empty if the caller sent none.
	APIKey string
	// Timeout is how long the caller waits, from the arrival of the request; 0 if the caller does not say.
	Timeout time.Duration
	// PromptTokens and MaxTokens are the prompt length and the output limit of a generation; ExpectedTokens is the
	// caller's estimate of the output length, 0 if it gives none.
	PromptTokens, MaxTokens, ExpectedTokens int
	// PromptParts holds the ids of the parts of a generation's prompt in order. Other calls may share any of them but
	// the last, which belongs to this call or its session.
	PromptParts []string
	// LastEventID is the id of the last event that the caller has received, -1 if it requests the stream from its
	// start.
	LastEventID int64
	// Request is the caller's HTTP request; the gateway reads its body into Body.
	Request *http.Request
	Body    []byte
}

// Hop is one engine of a path and the layers that it runs.
type Hop struct {
	Target  entity.TargetID
	Address string
	Layers  entity.LayerRange
}

// Attempt is one attempt to have a target serve a call.
type Attempt struct {
	Call    *Call
	Target  fleet.Target
	Account entity.AccountID
	// Path is set for generations; its first hop is Target.
	Path []Hop
	// Timeout is how long the target may work on the call.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has received, -1 for none.
	LastEventID int64
	// Priority ranks the attempts at an engine from 0, the most urgent, to 9.
	Priority int
}

// ResponseHead is the status and header of a target's response as decoded by the Codec.
type ResponseHead struct {
	Status int
	// Header holds the fields that are forwarded to the caller.
	Header http.Header
	// RequestID is the id of the request that the response belongs to; empty if the target does not say.
	RequestID string
	// NotRun reports whether the target states that it did not run the call and never will.
	NotRun bool
	// FaultyAddress is the address of the engine of the path that caused a failure, if the target names one.
	FaultyAddress string
	// FromTarget reports whether the response has the header field that shows that the target itself wrote it.
	FromTarget bool
	// ContentEncoded reports whether the body has a content coding, so that it is not the bytes that the target wrote.
	ContentEncoded bool
	// Leaving reports whether the target that wrote the response announces that it is leaving.
	Leaving bool
	// KeepAlive is how long the target keeps an idle connection open; 0 if it does not say.
	KeepAlive time.Duration
	// RetryAfter is how long a target that responds with 503 asks to get no requests; 0 if it does not ask.
	// RetryAfterMalformed reports whether it asks in a form that is not understood.
	RetryAfter          time.Duration
	RetryAfterMalformed bool
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// DecodeCall decodes the header of a caller's request. If it is malformed, the error has kind BadRequest.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeAttempt returns the HTTP request to send to the target of an attempt, without a body.
	EncodeAttempt(a *Attempt) *http.Request
	// EncodeRelay returns the caller's request as another instance of the system gets it, without a body. timeout is how long the
	// caller still waits, lastEventID the id of the last event that it has received, -1 for none.
	EncodeRelay(call *Call, timeout time.Duration, lastEventID int64) *http.Request
	// DecodeResponseHead decodes the status and header of a target's response.
	DecodeResponseHead(r *http.Response) ResponseHead
	// WriteError writes the response to a call that the gateway itself ends. retryAfter is 0 if a retry is not offered.
	WriteError(w http.ResponseWriter, callID string, kind errkind.Kind, retryAfter time.Duration)
}
