// Package message defines the inputs and commands of the router.
package message

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// Input is an event that the router processes.
type Input interface{ isInput() }

// ConfigurationChanged carries a configuration to put in force. The router ignores a version that is not higher
// than the one in force.
type ConfigurationChanged struct {
	Configuration *entity.Configuration
}

// RequestKind is the type of a request.
type RequestKind int

// The kinds of request.
const (
	// Completion is a model completion, served by a chain of engines.
	Completion RequestKind = iota
	// ServiceCall is one call of a plain service.
	ServiceCall
)

// RequestArrived is a new request that has passed authentication and size checks.
type RequestArrived struct {
	Request entity.RequestID
	Account entity.AccountID
	Kind    RequestKind
	// Model, PromptTokens, MaxTokens and PrefixHashes are set for completions. PrefixHashes[i] is the hash of
	// the first i+1 blocks of the prompt; equal hashes mean equal prefixes.
	Model        entity.ModelID
	PromptTokens int
	MaxTokens    int
	PrefixHashes []uint64
	// Service is set for service calls.
	Service entity.ServiceID
	// Idempotent says whether the request may be sent more than once. Completions always may.
	Idempotent bool
	Priority   entity.Priority
	Deadline   time.Time
}

// RequestCanceled reports that the caller no longer waits for the response.
type RequestCanceled struct {
	Request entity.RequestID
}

// HopSample holds the latencies of one token at one hop of a chain.
type HopSample struct {
	Target entity.TargetID
	// Step is the time from receiving the activations to forwarding them, including queueing; 0 if not reported.
	Step time.Duration
	// Next is the following target of the chain, empty at the last hop.
	Next entity.TargetID
	// Transfer is the time that sending the activations to Next took; 0 if not reported.
	Transfer time.Duration
}

// AttemptProgressed summarises the tokens of an attempt since its previous AttemptProgressed.
type AttemptProgressed struct {
	Request entity.RequestID
	Attempt entity.AttemptID
	// NextPosition is the position of the next token to arrive; all before it were checked and forwarded to the caller.
	NextPosition int
	// Hops holds one sample for each hop, of the latest token.
	Hops []HopSample
}

// AttemptFinished reports that an attempt delivered its complete response.
type AttemptFinished struct {
	Request entity.RequestID
	Attempt entity.AttemptID
	// NextPosition is the number of tokens in the complete response.
	NextPosition int
}

// AttemptFailed reports that an attempt ended before its response was complete.
type AttemptFailed struct {
	Request entity.RequestID
	Attempt entity.AttemptID
	Kind    errkind.Kind
	// Run says whether the target may have started work in this attempt.
	Run errkind.RunOutcome
	// NextPosition is the position from which another attempt can continue.
	NextPosition int
	// Target is the target that caused the failure, if it is known.
	Target entity.TargetID
	// RetryAfter is the retry delay that the target requested, or 0.
	RetryAfter time.Duration
}

// LoadReported is a load report of a target.
type LoadReported struct {
	Target entity.TargetID
	// Age is the time since the report was measured.
	Age     time.Duration
	Queued  int
	Running int
	// KVUsed is the used fraction of KV cache memory, from 0 to 1.
	KVUsed float64
	// TokensProcessed counts the tokens that passed through the target since it started.
	TokensProcessed uint64
}

// CacheChanged is a prefix cache event of an engine.
type CacheChanged struct {
	Target entity.TargetID
	// Sequence numbers the events of a target from 1. A gap means that events were lost.
	Sequence uint64
	Added    []uint64
	Evicted  []uint64
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is one entry of the platform's list.
type ListedInstance struct {
	ID    string
	State InstanceState
}

// InstancesListed is the platform's list of instances, which lags behind their actual state.
type InstancesListed struct {
	Instances []ListedInstance
}

// StopRequested starts the graceful shutdown of this daemon.
type StopRequested struct{}

func (ConfigurationChanged) isInput() {}
func (RequestArrived) isInput()       {}
func (RequestCanceled) isInput()      {}
func (AttemptProgressed) isInput()    {}
func (AttemptFinished) isInput()      {}
func (AttemptFailed) isInput()        {}
func (LoadReported) isInput()         {}
func (CacheChanged) isInput()         {}
func (InstancesListed) isInput()      {}
func (StopRequested) isInput()        {}

// Command is a decision of the router.
type Command interface{ isCommand() }

// StartAttempt tells the daemon to send a request to a chain.
type StartAttempt struct {
	Request entity.RequestID
	Attempt entity.AttemptID
	// Chain holds the engines in order of layers, or one service target.
	Chain entity.Chain
	// FromPosition is the position of the first token to generate; the tokens before it are sent with the request.
	FromPosition int
	// ImportKVFrom names the first engine of an earlier attempt's chain, whose KV cache the new chain may import; empty
	// for none.
	ImportKVFrom entity.TargetID
	Priority     entity.Priority
	Deadline     time.Time
}

// CancelAttempt tells the daemon to cancel an attempt and to discard any data that still arrives from it.
type CancelAttempt struct {
	Request entity.RequestID
	Attempt entity.AttemptID
	// ReplaceConnection reports whether the attempt's connection no longer delivers data and must not be reused.
	ReplaceConnection bool
}

// RefuseRequest ends a request with an error.
type RefuseRequest struct {
	Request entity.RequestID
	Kind    errkind.Kind
	Run     errkind.RunOutcome
	// RetryAfter is the delay after which a retry may succeed, or 0.
	RetryAfter time.Duration
	Message    string
}

// FinishRequest ends a request whose complete response has been forwarded to the caller.
type FinishRequest struct {
	Request entity.RequestID
}

// StopCompleted reports that, after StopRequested, no request is in progress any more.
type StopCompleted struct{}

func (StartAttempt) isCommand()  {}
func (CancelAttempt) isCommand() {}
func (RefuseRequest) isCommand() {}
func (FinishRequest) isCommand() {}
func (StopCompleted) isCommand() {}
