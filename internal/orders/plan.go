package orders

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Desired is the desired state of one engine. Fields that are empty are left as the engine has them.
type Desired struct {
	Target  entity.TargetID
	URL     string
	Model   string
	Version string
	Adapter string
	Role    string
	Layers  entity.LayerRange
}

// digest identifies the desired state in the note of a lease.
func (d Desired) digest() string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%+v", d)), 16)
}

// FromPreset returns the desired states of the engines of a preset.
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

// Plan returns the fewest orders that bring an engine from its reported to its desired state. Each order states the
// desired state, so that giving it twice has the effect of giving it once.
func Plan(desired Desired, report *engineapi.LoadReport) []engineapi.Order {
	var orders []engineapi.Order
	from, to := desired.Layers.From, desired.Layers.To
	layersDiffer := to > 0 && (report.From != from || report.To != to)
	adapterDiffers := desired.Adapter != "" && desired.Adapter != report.Adapter
	switch {
	case desired.Model != "" && desired.Model != report.Model:
		// A new model comes with its version, adapter and layers: the weights are loaded once.
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

// loads reports whether one of the orders makes the engine load weights.
func loadsWeights(orders []engineapi.Order) bool {
	for _, order := range orders {
		if order.Kind != engineapi.SetRole {
			return true
		}
	}
	return false
}
