package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// Completion is a validated request for a completion.
type Completion struct {
	Account entity.AccountID
	Model   entity.ModelID
	// Prompt holds the prompt tokens; it is not empty.
	Prompt []uint32
	// MaxTokens limits the number of generated tokens.
	MaxTokens int
	Priority  entity.Priority
	Deadline  time.Time
}

// ServiceCall is a validated call of a plain service.
type ServiceCall struct {
	Account entity.AccountID
	Service entity.ServiceID
	Method  string
	// Path is the escaped path within the service with the query; it begins with "/".
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says whether the call may be sent more than once.
	Idempotent bool
	// Key and RequestHash are set for calls that are not idempotent.
	Key         string
	RequestHash string
	Priority    entity.Priority
	Deadline    time.Time
}

// Stream is the response to a completion in progress. It is not safe for concurrent use.
type Stream interface {
	// ID returns the id of the request.
	ID() entity.RequestID
	// Next waits for tokens and returns all that have arrived, in the order of the response. The slice is valid until
	// the next call. After the last token it returns io.EOF. Any other error has an error kind and ends the response.
	Next(ctx context.Context) ([]engine.Token, error)
	// Close releases the stream. It cancels the request if the response is incomplete.
	Close()
}

// Dispatcher runs requests on targets.
type Dispatcher interface {
	// Complete starts a completion. The caller must close the stream.
	Complete(completion Completion) (Stream, error)
	// Call calls a plain service and waits for the response. If ctx ends, the call is canceled, unless it is not
	// idempotent and has already been started.
	Call(ctx context.Context, call ServiceCall) (*service.Response, error)
	// Outcome returns the recorded response to a call that is not idempotent. The error kind is NotFound if the key is
	// unknown, InProgress if the call may still be running, TargetRefused if it has not run, OutcomeUnknown if it is not
	// known whether it has run, or PlatformUnavailable if the outcome cannot be read.
	Outcome(ctx context.Context, account entity.AccountID, service entity.ServiceID, key string) (*service.Response, error)
}
