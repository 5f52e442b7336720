package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// RunHeader tells in an error response whether the request may have run: RunNotRun or RunUnknown.
const (
	RunHeader  = engineapi.RunHeader
	RunNotRun  = engineapi.RunNotRun
	RunUnknown = "unknown"
)

// ErrorBody is the body of every error response and of an SSE error event, in the format of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type and Code both hold the error kind.
	Type errkind.Kind `json:"type"`
	Code errkind.Kind `json:"code"`
	// Param is always null; the OpenAI format requires it.
	Param *string `json:"param"`
	// Run says whether the request may have run.
	Run errkind.RunOutcome `json:"run"`
	// RetryAfterSeconds is set if a retry can succeed.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// defaultRetryAfter is sent if a retry can succeed and the error carries no delay.
const defaultRetryAfter = time.Second

func withRetryAfter(err *errorx.Error, after time.Duration) error {
	return errkind.WithRetryAfter(err, after)
}

func errorBody(err error) ErrorBody {
	kind := errkind.Of(err)
	detail := ErrorDetail{Message: errkind.MessageOf(err), Type: kind, Code: kind, Run: errkind.RunOf(err)}
	if errkind.ResponseFor(kind).Retry {
		after, ok := errkind.RetryAfterOf(err)
		if !ok || after <= 0 {
			after = defaultRetryAfter
		}
		detail.RetryAfterSeconds = int(math.Ceil(after.Seconds()))
	}
	return ErrorBody{Error: detail}
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, err error) {
	body := errorBody(err)
	if body.Error.Type == errkind.Internal || body.Error.Type == errkind.InvariantViolated {
		log.Errorf("request failed: %v", err)
	}
	run := RunUnknown
	if body.Error.Run == errkind.NotRun {
		run = RunNotRun
	}
	w.Header().Set(RunHeader, run)
	if body.Error.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(body.Error.RetryAfterSeconds))
	}
	if body.Error.Type == errkind.Unauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, errkind.ResponseFor(body.Error.Type).Status, body)
}

// writeJSON writes a complete JSON response. Write errors are ignored, since the server itself detects a disconnected
// caller.
func writeJSON(w http.ResponseWriter, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		log.Errorf("failed to encode response: %v", err)
		status, content = http.StatusInternalServerError, []byte(`{"error":{"type":"internal","run":"unknown"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	setWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// setWriteDeadline limits the time to write a complete response.
func setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored, since only the response writers of tests lack support for deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(DefaultWriteTimeout))
}
