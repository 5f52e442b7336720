package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/callerapi"
)

// result is the outcome of one request as its caller sees it.
type result struct {
	start      time.Time
	firstToken time.Duration
	gaps       []time.Duration
	total      time.Duration
	tokens     int
	// whole means that the response is complete, which for a completion requires a finish reason and the [DONE] event;
	// wrong means that its text differs from the expected one.
	whole, wrong bool
	// errorKind and run are set if the request was refused or failed.
	errorKind, run string
}

// Error kinds of failures that the client detects, in addition to the error codes of the API.
const (
	transportError = "connection_failed"
	truncatedError = "truncated"
)

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// chunk is the data of one SSE event: a part of a completion or an error.
type chunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorObject `json:"error"`
}

type errorObject struct {
	Code string `json:"code"`
	Run  string `json:"run"`
}

func (r *runner) requestCompletion(ctx context.Context, next call) result {
	body, err := json.Marshal(completionBody{
		Model: r.options.Model, Prompt: next.prompt, MaxTokens: r.options.MaxTokens, Stream: true,
	})
	if err != nil {
		return result{errorKind: err.Error()}
	}
	outcome := result{start: time.Now()}
	response, err := r.do(ctx, next, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return withError(outcome, transportError, "unknown")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return withErrorResponse(outcome, response)
	}
	text := outcome.readEvents(response.Body)
	if outcome.whole && r.options.Expected != nil {
		outcome.wrong = text != r.options.Expected(next.prompt, r.options.MaxTokens)
	}
	return outcome
}

// readEvents reads the SSE events of a completion and returns its text.
func (o *result) readEvents(body io.Reader) string {
	var text strings.Builder
	lastToken := o.start
	finished := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = finished
			o.total = time.Since(o.start)
			return text.String()
		}
		var event chunk
		if json.Unmarshal([]byte(data), &event) != nil {
			break
		}
		if event.Error != nil {
			o.errorKind, o.run = event.Error.Code, event.Error.Run
			return text.String()
		}
		now := time.Now()
		if o.tokens == 0 {
			o.firstToken = now.Sub(lastToken)
		} else {
			o.gaps = append(o.gaps, now.Sub(lastToken))
		}
		lastToken = now
		o.tokens++
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
			finished = finished || choice.FinishReason != ""
		}
	}
	o.errorKind, o.run = truncatedError, "unknown"
	return text.String()
}

func (r *runner) callService(ctx context.Context, next call) result {
	outcome := result{start: time.Now()}
	method, path := http.MethodGet, "/services/"+r.options.Service+"/balance/"+next.id
	var body []byte
	if next.posting {
		method, path = http.MethodPost, "/services/"+r.options.Service+"/payments"
		body = []byte(`{"payment":"` + next.id + `"}`)
	}
	response, err := r.do(ctx, next, method, path, body)
	if err != nil {
		return withError(outcome, transportError, "unknown")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return withErrorResponse(outcome, response)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return withError(outcome, truncatedError, "unknown")
	}
	outcome.whole = true
	outcome.total = time.Since(outcome.start)
	return outcome
}

func (r *runner) do(ctx context.Context, next call, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, next.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+next.key)
	request.Header.Set(callerapi.TimeoutHeader, strconv.FormatFloat(r.options.Timeout.Seconds(), 'f', -1, 64))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if next.posting {
		request.Header.Set(callerapi.IdempotencyKeyHeader, next.id)
	}
	return r.client.Do(request)
}

func withError(outcome result, kind, run string) result {
	outcome.errorKind, outcome.run = kind, run
	return outcome
}

// maxErrorBytes bounds how much of an error body is read.
const maxErrorBytes = 64 << 10

func withErrorResponse(outcome result, response *http.Response) result {
	var body struct {
		Error errorObject `json:"error"`
	}
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if json.Unmarshal(content, &body) != nil || body.Error.Code == "" {
		body.Error.Code = "status_" + strconv.Itoa(response.StatusCode)
	}
	return withError(outcome, body.Error.Code, response.Header.Get(callerapi.RunHeader))
}
