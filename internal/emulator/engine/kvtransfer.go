package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	request := wire.Var(r, "request")
	state, ok := e.exportKV(request)
	if !ok {
		wire.WriteError(w, http.StatusNotFound, "engine %q holds no KV of request %q", e.options.Target, request)
		return
	}
	wire.WriteJSON(w, http.StatusOK, state)
}

func (e *Engine) exportKV(request string) (engineapi.KVState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.kv.get(request)
	if entry == nil || entry.validTokens == 0 {
		return engineapi.KVState{}, false
	}
	return engineapi.KVState{
		Request: request, Model: e.state.model, Version: e.state.version, From: e.state.from, To: e.state.to,
		Tokens: entry.validTokens, Source: e.options.Target, Later: entry.laterStages,
	}, true
}

// serveImport responds after the KV transfer is complete.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var state engineapi.KVState
	if !wire.ReadJSON(w, r, &state) {
		return
	}
	if state.Request != wire.Var(r, "request") {
		wire.WriteError(w, http.StatusBadRequest, "request %q in the body differs from the path", state.Request)
		return
	}
	if err := e.importKV(r.Context(), &state); err != nil {
		wire.WriteError(w, http.StatusUnprocessableEntity, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// importKV stores the KV of state after the transfer time.
func (e *Engine) importKV(ctx context.Context, state *engineapi.KVState) error {
	e.mu.Lock()
	current := e.state
	e.mu.Unlock()
	layers := min(state.To, current.to) - max(state.From, current.from)
	if state.Model != current.model || (state.Version != "" && current.version != "" && state.Version != current.version) ||
		layers <= 0 {
		return fmt.Errorf("KV of model %q, version %q and layers [%d, %d) does not match engine %q",
			state.Model, state.Version, state.From, state.To, e.options.Target)
	}
	kvBytes := float64(state.Tokens) * float64(layers) * kvBytesPerLayer
	if err := e.transfer(ctx, state.Source, kvBytes); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != current {
		return fmt.Errorf("state of engine %q changed during the KV transfer", e.options.Target)
	}
	entry, err := e.kv.reserve(state.Request, state.Tokens)
	if err != nil {
		return err
	}
	entry.activeSteps--
	entry.validTokens = max(entry.validTokens, state.Tokens)
	e.recordLoad()
	return nil
}

// importRouteKV fetches the KV of a request from the stages of the chain that computed it and imports into each stage
// of the new route the KV of its layers. KV that is not imported within ImportTimeout is recomputed.
func (e *Engine) importRouteKV(ctx context.Context, request *engineapi.StreamRequest) {
	ctx, cancel := context.WithTimeout(ctx, e.options.ImportTimeout)
	defer cancel()
	firstState, err := e.fetchKV(ctx, request.ImportKVFrom, request.Request)
	if err != nil {
		log.Debugf("engine %s failed to import KV of request %s: %v", e.options.Target, request.Request, err)
		return
	}
	states := make([]engineapi.KVState, len(firstState.Later)+1)
	states[0] = firstState
	var group sync.WaitGroup
	for i, stage := range firstState.Later {
		group.Go(func() {
			if state, err := e.fetchKV(ctx, stage.URL, request.Request); err == nil {
				states[i+1] = state
			}
		})
	}
	group.Wait()
	for i, stage := range request.Route {
		state, ok := combineKV(states, stage, len(request.Prompt)+len(request.Tokens))
		if !ok {
			continue
		}
		group.Go(func() {
			var err error
			if i == 0 {
				err = e.importKV(ctx, &state)
			} else {
				err = e.sendKV(ctx, stage.URL, &state)
			}
			if err != nil {
				log.Debugf("engine %s failed to import KV of request %s at %s: %v",
					e.options.Target, request.Request, stage.Target, err)
			}
		})
	}
	group.Wait()
}

// combineKV combines states into the KV for the layers of stage, limited to maxTokens tokens. It returns false if a
// layer is covered by no state or if the KV comes from the stage itself, which already holds it.
func combineKV(states []engineapi.KVState, stage engineapi.Stage, maxTokens int) (engineapi.KVState, bool) {
	var result engineapi.KVState
	tokens := maxTokens
	for layer := stage.From; layer < stage.To; layer++ {
		longest := 0
		for _, state := range states {
			if state.From <= layer && layer < state.To && state.Tokens > longest {
				longest = state.Tokens
				result = state
			}
		}
		tokens = min(tokens, longest)
	}
	result.From, result.To, result.Tokens, result.Later = stage.From, stage.To, tokens, nil
	return result, tokens > 0 && result.Source != stage.Target
}

func kvURL(baseURL, request string) string {
	return strings.TrimSuffix(baseURL, "/") + engineapi.KVPath + "/" + url.PathEscape(request)
}

func (e *Engine) fetchKV(ctx context.Context, baseURL, request string) (engineapi.KVState, error) {
	var state engineapi.KVState
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, kvURL(baseURL, request), nil)
	if err != nil {
		return state, err
	}
	response, err := e.client.Do(get)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("engine at %s responded with status %d", baseURL, response.StatusCode)
	}
	return state, json.NewDecoder(response.Body).Decode(&state)
}

func (e *Engine) sendKV(ctx context.Context, baseURL string, state *engineapi.KVState) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	put, err := http.NewRequestWithContext(ctx, http.MethodPut, kvURL(baseURL, state.Request), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := e.client.Do(put)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("engine at %s responded with status %d", baseURL, response.StatusCode)
	}
	return nil
}
