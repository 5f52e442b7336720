package fleet

import "github.com/hyssophoist/hyssophoist/core/entity"

// Report is the load that an engine reports. It is a few hundred milliseconds old when it is read.
type Report struct {
	// Born is the start time of the engine's process in Unix milliseconds.
	Born   int64
	Layers entity.LayerRange
	// Changing reports whether the engine is carrying out an order.
	Changing bool
	// Orders counts the orders that the engine has started to carry out since it was started.
	Orders         int64
	Queued, Active int
	// CacheInUse and CacheTotal are in tokens times layers.
	CacheInUse, CacheTotal float64
	// Slowdown is the factor by which the engine's times are longer than published; it is 1 at normal speed.
	Slowdown float64
	// Stalled lists the requests that are waiting for another engine.
	Stalled []StalledRequest
}

// fullThreshold is the used share of the KV cache from which an engine may have no room for a further request.
const fullThreshold = 0.8

// Full reports whether the engine may lack room for a further request.
func (r Report) Full() bool { return r.Queued > 0 || r.CacheInUse >= fullThreshold*r.CacheTotal }

// StalledRequest is a request that is blocked by the engine at Address.
type StalledRequest struct {
	ID      string
	Address string
}
