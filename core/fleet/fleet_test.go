package fleet

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
)

var start = time.Unix(1000, 0)

func plainTarget(id entity.TargetID, zone entity.ZoneID) Target {
	return Target{ID: id, Service: "s", Zone: zone, Slots: 4, Born: 1}
}

// TestSuspicion checks that a failed target is suspected for a time that doubles with each consecutive failure, up to a
// maximum, and that a success or a restart of the target ends the suspicion.
func TestSuspicion(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	first := f.RecordFailure(start, "t1").Sub(start)
	second := f.RecordFailure(start, "t1").Sub(start)
	if first != minSuspicionTime || second != 2*minSuspicionTime {
		t.Errorf("suspected for %v and %v", first, second)
	}
	for range 10 {
		f.RecordFailure(start, "t1")
	}
	if state := f.Get("t1"); state.Usable(start.Add(maxSuspicionTime-1)) || !state.Usable(start.Add(maxSuspicionTime)) {
		t.Error("suspicion does not last exactly maxSuspicionTime after many failures")
	}
	f.RecordSuccess("t1")
	if !f.Get("t1").Usable(start) {
		t.Error("target is still suspected after a success")
	}
	f.RecordFailure(start, "t1")
	restarted := plainTarget("t1", "a")
	restarted.Born = 2
	f.Put(restarted)
	if !f.Get("t1").Usable(start) {
		t.Error("target is still suspected after a restart")
	}
}

// TestChoosePlain checks the order of preference among targets: those of the own zone and with less load first, and
// suspected ones only if there is no other.
func TestChoosePlain(t *testing.T) {
	f := New()
	f.Put(plainTarget("near", "a"))
	f.Put(plainTarget("far", "b"))
	chooseID := func(tried ...entity.TargetID) entity.TargetID {
		excluded := make(map[entity.TargetID]bool)
		for _, id := range tried {
			excluded[id] = true
		}
		if state, _ := f.ChoosePlain(start, "s", "a", excluded); state != nil {
			return state.ID
		}
		return ""
	}
	if got := chooseID(); got != "near" {
		t.Errorf("idle targets: chose %s", got)
	}
	f.Get("near").InProgress = 4
	if got := chooseID(); got != "far" {
		t.Errorf("near is full: chose %s", got)
	}
	f.RecordFailure(start, "far")
	if got := chooseID(); got != "near" {
		t.Errorf("far is suspected: chose %s", got)
	}
	if got := chooseID("near"); got != "far" {
		t.Errorf("near was tried: chose %s", got)
	}
	if got := chooseID("near", "far"); got != "" {
		t.Errorf("all were tried: chose %s", got)
	}
	f.Get("far").Draining = true
	if got := chooseID("near"); got != "" {
		t.Errorf("far is draining: chose %s", got)
	}
}

// TestLoad checks that the shared load of other instances is added, that they are assumed to have started as many calls
// since then as this instance, and that an expired load is replaced by an estimate.
func TestLoad(t *testing.T) {
	f := New()
	f.Put(plainTarget("e1", "a"))
	state := f.Get("e1")
	state.InProgress, state.CacheInUse = 2, 200
	if sequences, cache := f.Load(start, state); sequences != 2*assumedLoadRatio || cache != 200*assumedLoadRatio {
		t.Errorf("without a shared load: %v, %v", sequences, cache)
	}
	f.SetOtherLoads(start, loadshare.Loads{"e1": {Sequences: 7, Cache: 700}}, 3)
	if sequences, cache := f.Load(start, state); sequences != 9 || cache != 900 {
		t.Errorf("with a shared load: %v, %v", sequences, cache)
	}
	state.CallsSinceShared = 1
	if sequences, cache := f.Load(start, state); sequences != 11 || cache != 1100 {
		t.Errorf("after one more call: %v, %v", sequences, cache)
	}
	if sequences, _ := f.Load(start.Add(sharedLoadTTL+1), state); sequences != 2*assumedLoadRatio {
		t.Errorf("with an expired shared load: %v", sequences)
	}
}
