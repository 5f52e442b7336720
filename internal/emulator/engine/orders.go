package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// weightRetryDelay is the delay before another attempt to fetch weights if the weight store sends no Retry-After.
const weightRetryDelay = time.Second

// engineState is what an engine has loaded, and its role.
type engineState struct {
	model, version, adapter, role string
	from, to                      int
}

// weightLoad is a weight load in progress.
type weightLoad struct {
	desired engineState
	cancel  context.CancelFunc
}

// serveOrder responds with 200 if the engine is in the desired state, or with 202 if it is changing to it. The load
// report shows the new state when the change is complete. A newer order replaces a weight load in progress.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !wire.ReadJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && order.FencingNumber < e.fencingNumber {
		wire.WriteError(w, http.StatusConflict, "fencing number %d is lower than %d", order.FencingNumber, e.fencingNumber)
		return
	}
	desired, err := e.desiredState(&order)
	if err != nil {
		wire.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	if e.options.ChecksFencing {
		e.fencingNumber = order.FencingNumber
	}
	status := http.StatusOK
	switch {
	case order.Kind == engineapi.SetRole:
		e.state.role = order.Role
		if e.pendingLoad != nil {
			e.pendingLoad.desired.role = order.Role
		}
	case e.pendingLoad != nil && e.pendingLoad.desired == desired:
		status = http.StatusAccepted
	default:
		if e.pendingLoad != nil {
			e.pendingLoad.cancel()
			e.pendingLoad = nil
		}
		if desired != e.state {
			e.startLoad(desired)
			status = http.StatusAccepted
		}
	}
	e.recordLoad()
	wire.WriteJSON(w, status, struct{}{})
}

// desiredState returns the state that order requests. The caller holds e.mu.
func (e *Engine) desiredState(order *engineapi.Order) (engineState, error) {
	desired := e.state
	if e.pendingLoad != nil {
		desired = e.pendingLoad.desired
	}
	switch order.Kind {
	case engineapi.SetRole:
		desired.role = order.Role
		return desired, nil
	case engineapi.LoadModel:
		if order.Model == "" {
			return desired, fmt.Errorf("order %q has no model", order.Kind)
		}
		desired.model, desired.version, desired.adapter = order.Model, order.Version, order.Adapter
	case engineapi.LoadVersion:
		if order.Version == "" || (order.Model != "" && order.Model != desired.model) {
			return desired, fmt.Errorf("order %q has no version, or its model is not %q", order.Kind, desired.model)
		}
		desired.version = order.Version
	case engineapi.LoadAdapter:
		desired.adapter = order.Adapter
		return desired, nil
	case engineapi.SetLayers:
		if order.To == 0 {
			return desired, fmt.Errorf("order %q has no layers", order.Kind)
		}
	default:
		return desired, fmt.Errorf("unknown order kind %q", order.Kind)
	}
	if order.To != 0 {
		if order.From < 0 || order.From >= order.To || (e.options.ModelLayers > 0 && order.To > e.options.ModelLayers) {
			return desired, fmt.Errorf("invalid layer range [%d, %d)", order.From, order.To)
		}
		desired.from, desired.to = order.From, order.To
	}
	return desired, nil
}

// startLoad starts the change to the desired state. The caller holds e.mu.
func (e *Engine) startLoad(desired engineState) {
	ctx, cancel := context.WithCancel(e.ctx)
	load := &weightLoad{desired: desired, cancel: cancel}
	e.pendingLoad = load
	log.Debugf("engine %s starts loading %+v", e.options.Target, desired)
	current := e.state
	e.loaders.Add(1)
	go func() {
		defer e.loaders.Done()
		defer cancel()
		if e.loadWeights(ctx, current, desired) == nil {
			e.finishLoad(load)
		}
	}()
}

// finishLoad makes the loaded state current unless a newer order has replaced load.
func (e *Engine) finishLoad(load *weightLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingLoad != load {
		return
	}
	e.pendingLoad = nil
	if withCurrentAdapter := load.desired; withCurrentAdapter != e.state {
		withCurrentAdapter.adapter = e.state.adapter
		if withCurrentAdapter != e.state {
			e.dropCaches()
		}
	}
	e.state = load.desired
	e.recordLoad()
}

// loadWeights fetches the weights and sleeps for the load time of the new layers.
func (e *Engine) loadWeights(ctx context.Context, current, desired engineState) error {
	layers := desired.to - desired.from
	switch {
	case current.model == desired.model && current.version == desired.version && current.from == desired.from &&
		current.to == desired.to:
		layers = 1 // an adapter has about the size of one layer
	case current.model == desired.model && current.version == desired.version:
		layers -= max(0, min(current.to, desired.to)-max(current.from, desired.from))
	}
	if layers > 0 {
		if err := e.fetchWeights(ctx, desired); err != nil {
			return err
		}
	}
	e.mu.Lock()
	speed := e.faults.Speed
	e.mu.Unlock()
	return e.clock.Sleep(ctx, time.Duration(float64(layers)*float64(e.accelerator.LayerLoad)/speed))
}

// fetchWeights downloads the weights from the platform, retrying until it succeeds or ctx ends.
func (e *Engine) fetchWeights(ctx context.Context, desired engineState) error {
	if e.options.PlatformURL == "" {
		return nil
	}
	version := desired.version
	if version == "" {
		version = "latest"
	}
	address := strings.TrimSuffix(e.options.PlatformURL, "/") + platformapi.WeightsPath + "/" +
		url.PathEscape(desired.model) + "/" + url.PathEscape(version)
	for {
		retryDelay, err := e.download(ctx, address)
		if err == nil {
			return nil
		}
		log.Debugf("engine %s failed to fetch weights: %v", e.options.Target, err)
		if err := e.clock.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// download makes one attempt to fetch the weights at address and returns the delay before the next one.
func (e *Engine) download(ctx context.Context, address string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return weightRetryDelay, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return weightRetryDelay, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		retryDelay := weightRetryDelay
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
			retryDelay = time.Duration(seconds) * time.Second
		}
		return retryDelay, fmt.Errorf("weight store responded with status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return weightRetryDelay, err
}
