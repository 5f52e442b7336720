package placement

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestLayersOutsideTheModel guards against a plan that panics, or leaves a gap, because an engine is listed with layers that the
// model does not have: the processes of all instances ended, again after each start (review/11).
func TestLayersOutsideTheModel(t *testing.T) {
	engine := testEngine()
	for name, held := range map[string]entity.LayerRange{
		"beyond the model":       {From: layers, To: layers + 2},
		"across its end":         {From: layers - 2, To: layers + 2},
		"far beyond":             {From: 1 << 40, To: 1 << 41},
		"across its whole range": {From: 0, To: 1 << 40},
		"below it":               {From: -4, To: 2},
		"reversed":               {From: 5, To: 3},
	} {
		list := zoneWithGap()
		list[0].Held = held
		list = append(list, Holder{ID: "spare-big", Zone: "a", Card: "big"}, Holder{ID: "spare-small", Zone: "a", Card: "small"})
		orders := Plan(engine, list)
		applyOrders(t, engine, list, orders)
		if list[0].Held == held {
			list[0].Held = layersOfModel(engine, held)
		}
		if n := countMissing(list, "a"); n > 0 {
			t.Errorf("%s: %d layers are missing after %+v", name, n, orders)
		}
	}
}
