package dispatch

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// Utilization returns the part of the KV cache of a service's engines that is in use at the layer where that is greatest,
// for the engines of one zone or, if zone is empty, of all. complete is false if a layer is missing there; such layers do not
// count, since they are loaded again in about a second.
func (d *Dispatcher) Utilization(now time.Time, service *routing.Service, zone entity.ZoneID) (highest float64, complete bool) {
	engine := service.Engine
	used, capacity := make([]float64, engine.Layers), make([]float64, engine.Layers)
	for _, state := range d.Fleet.All {
		card, known := engine.Cards[state.Card]
		layers := state.Layers.Len()
		if state.Service != service.ID || !known || layers == 0 || zone != "" && state.Zone != zone ||
			!state.InService(now) || state.Down(now) {
			continue
		}
		_, cache := d.Fleet.Load(now, state)
		total := engine.CacheCapacity(card, layers)
		for layer := state.Layers.From; layer < min(state.Layers.To, engine.Layers); layer++ {
			used[layer] += min(cache, total) / float64(layers)
			capacity[layer] += total / float64(layers)
		}
	}
	complete = true
	for layer := range used {
		if capacity[layer] == 0 {
			complete = false
			continue
		}
		highest = max(highest, used[layer]/capacity[layer])
	}
	return highest, complete
}
