package placement

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// holding returns engines of a zone with large cards that hold the given ranges.
func holding(zone entity.ZoneID, ranges ...entity.LayerRange) []Holder {
	list := newHolders(zone, len(ranges), 0)
	for i, held := range ranges {
		list[i].Held = held
	}
	return list
}

// zoneWithGap returns engines of zone a that can take over 3 of the 5 layers of a lost one.
func zoneWithGap() []Holder {
	list := holding("a", entity.LayerRange{From: 0, To: 2}, entity.LayerRange{From: 2, To: 9},
		entity.LayerRange{From: 9, To: 14}, entity.LayerRange{From: 14, To: 20})
	list[2].Lost = true
	return list
}

// TestNoExtensionThatLeavesAGap guards against streams cut by an extension after which their paths leave the zone anyway.
func TestNoExtensionThatLeavesAGap(t *testing.T) {
	engine := testEngine()
	others := holding("b", entity.LayerRange{From: 0, To: 7}, entity.LayerRange{From: 7, To: 14}, entity.LayerRange{From: 14, To: 20})
	if orders := Plan(engine, append(zoneWithGap(), others...)); len(orders) != 0 {
		t.Errorf("orders %+v although another zone holds the layers", orders)
	}
}

// TestExtensionInPartForMissingLayers guards against layers that no engine holds while engines next to them have room.
func TestExtensionInPartForMissingLayers(t *testing.T) {
	engine := testEngine()
	others := holding("b", entity.LayerRange{From: 0, To: 7}, entity.LayerRange{From: 10, To: 17}, entity.LayerRange{From: 17, To: 20})
	others[0].Held.To = 9
	list := append(zoneWithGap(), others...)
	applyOrders(t, engine, list, Plan(engine, list))
	if n := countMissing(list, "a", "b"); n > 0 {
		t.Errorf("%d layers are missing", n)
	}
}

// TestOneZoneTakesMissingLayers guards against streams cut in each zone for layers that one engine can take.
func TestOneZoneTakesMissingLayers(t *testing.T) {
	engine := testEngine()
	list := append(zoneWithGap(), holding("b", entity.LayerRange{From: 0, To: 5}, entity.LayerRange{From: 10, To: 17},
		entity.LayerRange{From: 17, To: 20})...)
	orders := Plan(engine, list)
	applyOrders(t, engine, list, orders)
	if n := countMissing(list, "a", "b"); n > 0 || len(orders) != 1 {
		t.Errorf("%d layers are missing after %+v, want one order", n, orders)
	}
}
