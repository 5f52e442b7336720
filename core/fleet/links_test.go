package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestSampleSpansZones guards against an instance that counts as isolated because all targets that it asks are in a zone to which its
// links are cut, and against targets that are asked twice or are of another service.
func TestSampleSpansZones(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	for zone, count := range map[entity.ZoneID]int{"x": 9, "y": 2, "z": 1} {
		for n := range count {
			id := entity.TargetID(fmt.Sprint(zone, n))
			f.Put(Target{ID: id, Service: "s", Zone: zone, Address: string(id)})
		}
	}
	f.Put(Target{ID: "other", Service: "t", Zone: "x"})
	f.Put(Target{ID: "draining", Service: "s", Zone: "x", Draining: true})
	for limit, want := range map[int]map[entity.ZoneID]int{
		3: {"x": 1, "y": 1, "z": 1}, 6: {"x": 3, "y": 2, "z": 1}, 100: {"x": 9, "y": 2, "z": 1},
	} {
		got, seen := make(map[entity.ZoneID]int), make(map[entity.TargetID]bool)
		for _, target := range f.SampleTargets(now, "s", limit, func(n int) int { return n - 1 }) {
			if seen[target.ID] || target.Service != "s" || target.Draining {
				t.Errorf("limit %d: sample has %+v", limit, target)
			}
			seen[target.ID] = true
			got[target.Zone]++
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("limit %d: targets by zone %v, want %v", limit, got, want)
		}
	}
}

// TestFailuresAreForgotten guards against targets that get no requests for seconds after the links to them are back.
func TestFailuresAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	f.Put(Target{ID: "a", Service: "s"})
	f.Put(Target{ID: "other", Service: "t"})
	for _, id := range []entity.TargetID{"a", "other"} {
		f.RecordFailure(now, id)
		f.RecordNoAnswer(now, id, time.Minute)
	}
	f.ForgetFailures(now, "s")
	if !f.Get("a").Usable(now) || f.Get("other").Usable(now) {
		t.Errorf("usable: %v and, of another service, %v", f.Get("a").Usable(now), f.Get("other").Usable(now))
	}
}

// TestIsolatedViewIsNotShared guards against engines that other instances avoid, and whose layers are placed elsewhere, because an
// instance without links to them does not reach them.
func TestIsolatedViewIsNotShared(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		now := time.Unix(1000, 0)
		f := New()
		f.Isolated = func(service entity.ServiceID) bool { return isolated && service == "s" }
		for _, id := range []entity.TargetID{"cut", "b", "c"} {
			f.Put(Target{ID: id, Service: "s", Zone: "x", Card: "card"})
		}
		for range 2 {
			f.RecordFailure(now, "cut")
			f.RecordNoAnswer(now, "cut", time.Minute)
			now = now.Add(SilenceLimit)
		}
		load := f.OwnLoads(now)["cut"]
		if load.Suspected == isolated || load.Unresponsive == isolated {
			t.Errorf("isolated %v: shares %+v", isolated, load)
		}
		if lost := f.LostTargets(now)["cut"]; lost == isolated {
			t.Errorf("isolated %v: lost %v", isolated, lost)
		}
	}
}
