package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// writeNotRunError writes an error response that marks the request as not run. No work on it may have begun.
func writeNotRunError(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
	wire.WriteError(w, status, format, args...)
}

// refusal is the response to a stream that is not started.
type refusal struct {
	status int
	// mayBeRunning means that the attempt may be running, so the response must not mark it as not run.
	mayBeRunning bool
	reason       string
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	var request engineapi.StreamRequest
	if !wire.ReadJSON(w, r, &request) {
		return
	}
	if err := checkStream(&request); err != nil {
		writeNotRunError(w, http.StatusBadRequest, "%v", err)
		return
	}
	stream, refused := e.openStream(r.Context(), &request)
	switch {
	case refused != nil && refused.mayBeRunning:
		wire.WriteError(w, refused.status, "%s", refused.reason)
		return
	case refused != nil:
		w.Header().Set("Retry-After", "1")
		writeNotRunError(w, refused.status, "%s", refused.reason)
		return
	}
	defer stream.release()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	// Flush the headers so that the caller knows the stream has started, however long the first token takes.
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	if request.ImportKVFrom != "" {
		e.importRouteKV(stream.ctx, &request)
	}
	e.runStream(stream, &request, newEventWriter(w))
}

func checkStream(request *engineapi.StreamRequest) error {
	switch {
	case request.Request == "" || request.Attempt == "":
		return fmt.Errorf("request and attempt must be set")
	case len(request.Prompt) == 0:
		return fmt.Errorf("prompt is empty")
	case len(request.Tokens) >= request.MaxTokens:
		return fmt.Errorf("request already has %d tokens, but max_tokens is %d", len(request.Tokens), request.MaxTokens)
	case len(request.Route) == 0:
		return fmt.Errorf("route is empty")
	}
	for i, stage := range request.Route[1:] {
		if stage.From != request.Route[i].To {
			return fmt.Errorf("stage %q begins at layer %d, but the previous stage ends at %d",
				stage.Target, stage.From, request.Route[i].To)
		}
	}
	return nil
}

// checkStage returns an error if this engine cannot run the first stage of route on input activations for layer from.
// The caller holds e.mu.
func (e *Engine) checkStage(model string, route []engineapi.Stage, from int) error {
	stage, target, state := route[0], e.options.Target, &e.state
	last := route[len(route)-1]
	switch {
	case stage.Target != target:
		return fmt.Errorf("engine is %q, but the route begins with %q", target, stage.Target)
	case e.pendingLoad != nil && (e.pendingLoad.desired.model != state.model ||
		e.pendingLoad.desired.version != state.version || e.pendingLoad.desired.from != state.from ||
		e.pendingLoad.desired.to != state.to):
		return fmt.Errorf("engine %q is loading weights", target)
	case model != state.model:
		return fmt.Errorf("engine %q holds model %q, not %q", target, state.model, model)
	case stage.From >= stage.To || stage.From < state.from || stage.To > state.to:
		return fmt.Errorf("engine %q holds layers [%d, %d), not [%d, %d)", target, state.from, state.to, stage.From, stage.To)
	case stage.From != from:
		return fmt.Errorf("stage %q begins at layer %d, but the input activations are for layer %d", target, stage.From, from)
	case e.options.ModelLayers > 0 && last.To != e.options.ModelLayers:
		return fmt.Errorf("route ends at layer %d of %d", last.To, e.options.ModelLayers)
	}
	return nil
}

// checkAdmission returns a refusal if the stream cannot start now, else nil. The caller holds e.mu.
func (e *Engine) checkAdmission(request *engineapi.StreamRequest) *refusal {
	state := &e.state
	unavailable := func(format string, args ...any) *refusal {
		return &refusal{status: http.StatusServiceUnavailable, reason: fmt.Sprintf(format, args...)}
	}
	if _, ok := e.streams[streamKey{request.Request, request.Attempt}]; ok {
		refused := unavailable("attempt %q of request %q is already running", request.Attempt, request.Request)
		refused.mayBeRunning = true
		return refused
	}
	if e.faults.Leaving || decrementIfPositive(&e.faults.RefuseStreams) {
		return unavailable("engine %q accepts no new streams", e.options.Target)
	}
	if err := e.checkStage(request.Model, request.Route, 0); err != nil {
		return unavailable("%v", err)
	}
	if request.Version != "" && state.version != "" && request.Version != state.version {
		return unavailable("engine %q holds version %q, not %q", e.options.Target, state.version, request.Version)
	}
	if request.Adapter != "" && request.Adapter != state.adapter {
		return unavailable("engine %q holds adapter %q, not %q", e.options.Target, state.adapter, request.Adapter)
	}
	if len(e.streams) >= e.options.MaxStreams {
		return &refusal{status: http.StatusTooManyRequests, reason: fmt.Sprintf("%d streams are running", len(e.streams))}
	}
	if e.reservedTokens+streamKVTokens(request) > e.accelerator.KVTokens {
		return unavailable("KV memory of engine %q is full", e.options.Target)
	}
	return nil
}

// streamKVTokens returns the number of tokens whose KV the stream needs at its maximum length.
func streamKVTokens(request *engineapi.StreamRequest) int {
	return len(request.Prompt) + request.MaxTokens
}

// stream is an attempt that started at this engine.
type stream struct {
	ctx         context.Context
	incarnation *incarnation
	release     func()
}

// openStream registers an attempt. Its context ends when the attempt is canceled or times out, or when the engine
// crashes or closes.
func (e *Engine) openStream(parent context.Context, request *engineapi.StreamRequest) (*stream, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkAdmission(request); refused != nil {
		return nil, refused
	}
	key, tokens := streamKey{request.Request, request.Attempt}, streamKVTokens(request)
	ctx, cancel := context.WithCancel(parent)
	if request.TimeoutMS > 0 {
		ctx, cancel = context.WithTimeout(parent, time.Duration(request.TimeoutMS)*time.Millisecond)
	}
	stop := context.AfterFunc(e.incarnation.ctx, cancel)
	e.streams[key] = cancel
	e.reservedTokens += tokens
	return &stream{ctx: ctx, incarnation: e.incarnation, release: func() {
		stop()
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, key)
		e.reservedTokens -= tokens
	}}, nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	key := streamKey{wire.Var(r, "request"), wire.Var(r, "attempt")}
	e.mu.Lock()
	cancel, ok := e.streams[key]
	e.mu.Unlock()
	if !ok {
		wire.WriteError(w, http.StatusNotFound, "attempt %q of request %q is not running", key.attempt, key.request)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// runStream generates the remaining tokens, with one step through the whole chain for each.
func (e *Engine) runStream(stream *stream, request *engineapi.StreamRequest, events *eventWriter) {
	contextHash := ExtendContext(ExtendContext(0, request.Prompt...), request.Tokens...)
	activation := engineapi.ActivationRequest{
		Request: request.Request, Attempt: request.Attempt, Model: request.Model, Priority: request.Priority,
		Route: request.Route, PrefixBlocks: engineapi.PrefixHashes(request.Prompt),
	}
	for position := len(request.Tokens); position < request.MaxTokens; position++ {
		activation.Position, activation.ContextTokens, activation.Context = position, len(request.Prompt)+position, contextHash
		response := e.step(stream.ctx, &activation)
		if stream.incarnation.ctx.Err() != nil {
			wire.DropConnection()
		}
		event := engineapi.TokenEvent{Request: request.Request, Attempt: request.Attempt}
		if response.Error != "" {
			event.Error, event.FailedTarget = response.Error, response.FailedTarget
			_ = events.write(&event) // the stream ends even if the write fails
			return
		}
		event.Position, event.Token, event.Text = position, response.Token, TokenText(response.Token)
		event.Trace = response.Trace
		switch {
		case isStopToken(response.Token, e.options.StopInterval):
			event.FinishReason = "stop"
		case position == request.MaxTokens-1:
			event.FinishReason = "length"
		}
		if e.writeEvent(events, event) != nil || event.FinishReason != "" {
			return
		}
		contextHash = ExtendContext(contextHash, response.Token)
		activation.PrefixBlocks = nil
	}
}

// writeEvent writes event, corrupted if Faults.Corruption applies to it.
func (e *Engine) writeEvent(events *eventWriter, event engineapi.TokenEvent) error {
	switch e.nextCorruption(OtherRequest, OtherAttempt, OtherPosition, RepeatedEvent) {
	case OtherRequest:
		event.Request += "-other"
	case OtherAttempt:
		event.Attempt += "-other"
	case OtherPosition:
		event.Position++
	case RepeatedEvent:
		if err := events.write(&event); err != nil {
			return err
		}
	}
	return events.write(&event)
}

// eventWriter writes events as newline-delimited JSON and flushes after each one.
type eventWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

func (w *eventWriter) write(event *engineapi.TokenEvent) error {
	if err := w.encoder.Encode(event); err != nil {
		return err
	}
	return w.controller.Flush()
}
