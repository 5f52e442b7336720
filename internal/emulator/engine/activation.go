package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

func (e *Engine) serveActivation(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ActivationRequest
	if !wire.ReadJSON(w, r, &request) {
		return
	}
	if len(request.Route) == 0 || len(request.Trace) == 0 {
		writeNotRunError(w, http.StatusBadRequest, "route and trace must be set")
		return
	}
	from := request.Trace[len(request.Trace)-1].To
	e.mu.Lock()
	err := e.checkStage(request.Model, request.Route, from)
	incarnation := e.incarnation
	e.mu.Unlock()
	if err != nil {
		writeNotRunError(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(incarnation.ctx, cancel)()
	response := e.step(ctx, &request)
	if incarnation.ctx.Err() != nil {
		wire.DropConnection()
	}
	wire.WriteJSON(w, http.StatusOK, response)
}

// failureResponse returns the response to a step that failed at target.
func failureResponse(target, format string, args ...any) *engineapi.ActivationResponse {
	return &engineapi.ActivationResponse{Error: fmt.Sprintf(format, args...), FailedTarget: target}
}

// step runs the layers of this engine for one position and forwards the activations to the next stage. The last stage
// derives the token.
func (e *Engine) step(ctx context.Context, request *engineapi.ActivationRequest) *engineapi.ActivationResponse {
	start := e.clock.Now()
	stage := request.Route[0]
	newTokens, err := e.compute(ctx, request)
	if err != nil {
		return failureResponse(e.options.Target, "run layers [%d, %d): %v", stage.From, stage.To, err)
	}
	entry := engineapi.TraceEntry{
		Target: e.options.Target, From: stage.From, To: stage.To,
		StepMicros: max(e.clock.Now().Sub(start).Microseconds(), 1),
	}
	trace := append(append([]engineapi.TraceEntry{}, request.Trace...), entry)
	switch e.nextCorruption(SkippedLayer, RepeatedStage) {
	case SkippedLayer:
		trace[len(trace)-1].To--
	case RepeatedStage:
		trace = append(trace, entry)
	}
	if len(request.Route) == 1 {
		return &engineapi.ActivationResponse{Token: NextToken(request.Context), Trace: trace}
	}
	next := *request
	next.Route, next.Trace = request.Route[1:], trace
	if len(request.Trace) == 0 {
		next.NewTokens = newTokens
	}
	sentAt := e.clock.Now()
	response, err := e.forward(ctx, &next)
	if err != nil {
		return failureResponse(next.Route[0].Target, "forward activations to %q: %v", next.Route[0].Target, err)
	}
	setTransferTime(response, len(trace)-1, e.clock.Now().Sub(sentAt))
	return response
}

// setTransferTime sets the transfer time of the trace entry at index to roundTrip minus the times that the later stages
// report, so that it includes the network delay between the engines.
func setTransferTime(response *engineapi.ActivationResponse, index int, roundTrip time.Duration) {
	if index >= len(response.Trace) {
		return
	}
	micros := roundTrip.Microseconds()
	for _, entry := range response.Trace[index+1:] {
		micros -= entry.StepMicros + entry.TransferMicros
	}
	response.Trace[index].TransferMicros = max(micros, 1)
}

// compute runs the layers of this engine as a batched job and returns the number of tokens computed: the context tokens
// whose KV this engine does not hold, at least 1.
func (e *Engine) compute(ctx context.Context, request *engineapi.ActivationRequest) (int, error) {
	if err := e.injectStepFault(); err != nil {
		return 0, err
	}
	stage := request.Route[0]
	entry, tokens, err := e.reserveKV(request)
	if err != nil {
		return 0, err
	}
	err = e.runJob(ctx, request.Priority, stage.To-stage.From, tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	entry.activeSteps--
	if err != nil {
		return 0, err
	}
	entry.validTokens = max(entry.validTokens, request.ContextTokens)
	entry.laterStages = request.Route[1:]
	if len(request.PrefixBlocks) > 0 {
		e.publishCacheEvent(e.prefixes.add(request.PrefixBlocks))
	}
	return tokens, nil
}

// reserveKV reserves KV memory for the context of a step and returns the number of tokens to compute.
func (e *Engine) reserveKV(request *engineapi.ActivationRequest) (*kvEntry, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, err := e.kv.reserve(request.Request, request.ContextTokens)
	if err != nil {
		return nil, 0, err
	}
	cachedTokens := max(entry.validTokens, e.prefixes.match(request.PrefixBlocks)*engineapi.PrefixBlockTokens)
	return entry, max(request.ContextTokens-cachedTokens, 1), nil
}

// forward sends the activations over the link to the next stage and returns the response of the last stage.
func (e *Engine) forward(ctx context.Context, next *engineapi.ActivationRequest) (*engineapi.ActivationResponse, error) {
	target := next.Route[0].Target
	if err := e.transfer(ctx, target, float64(max(next.NewTokens, 1))*activationBytes); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, e.options.StepTimeout)
	defer cancel()
	body, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	url := strings.TrimSuffix(next.Route[0].URL, "/") + engineapi.ActivationsPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var body engineapi.ErrorBody
		_ = json.NewDecoder(response.Body).Decode(&body)
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, body.Error)
	}
	var result engineapi.ActivationResponse
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return nil, err
	}
	return &result, nil
}
