package fleet

import "github.com/hyssophoist/hyssophoist/core/entity"

// Report is the load of an engine, as of some hundred milliseconds before it was read.
type Report struct {
	// Born is the start of the engine's process in Unix milliseconds.
	Born   int64
	Layers entity.LayerRange
	// Changing says that an order is under way.
	Changing bool
	// Orders counts the orders that began something since the engine's start.
	Orders         int64
	Queued, Active int
	// CacheInUse and CacheTotal are in tokens times layers.
	CacheInUse, CacheTotal float64
	// Slowdown multiplies the times of the engine; above 1 it is slow.
	Slowdown float64
	// Stalled holds the requests that wait for another engine.
	Stalled []StalledRequest
}

// fullShare is the part of the KV cache in use from which an engine may have no room for a further request.
const fullThreshold = 0.8

// Full says whether the engine may lack room for a further request.
func (r Report) Full() bool { return r.Queued > 0 || r.CacheInUse >= fullThreshold*r.CacheTotal }

// StalledRequest is a request that makes no progress because of the engine at Address.
type StalledRequest struct {
	ID      string
	Address string
}
