// Package errkind defines the closed list of error kinds that the system reports and the response to each.
//
// Every error that reaches a caller or an operator has exactly one kind. Errors are errorx errors whose type
// belongs to the kind; an error without a kind is reported as Internal.
package errkind

import (
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Kind is the code of an error kind, as it appears in responses, logs and metrics.
type Kind string

// The closed list of error kinds.
const (
	BadRequest          Kind = "bad_request"
	TooLarge            Kind = "too_large"
	Unauthorized        Kind = "unauthorized"
	UnknownModel        Kind = "unknown_model"
	UnknownService      Kind = "unknown_service"
	NotFound            Kind = "not_found"
	RateLimited         Kind = "rate_limited"
	Overloaded          Kind = "overloaded"
	DeadlineInfeasible  Kind = "deadline_infeasible"
	DeadlineExceeded    Kind = "deadline_exceeded"
	NoCapacity          Kind = "no_capacity"
	NoConfiguration     Kind = "no_configuration"
	Stopping            Kind = "stopping"
	RelayRefused        Kind = "relay_refused"
	ConnectionClosed    Kind = "connection_closed"
	PlatformUnavailable Kind = "platform_unavailable"
	TargetRefused       Kind = "target_refused"
	TargetFailed        Kind = "target_failed"
	CrashesTarget       Kind = "crashes_target"
	OutcomeUnknown      Kind = "outcome_unknown"
	InProgress          Kind = "in_progress"
	KeyReused           Kind = "key_reused"
	Conflict            Kind = "conflict"
	StaleFencingNumber  Kind = "stale_fencing_number"
	Canceled            Kind = "canceled"
	InvariantViolated   Kind = "invariant_violated"
	Internal            Kind = "internal"
)

// RunOutcome says what is known about whether a refused or failed request has run.
type RunOutcome string

const (
	// NotRun means that the request was never sent to a target, or that the target refused it before starting it.
	NotRun RunOutcome = "not_run"
	// Unknown means that the request may have run, fully or in part.
	Unknown RunOutcome = "unknown"
)

// Response says how an error of one kind is reported.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Run is the run outcome reported when the error itself carries none. It is Unknown for kinds that can occur
	// after a target has started the request.
	Run RunOutcome
	// Retry says whether the same request, unchanged, can succeed later.
	Retry bool
}

var responses = map[Kind]Response{
	BadRequest:          {400, NotRun, false},
	TooLarge:            {413, NotRun, false},
	Unauthorized:        {401, NotRun, false},
	UnknownModel:        {404, NotRun, false},
	UnknownService:      {404, NotRun, false},
	NotFound:            {404, NotRun, false},
	RateLimited:         {429, NotRun, true},
	Overloaded:          {503, NotRun, true},
	DeadlineInfeasible:  {503, NotRun, true},
	DeadlineExceeded:    {504, Unknown, true},
	NoCapacity:          {503, NotRun, true},
	NoConfiguration:     {503, NotRun, true},
	Stopping:            {503, NotRun, true},
	RelayRefused:        {421, NotRun, true},
	ConnectionClosed:    {408, NotRun, true},
	PlatformUnavailable: {503, NotRun, true},
	TargetRefused:       {503, NotRun, true},
	TargetFailed:        {502, Unknown, true},
	CrashesTarget:       {503, NotRun, false},
	OutcomeUnknown:      {502, Unknown, false},
	InProgress:          {409, Unknown, true},
	KeyReused:           {422, NotRun, false},
	Conflict:            {409, NotRun, false},
	StaleFencingNumber:  {409, NotRun, false},
	Canceled:            {499, Unknown, false},
	InvariantViolated:   {500, Unknown, false},
	Internal:            {500, Unknown, false},
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}
	return kinds
}

// ResponseFor returns the response to errors of kind, or that of Internal for a kind outside the list.
func ResponseFor(kind Kind) Response {
	response, ok := responses[kind]
	if !ok {
		return responses[Internal]
	}
	return response
}

var (
	namespace = errorx.NewNamespace("hyssophoist")
	types     = makeTypes()

	kindProperty       = errorx.RegisterProperty("kind")
	runProperty        = errorx.RegisterProperty("run")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

func makeTypes() map[Kind]*errorx.Type {
	made := make(map[Kind]*errorx.Type, len(responses))
	for kind := range responses {
		made[kind] = errorx.NewType(namespace, string(kind))
	}
	return made
}

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) *errorx.Error {
	return typeOf(kind).New(format, args...).WithProperty(kindProperty, kind)
}

// Wrap returns an error of the given kind that has cause as its cause.
func Wrap(kind Kind, cause error, format string, args ...any) *errorx.Error {
	return typeOf(kind).Wrap(cause, format, args...).WithProperty(kindProperty, kind)
}

func typeOf(kind Kind) *errorx.Type {
	t, ok := types[kind]
	if !ok {
		return types[Internal]
	}
	return t
}

// WithRun returns err with an explicit run outcome, which overrides that of its kind.
func WithRun(err *errorx.Error, run RunOutcome) *errorx.Error {
	return err.WithProperty(runProperty, run)
}

// WithRetryAfter returns err with the delay after which a retry may succeed.
func WithRetryAfter(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, after)
}

// Of returns the kind of err, or Internal if it has none.
func Of(err error) Kind {
	kind, ok := property[Kind](err, kindProperty)
	if !ok {
		return Internal
	}
	return kind
}

// RunOf returns the explicit run outcome of err, or else that of its kind.
func RunOf(err error) RunOutcome {
	if run, ok := property[RunOutcome](err, runProperty); ok {
		return run
	}
	return ResponseFor(Of(err)).Run
}

// RetryAfterOf returns the delay after which a retry may succeed, if err carries one.
func RetryAfterOf(err error) (time.Duration, bool) {
	return property[time.Duration](err, retryAfterProperty)
}

// MessageOf returns the message of err without the name of its type and without the messages of its causes, which can
// contain addresses of targets. For an error of kind Internal, or without a kind or message, it returns the kind with
// spaces for underscores.
func MessageOf(err error) string {
	var typed *errorx.Error
	if errors.As(err, &typed) && typed.Message() != "" && Of(err) != Internal {
		return typed.Message()
	}
	return strings.ReplaceAll(string(Of(err)), "_", " ")
}

func property[T any](err error, key errorx.Property) (T, bool) {
	var zero T
	value, ok := errorx.ExtractProperty(err, key)
	if !ok {
		return zero, false
	}
	typed, ok := value.(T)
	return typed, ok
}
