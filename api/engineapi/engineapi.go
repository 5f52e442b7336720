// Package engineapi defines the wire types of the engine protocol: HTTP/1.1 with JSON bodies.
//
// A model is split over engines that each hold a range of its layers (pipeline parallelism). A stream, which generates
// the tokens of one response, is started at the first engine of a route. Activations pass from engine to engine with
// POST ActivationsPath. The tokens are returned to the caller of POST StreamsPath as newline-delimited JSON, one
// TokenEvent for each token.
package engineapi

// Paths of the protocol.
const (
	// StreamsPath starts or resumes a stream with POST; DELETE StreamsPath/{request}/{attempt} cancels it.
	StreamsPath = "/v1/streams"
	// ActivationsPath passes the activations of one step to the next engine with POST.
	ActivationsPath = "/v1/activations"
	// LoadPath returns a LoadReport with GET.
	LoadPath = "/v1/load"
	// CacheEventsPath returns CacheEvents; the query parameter "after" is the sequence number of the last event seen.
	CacheEventsPath = "/v1/cache-events"
	// OrdersPath accepts an Order with POST.
	OrdersPath = "/v1/orders"
	// KVPath transfers the KV cache of a request: GET KVPath/{request} exports it and PUT KVPath/{request} imports it.
	KVPath = "/v1/kv"
)

// RunHeader is set to RunNotRun in an error response if no work on the request was begun.
const (
	RunHeader = "Hyssophoist-Run"
	RunNotRun = "not-run"
)

// FencingHeader carries the fencing number of a posting to a service that is not an engine.
const FencingHeader = "Hyssophoist-Fencing-Number"

// Stage is one engine of a route and the layers [From, To) that it runs.
type Stage struct {
	Target string `json:"target"`
	URL    string `json:"url"`
	From   int    `json:"from"`
	To     int    `json:"to"`
}

// StreamRequest is the body of POST StreamsPath.
type StreamRequest struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Prompt holds the prompt tokens, Tokens the output tokens that an earlier attempt delivered.
	Prompt []uint32 `json:"prompt"`
	Tokens []uint32 `json:"tokens,omitempty"`
	// MaxTokens bounds the number of output tokens, including those in Tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority is higher for requests that are served first.
	Priority int `json:"priority"`
	// TimeoutMS is the time left until the deadline of the request, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Route lists the stages in order of their layers. The first stage is the engine that receives the request.
	Route []Stage `json:"route"`
	// ImportKVFrom is the base URL of an engine that holds the KV cache of Request, or empty. If the import fails, the
	// KV cache is recomputed from Prompt and Tokens.
	ImportKVFrom string `json:"import_kv_from,omitempty"`
}

// TraceEntry records the layers [From, To) that a target ran for a token.
type TraceEntry struct {
	Target string `json:"target"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	// StepMicros is the duration of the step at this engine, including queueing, and TransferMicros that of the
	// transfer to the next engine, both in microseconds; 0 if not reported.
	StepMicros     int64 `json:"step_us,omitempty"`
	TransferMicros int64 `json:"transfer_us,omitempty"`
}

// TokenEvent is one line of the response to POST StreamsPath.
type TokenEvent struct {
	Request  string       `json:"request"`
	Attempt  string       `json:"attempt"`
	Position int          `json:"position"`
	Token    uint32       `json:"token"`
	Text     string       `json:"text"`
	Trace    []TraceEntry `json:"trace"`
	// FinishReason is "stop" or "length" on the last event and empty on all others.
	FinishReason string `json:"finish_reason,omitempty"`
	// Error is set on the last event of a stream that failed. Of the other fields, only Request, Attempt and
	// FailedTarget are then set.
	Error string `json:"error,omitempty"`
	// FailedTarget is the target of the stage that failed, if known.
	FailedTarget string `json:"failed_target,omitempty"`
}

// ActivationRequest is the body of POST ActivationsPath: the step that generates the token at Position, for the
// remaining stages in Route.
type ActivationRequest struct {
	Request  string `json:"request"`
	Attempt  string `json:"attempt"`
	Model    string `json:"model"`
	Position int    `json:"position"`
	// ContextTokens is the number of tokens whose KV cache this step needs. NewTokens is how many of them the first engine
	// computes: those that are not in its KV cache, and at least 1.
	ContextTokens int          `json:"context_tokens"`
	NewTokens     int          `json:"new_tokens"`
	Priority      int          `json:"priority"`
	Route         []Stage      `json:"route"`
	Trace         []TraceEntry `json:"trace"`
	// Context is the hash of all tokens before Position, from which the emulated engines derive the next token.
	Context uint64 `json:"context"`
	// PrefixBlocks holds the PrefixHashes of the prompt. It is set in the first step of an attempt, so that each stage
	// can use and fill its prefix cache.
	PrefixBlocks []uint64 `json:"prefix_blocks,omitempty"`
}

// ActivationResponse is the response of the last stage, passed back along the route.
type ActivationResponse struct {
	Token        uint32       `json:"token"`
	Trace        []TraceEntry `json:"trace"`
	Error        string       `json:"error,omitempty"`
	FailedTarget string       `json:"failed_target,omitempty"`
}

// LoadReport is the response to GET LoadPath. It describes the engine as it was AgeMS milliseconds ago.
type LoadReport struct {
	Target   string `json:"target"`
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age_ms"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
	// KVUsed is the used fraction of the KV cache memory, from 0 to 1.
	KVUsed          float64 `json:"kv_used"`
	TokensProcessed uint64  `json:"tokens_processed"`
	Model           string  `json:"model"`
	Adapter         string  `json:"adapter,omitempty"`
	Version         string  `json:"version,omitempty"`
	Role            string  `json:"role"`
	From            int     `json:"from"`
	To              int     `json:"to"`
	Accelerator     string  `json:"accelerator"`
	// FencingNumber is the highest fencing number of an accepted order; 0 if the engine does not check fencing numbers.
	FencingNumber uint64 `json:"fencing_number"`
}

// CacheEvent reports prefix blocks that were added to or evicted from the prefix cache.
type CacheEvent struct {
	// Sequence numbers the events from 1. A gap means that events were lost.
	Sequence uint64   `json:"sequence"`
	Added    []uint64 `json:"added,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// CacheEvents is the response to GET CacheEventsPath.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// OrderKind is the action that an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	LoadVersion OrderKind = "load_version"
	SetRole     OrderKind = "set_role"
	SetLayers   OrderKind = "set_layers"
)

// Order is the body of POST OrdersPath. An engine that checks fencing numbers answers 409 if the number is lower than
// the highest that it has accepted.
type Order struct {
	FencingNumber uint64    `json:"fencing_number"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Version       string    `json:"version,omitempty"`
	Role          string    `json:"role,omitempty"`
	From          int       `json:"from,omitempty"`
	To            int       `json:"to,omitempty"`
}

// ErrorBody is the body of every response with an error status.
type ErrorBody struct {
	Error string `json:"error"`
}
