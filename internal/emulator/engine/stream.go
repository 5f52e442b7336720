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

// refuse answers a request on which no work has begun.
func writeNotRunError(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set(engineapi.RunHeader, engineapi.RunNotRun)
	wire.WriteError(w, status, format, args...)
}

// refusal is the answer to a stream that does not start.
type refusal struct {
	status int
	// mayRun says that the attempt may be running, so that the refusal must not claim otherwise.
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
	// The caller learns at once that the stream has begun, however long the first token takes.
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
		return fmt.Errorf("%d tokens are given and max_tokens is %d", len(request.Tokens), request.MaxTokens)
	case len(request.Route) == 0:
		return fmt.Errorf("route is empty")
	}
	for i, stage := range request.Route[1:] {
		if stage.From != request.Route[i].To {
			return fmt.Errorf("stage %q begins at layer %d, but the stage before it ends at %d",
				stage.Target, stage.From, request.Route[i].To)
		}
	}
	return nil
}

// checkHeld returns an error if this engine cannot run the first stage of route on activations of layer from. The
// caller holds e.mu.
func (e *Engine) checkStage(model string, route []engineapi.Stage, from int) error {
	stage, target, state := route[0], e.options.Target, &e.state
	last := route[len(route)-1]
	switch {
	case stage.Target != target:
		return fmt.Errorf("this is engine %q, not %q", target, stage.Target)
	case e.pendingLoad != nil && (e.pendingLoad.desired.model != state.model || e.pendingLoad.desired.version != state.version ||
		e.pendingLoad.desired.from != state.from || e.pendingLoad.desired.to != state.to):
		return fmt.Errorf("engine %q loads weights", target)
	case model != state.model:
		return fmt.Errorf("engine %q holds model %q, not %q", target, state.model, model)
	case stage.From >= stage.To || stage.From < state.from || stage.To > state.to:
		return fmt.Errorf("engine %q holds layers [%d, %d), not [%d, %d)", target, state.from, state.to, stage.From, stage.To)
	case stage.From != from:
		return fmt.Errorf("stage %q begins at layer %d, but the activations are those of layer %d", target, stage.From, from)
	case e.options.ModelLayers > 0 && last.To != e.options.ModelLayers:
		return fmt.Errorf("route ends at layer %d of %d", last.To, e.options.ModelLayers)
	}
	return nil
}

// admitStream returns why a stream cannot start now, or nil. The caller holds e.mu.
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
		return unavailable("engine %q takes no streams now", e.options.Target)
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
		return unavailable("the KV memory of engine %q is full", e.options.Target)
	}
	return nil
}

// streamTokens returns the tokens whose KV the whole answer needs.
func streamKVTokens(request *engineapi.StreamRequest) int {
	return len(request.Prompt) + request.MaxTokens
}

// stream is an attempt that began at this engine.
type stream struct {
	ctx         context.Context
	incarnation *incarnation
	release     func()
}

// openStream registers an attempt. Its context ends when the attempt is cancelled, its time is over or the engine
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

// runStream generates the tokens that are still missing, one step of the whole chain for each.
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
			_ = events.write(&event) // the stream ends in any case
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

// writeEvent writes event, corrupted if a fault says so.
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

// eventWriter writes newline-delimited events and flushes each.
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
