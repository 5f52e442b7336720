package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/engine"
)

// RequestIDHeader carries the request id in the response to a completion.
const RequestIDHeader = "Hyssophoist-Request"

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, info requestInfo) error {
	return h.complete(w, r, info, decodeCompletion, false)
}

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request, info requestInfo) error {
	return h.complete(w, r, info, decodeChat, true)
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request, info requestInfo,
	decode func([]byte) (*decodedRequest, error), chat bool) error {
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	request, err := decode(body)
	if err != nil {
		return err
	}
	completion, err := newCompletion(r, info, request)
	if err != nil {
		return err
	}
	stream, err := h.options.Dispatcher.Complete(*completion)
	if err != nil {
		return err
	}
	defer stream.Close()
	w.Header().Set(RequestIDHeader, string(stream.ID()))
	response := &completionResponse{
		kind: completionKindFor(chat), request: request, id: string(stream.ID()), created: info.arrivedAt.Unix(),
	}
	if request.stream {
		return h.writeStream(w, r, stream, response)
	}
	return writeCompletion(w, r, stream, response)
}

// newCompletion checks a decoded request against the configuration and returns the completion to run.
func newCompletion(r *http.Request, info requestInfo, request *decodedRequest) (*Completion, error) {
	model := findModel(info.configuration, request.model)
	if model == nil {
		return nil, errkind.New(errkind.UnknownModel, "model %q does not exist", request.model)
	}
	completion := &Completion{
		Account: info.account, Model: model.ID, Prompt: request.prompt, MaxTokens: request.maxTokens,
	}
	available := model.MaxTokens - len(request.prompt)
	switch {
	case model.MaxTokens <= 0 && completion.MaxTokens == 0:
		completion.MaxTokens = DefaultMaxTokens
	case model.MaxTokens <= 0:
	case available < 1:
		return nil, badRequest("the prompt has %d tokens, but model %q is limited to %d including the completion",
			len(request.prompt), model.ID, model.MaxTokens)
	case completion.MaxTokens == 0:
		completion.MaxTokens = min(DefaultMaxTokens, available)
	case completion.MaxTokens > available:
		return nil, badRequest(
			"the prompt has %d tokens and the completion may have %d, but model %q is limited to %d in total",
			len(request.prompt), completion.MaxTokens, model.ID, model.MaxTokens)
	}
	var err error
	if completion.Priority, err = requestPriority(r); err != nil {
		return nil, err
	}
	if completion.Deadline, err = requestDeadline(r, info, 0); err != nil {
		return nil, err
	}
	return completion, nil
}

func findModel(configuration *entity.Configuration, id string) *entity.Model {
	for i := range configuration.Preset.Models {
		if configuration.Preset.Models[i].ID == entity.ModelID(id) {
			return &configuration.Preset.Models[i]
		}
	}
	return nil
}

// writeCompletion writes the response without streaming, after the last token has arrived.
func writeCompletion(w http.ResponseWriter, r *http.Request, stream Stream, response *completionResponse) error {
	var text strings.Builder
	for {
		tokens, err := stream.Next(r.Context())
		if errors.Is(err, io.EOF) {
			writeJSON(w, http.StatusOK, response.body(text.String()))
			return nil
		}
		if err != nil {
			return err
		}
		for i := range tokens {
			response.addToken(&tokens[i])
			text.WriteString(tokens[i].Text)
		}
	}
}

// writeStream writes the response as server-sent events. The headers are sent with the first token, so that an error
// before it is reported with its own status. A later error is sent as an event with the error body, without a [DONE]
// after it.
func (h *Handler) writeStream(w http.ResponseWriter, r *http.Request, stream Stream,
	response *completionResponse) error {
	tokens, err := stream.Next(r.Context())
	if err != nil {
		return err
	}
	out := newEventStream(w, h.options.WriteTimeout)
	for err == nil {
		for i := range tokens {
			response.addToken(&tokens[i])
			out.writeEvent(response.chunk(&tokens[i]))
		}
		if err := out.flush(); err != nil {
			log.Debugf("request %s: write to the caller failed: %v", stream.ID(), err)
			return nil
		}
		tokens, err = stream.Next(r.Context())
	}
	if errors.Is(err, io.EOF) {
		if response.request.includeUsage {
			out.writeEvent(response.usageChunk())
		}
		out.buffer.WriteString("data: [DONE]\n\n")
	} else {
		out.writeEvent(errorBody(err))
	}
	_ = out.flush() // the response ends here even if the write fails
	return nil
}

// eventStream writes server-sent events. Events are buffered until flush, so that tokens that arrived together are sent
// in one write.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	buffer     bytes.Buffer
	encoder    *json.Encoder
}

func newEventStream(w http.ResponseWriter, timeout time.Duration) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	s := &eventStream{w: w, controller: http.NewResponseController(w), timeout: timeout}
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	return s
}

func (s *eventStream) writeEvent(value any) {
	s.buffer.WriteString("data: ")
	if err := s.encoder.Encode(value); err != nil { // Encode appends a line feed
		log.Errorf("failed to encode event: %v", err)
	}
	s.buffer.WriteByte('\n')
}

// flush sends the buffered events. It fails if they cannot be written within the write timeout.
func (s *eventStream) flush() error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	s.buffer.Reset()
	return s.controller.Flush()
}

// completionKind holds what differs between responses to completions and to chat completions.
type completionKind struct {
	chat                          bool
	idPrefix, object, chunkObject string
}

func completionKindFor(chat bool) completionKind {
	if chat {
		return completionKind{
			chat: true, idPrefix: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk",
		}
	}
	return completionKind{idPrefix: "cmpl-", object: "text_completion", chunkObject: "text_completion"}
}

// completionResponse builds the response body or the chunks of one completion.
type completionResponse struct {
	kind         completionKind
	request      *decodedRequest
	id           string
	created      int64
	tokenCount   int
	finishReason string
	reusedChunk  wireCompletion
}

// wireCompletion is a response body or one chunk of a stream in the JSON format of the OpenAI API.
type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *wireMessage `json:"message,omitempty"`
	Delta        *wireMessage `json:"delta,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completionResponse) addToken(token *engine.Token) {
	c.tokenCount++
	c.finishReason = token.FinishReason
}

func (c *completionResponse) usage() *wireUsage {
	promptTokens := len(c.request.prompt)
	return &wireUsage{PromptTokens: promptTokens, CompletionTokens: c.tokenCount, TotalTokens: promptTokens + c.tokenCount}
}

func (c *completionResponse) newWireCompletion(object string) wireCompletion {
	return wireCompletion{ID: c.kind.idPrefix + c.id, Object: object, Created: c.created, Model: c.request.model}
}

// body returns the response body of a request without streaming.
func (c *completionResponse) body(text string) *wireCompletion {
	completion := c.newWireCompletion(c.kind.object)
	choice := wireChoice{FinishReason: &c.finishReason}
	if c.kind.chat {
		choice.Message = &wireMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	completion.Choices = []wireChoice{choice}
	completion.Usage = c.usage()
	return &completion
}

// chunk returns the chunk for one token. The result is valid until the next call.
func (c *completionResponse) chunk(token *engine.Token) *wireCompletion {
	chunk := &c.reusedChunk
	if chunk.ID == "" {
		*chunk = c.newWireCompletion(c.kind.chunkObject)
		chunk.Choices = make([]wireChoice, 1)
	}
	choice := &chunk.Choices[0]
	if c.kind.chat {
		if choice.Delta == nil {
			choice.Delta = &wireMessage{Role: "assistant"}
		} else {
			choice.Delta.Role = ""
		}
		choice.Delta.Content = token.Text
	} else {
		choice.Text = &token.Text
	}
	if token.FinishReason != "" {
		choice.FinishReason = &token.FinishReason
	}
	return chunk
}

// usageChunk returns the chunk with token counts that callers request with stream_options.include_usage.
func (c *completionResponse) usageChunk() *wireCompletion {
	chunk := c.newWireCompletion(c.kind.chunkObject)
	chunk.Choices = []wireChoice{}
	chunk.Usage = c.usage()
	return &chunk
}
