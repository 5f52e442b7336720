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

// TestExtensionKeepsRoomForRequests guards against orders that cut the requests in progress on an engine. An engine of 6
// layers has a cache of 500,000 tokens times layers, and one of 8 layers has 100,000.
func TestExtensionKeepsRoomForRequests(t *testing.T) {
	engine := testEngine()
	ranges := []entity.LayerRange{{From: 0, To: 6}, {From: 6, To: 8}, {From: 8, To: 14}, {From: 14, To: 20}}
	first, last := entity.TargetID("a-big-0"), entity.TargetID("a-big-2")
	for _, test := range []struct {
		name                string
		inFirst, inLast     float64
		missingInDeployment bool
		want                entity.TargetID
		mayCut              bool
	}{
		{name: "idle", want: last},
		{name: "one engine busy", inLast: 300_000, want: first},
		{name: "few requests", inFirst: 30_000, inLast: 30_000, want: last},
		{name: "both engines busy", inFirst: 300_000, inLast: 300_000},
		{name: "missing, one engine busy", inLast: 300_000, missingInDeployment: true, want: first},
		{name: "missing, both engines busy", inFirst: 300_000, inLast: 300_000, missingInDeployment: true, want: first, mayCut: true},
	} {
		list := holding("a", ranges...)
		list[1].Lost, list[0].CacheInUse, list[2].CacheInUse = true, test.inFirst, test.inLast
		if !test.missingInDeployment {
			list = append(list, holding("b", entity.LayerRange{From: 0, To: 7}, entity.LayerRange{From: 7, To: 14},
				entity.LayerRange{From: 14, To: 20})...)
		}
		var got Order
		orders := Plan(engine, list)
		if len(orders) > 0 {
			got = orders[0]
		}
		if len(orders) > 1 || got.Target != test.want || got.MayCutRequests != test.mayCut {
			t.Errorf("%s: orders %+v, want one to %q", test.name, orders, test.want)
		}
	}
}

// TestRedundantEngineKeepsRoomForRequests guards against requests cut on an engine that takes over more layers than it gives up.
func TestRedundantEngineKeepsRoomForRequests(t *testing.T) {
	engine := testEngine()
	list := holding("a", entity.LayerRange{From: 0, To: 6}, entity.LayerRange{From: 6, To: 14}, entity.LayerRange{From: 14, To: 20},
		entity.LayerRange{From: 0, To: 6})
	list[1].Lost = true
	list[0].CacheInUse, list[3].CacheInUse = 300_000, 300_000
	orders := Plan(engine, list)
	for _, order := range orders {
		if order.Target != list[2].ID && order.Layers.Len() > 6 {
			t.Errorf("order %+v leaves no room for the requests", order)
		}
	}
	applyOrders(t, engine, list, orders)
	if n := countMissing(list, "a"); n > 0 {
		t.Errorf("%d layers are missing after %+v", n, orders)
	}
}
