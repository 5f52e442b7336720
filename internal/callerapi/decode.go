package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/tokenizer"
)

// DefaultMaxTokens is the maximum number of tokens of a completion for which the caller sets none.
const DefaultMaxTokens = 256

// commonRequest holds the fields that completions and chat completions have in common. Fields that the request types do
// not name, such as temperature and other sampling parameters, are ignored. Those that are named but not supported are
// rejected, since they would change the structure, the length or the number of the generated completions.
type commonRequest struct {
	Model         string         `json:"model"`
	MaxTokens     *int           `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             *int           `json:"n"`
	// Stop is raw JSON, since stop sequences are not supported and only their presence is checked.
	Stop json.RawMessage `json:"stop"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionRequest struct {
	commonRequest
	Prompt   json.RawMessage `json:"prompt"`
	BestOf   *int            `json:"best_of"`
	Echo     bool            `json:"echo"`
	Suffix   string          `json:"suffix"`
	Logprobs json.RawMessage `json:"logprobs"`
}

type chatRequest struct {
	commonRequest
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            []chatMessage   `json:"messages"`
	Tools               json.RawMessage `json:"tools"`
	Logprobs            bool            `json:"logprobs"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// decodedRequest is a request that has passed all checks that do not depend on the configuration.
type decodedRequest struct {
	model        string
	prompt       []uint32
	maxTokens    int // 0 if the caller sets no limit
	stream       bool
	includeUsage bool
}

func badRequest(format string, args ...any) error {
	return errkind.New(errkind.BadRequest, format, args...)
}

// readBody reads the request body, whose size is limited by authenticated. The error kind is TooLarge or BadRequest.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	content, err := io.ReadAll(r.Body)
	// The read deadline applies to the body only. It is cleared because the server goes on reading from the connection to
	// detect a disconnected caller.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body could not be read completely")
	}
	return content, nil
}

// decodeJSON decodes a single JSON value. Errors name the field or the byte offset where possible.
func decodeJSON(content []byte, out any) error {
	err := json.Unmarshal(content, out)
	var syntax *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntax):
		return badRequest("the body is not valid JSON at byte %d: %v", syntax.Offset, syntax)
	case errors.As(err, &typeError):
		return badRequest("field %q must not be a JSON %s", typeError.Field, typeError.Value)
	}
	return badRequest("the body could not be decoded: %v", err)
}

func decodeCompletion(content []byte) (*decodedRequest, error) {
	var request completionRequest
	if err := decodeJSON(content, &request); err != nil {
		return nil, err
	}
	out, err := request.decode(request.MaxTokens)
	if err != nil {
		return nil, err
	}
	switch {
	case request.BestOf != nil && *request.BestOf != 1:
		return nil, badRequest("best_of is %d, only 1 is supported", *request.BestOf)
	case request.Echo:
		return nil, badRequest("echo is not supported")
	case request.Suffix != "":
		return nil, badRequest("suffix is not supported")
	case isSet(request.Logprobs):
		return nil, badRequest("logprobs is not supported")
	}
	out.prompt, err = decodePrompt(request.Prompt)
	return out, err
}

func decodeChat(content []byte) (*decodedRequest, error) {
	var request chatRequest
	if err := decodeJSON(content, &request); err != nil {
		return nil, err
	}
	maxTokens := request.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = request.MaxTokens
	}
	out, err := request.decode(maxTokens)
	if err != nil {
		return nil, err
	}
	switch {
	case isSet(request.Tools):
		return nil, badRequest("tools is not supported")
	case request.Logprobs:
		return nil, badRequest("logprobs is not supported")
	case len(request.Messages) == 0:
		return nil, badRequest("messages is missing or empty")
	}
	var text strings.Builder
	for i, message := range request.Messages {
		if message.Role == "" {
			return nil, badRequest("messages[%d].role is missing", i)
		}
		content, err := decodeContent(message.Content)
		if err != nil {
			return nil, badRequest("messages[%d].content must be a string or a list of text parts", i)
		}
		text.WriteString(message.Role + ": " + content + "\n")
	}
	text.WriteString("assistant:")
	out.prompt = tokenizer.Encode(text.String())
	return out, nil
}

func (r *commonRequest) decode(maxTokens *int) (*decodedRequest, error) {
	switch {
	case r.Model == "":
		return nil, badRequest("model is missing")
	case r.N != nil && *r.N != 1:
		return nil, badRequest("n is %d, only 1 is supported", *r.N)
	case isSet(r.Stop) && string(r.Stop) != "[]":
		return nil, badRequest("stop is not supported")
	case maxTokens != nil && *maxTokens < 1:
		return nil, badRequest("the maximum number of tokens is %d, want at least 1", *maxTokens)
	case r.StreamOptions != nil && !r.Stream:
		return nil, badRequest("stream_options is allowed only with stream")
	}
	out := &decodedRequest{model: r.Model, stream: r.Stream}
	if maxTokens != nil {
		out.maxTokens = *maxTokens
	}
	out.includeUsage = r.StreamOptions != nil && r.StreamOptions.IncludeUsage
	return out, nil
}

// decodePrompt accepts a string, a list of one string, or a list of token ids.
func decodePrompt(raw json.RawMessage) ([]uint32, error) {
	var text string
	var texts []string
	var ids []int64
	var tokens []uint32
	switch {
	case !isSet(raw):
		return nil, badRequest("prompt is missing")
	case json.Unmarshal(raw, &text) == nil:
		tokens = tokenizer.Encode(text)
	case json.Unmarshal(raw, &texts) == nil:
		if len(texts) != 1 {
			return nil, badRequest("prompt has %d strings, only one is supported", len(texts))
		}
		tokens = tokenizer.Encode(texts[0])
	case json.Unmarshal(raw, &ids) == nil:
		for _, id := range ids {
			if id < 0 || id > math.MaxUint32 {
				return nil, badRequest("prompt has token %d, want 0 to %d", id, uint32(math.MaxUint32))
			}
			tokens = append(tokens, uint32(id))
		}
	default:
		return nil, badRequest("prompt must be a string, a list of one string or a list of token ids")
	}
	if len(tokens) == 0 {
		return nil, badRequest("prompt is empty")
	}
	return tokens, nil
}

func decodeContent(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var all strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", errors.New("content part is not of type text")
		}
		all.WriteString(part.Text)
	}
	return all.String(), nil
}

func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }
