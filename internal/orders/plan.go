package orders

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Desired is the desired state of one engine. An empty field means that the engine keeps its current value.
type Desired struct {
	Target  entity.TargetID
	URL     string
	Model   string
	Version string
	Adapter string
	Role    string
	Layers  entity.LayerRange
}

// digest returns a hash that identifies the desired state in the note of a lease.
func (d Desired) digest() string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%+v", d)), 16)
}

// FromPreset returns the desired states of the engines in a preset.
func FromPreset(preset *entity.Preset) []Desired {
	versions := make(map[entity.ModelID]string, len(preset.Models))
	for _, model := range preset.Models {
		versions[model.ID] = model.Version
	}
	var desired []Desired
	for _, target := range preset.Targets {
		if target.Kind != entity.EngineTarget {
			continue
		}
		desired = append(desired, Desired{
			Target: target.ID, URL: target.URL, Model: string(target.Model), Version: versions[target.Model],
			Layers: target.Layers,
		})
	}
	return desired
}

// Plan returns the smallest set of orders that bring an engine from its reported to its desired state. Orders are
// idempotent, since each one names the desired state.
func Plan(desired Desired, report *engineapi.LoadReport) []engineapi.Order {
	var orders []engineapi.Order
	from, to := desired.Layers.From, desired.Layers.To
	layersDiffer := to > 0 && (report.From != from || report.To != to)
	adapterDiffers := desired.Adapter != "" && desired.Adapter != report.Adapter
	switch {
	case desired.Model != "" && desired.Model != report.Model:
		// One order sets the model, version, adapter and layers, so that the weights are loaded only once.
		orders = append(orders, engineapi.Order{
			Kind: engineapi.LoadModel, Model: desired.Model, Version: desired.Version, Adapter: desired.Adapter,
			From: from, To: to,
		})
		adapterDiffers = false
	case desired.Version != "" && desired.Version != report.Version:
		orders = append(orders, engineapi.Order{
			Kind: engineapi.LoadVersion, Model: desired.Model, Version: desired.Version, From: from, To: to,
		})
	case layersDiffer:
		orders = append(orders, engineapi.Order{Kind: engineapi.SetLayers, From: from, To: to})
	}
	if adapterDiffers {
		orders = append(orders, engineapi.Order{
			Kind: engineapi.LoadAdapter, Model: desired.Model, Adapter: desired.Adapter,
		})
	}
	if desired.Role != "" && desired.Role != report.Role {
		orders = append(orders, engineapi.Order{Kind: engineapi.SetRole, Role: desired.Role})
	}
	return orders
}

// loadsWeights reports whether one of the orders makes the engine load weights.
func loadsWeights(orders []engineapi.Order) bool {
	for _, order := range orders {
		if order.Kind != engineapi.SetRole {
			return true
		}
	}
	return false
}
