package placer

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// newClusterWithGap returns engines of zone a of which e0 can take over the layer of e1, which is draining. Engines of
// zone b hold all layers if withOtherZone is true. A cache of 1,500,000 tokens times layers fits on e0, and one of
// 500,000 once it holds that layer.
func newClusterWithGap(withOtherZone bool) *fakeCluster {
	ranges := []entity.LayerRange{{From: 0, To: 3}, {From: 3, To: 4}, {From: 4, To: 8}}
	if withOtherZone {
		ranges = append(ranges, entity.LayerRange{From: 0, To: 4}, entity.LayerRange{From: 4, To: 8})
	}
	c := newFakeCluster(len(ranges))
	for i, held := range ranges {
		target := &c.engines[engineID(i)].target
		target.Layers, target.Draining = held, i == 1
		if i >= 3 {
			target.Zone = "b"
		}
	}
	return c
}

// getsOrder reports whether an engine gets an order. It waits longer if one is expected.
func getsOrder(t *testing.T, c *fakeCluster, v *view, expected bool) bool {
	t.Helper()
	limit := 2 * time.Second
	if expected {
		limit = 10 * time.Second
	}
	return runUntil(t, c, []*view{v}, []*Placer{newPlacer(c, v, "d0", 0)}, limit,
		func() bool { return len(c.received) > 0 })
}

// TestPlanCountsRequestsInProgress guards against an order that cuts the requests that this instance has on an engine.
func TestPlanCountsRequestsInProgress(t *testing.T) {
	t.Parallel()
	for _, cache := range []float64{0, 300_000} {
		c, v := newClusterWithGap(true), newView()
		v.refresh(c)
		v.WithFleet(func(f *fleet.Fleet) { f.Get("e0").InProgress, f.Get("e0").CacheInUse = 1, cache })
		if getsOrder(t, c, v, cache == 0) != (cache == 0) {
			t.Errorf("with a cache of %v in use: orders %v", cache, c.received)
		}
	}
}

// TestReportWithholdsOrder guards against an order that cuts requests of which this instance does not know. It is sent if no
// engine holds the layers otherwise.
func TestReportWithholdsOrder(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		cacheInUse    float64
		withOtherZone bool
		want          bool
	}{
		{cacheInUse: 400_000, withOtherZone: true, want: true},
		{cacheInUse: 600_000, withOtherZone: true, want: false},
		{cacheInUse: 600_000, withOtherZone: false, want: true},
	} {
		c, v := newClusterWithGap(test.withOtherZone), newView()
		v.refresh(c)
		c.engines["e0"].cacheInUse = test.cacheInUse
		if getsOrder(t, c, v, test.want) != test.want {
			t.Errorf("%+v: orders %v", test, c.received)
		}
	}
}
