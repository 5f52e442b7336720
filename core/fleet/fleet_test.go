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

// TestRemoveDuringOutage guards that an entry that vanishes while the store is away is used until it should be back, and
// that otherwise a removed target is gone at once.
func TestRemoveDuringOutage(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	f.Put(plainTarget("t2", "a"))
	f.Remove(start, "t1")
	if f.Get("t1") != nil {
		t.Error("a removed target is kept without an outage")
	}
	f.RecordStoreFailure(start)
	f.Remove(start.Add(time.Second), "t2")
	if state := f.Get("t2"); state == nil || !state.Usable(start.Add(2*time.Second)) {
		t.Error("a target whose entry lapsed in an outage is not used")
	}
	f.Tick(start.Add(time.Second + removalGracePeriod))
	if f.Get("t2") != nil {
		t.Error("a target is kept although its entry did not come back")
	}
}

// TestReturnAfterOutage guards that a target whose entry is back is kept.
func TestReturnAfterOutage(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	f.RecordStoreFailure(start)
	f.Retain(start, nil)
	f.Put(plainTarget("t1", "a"))
	f.Tick(start.Add(time.Minute))
	if f.Get("t1") == nil {
		t.Error("a target whose entry is back was dropped")
	}
}

// TestSuspicion guards that a target that failed gets no work for a while, longer after each failure in a row, and that a
// success or a new start of the target ends that.
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
		t.Error("the longest suspicion is not kept")
	}
	f.RecordSuccess("t1")
	if !f.Get("t1").Usable(start) {
		t.Error("a target that served is suspected")
	}
	f.RecordFailure(start, "t1")
	restarted := plainTarget("t1", "a")
	restarted.Born = 2
	f.Put(restarted)
	if !f.Get("t1").Usable(start) {
		t.Error("a target that started again is suspected")
	}
}

// TestChoosePlain guards the order of preference: own zone, less load, faster, and suspected targets only if there is no
// other.
func TestChoosePlain(t *testing.T) {
	f := New()
	f.Put(plainTarget("near", "a"))
	f.Put(plainTarget("far", "b"))
	chooseID := func(tried ...entity.TargetID) entity.TargetID {
		excluded := make(map[entity.TargetID]bool)
		for _, id := range tried {
			excluded[id] = true
		}
		if state := f.ChoosePlain(start, "s", "a", excluded); state != nil {
			return state.ID
		}
		return ""
	}
	if got := chooseID(); got != "near" {
		t.Errorf("idle: %s", got)
	}
	f.Get("near").InProgress = 4
	if got := chooseID(); got != "far" {
		t.Errorf("near is full: %s", got)
	}
	f.RecordFailure(start, "far")
	if got := chooseID(); got != "near" {
		t.Errorf("far is suspected: %s", got)
	}
	if got := chooseID("near"); got != "far" {
		t.Errorf("near was tried: %s", got)
	}
	if got := chooseID("near", "far"); got != "" {
		t.Errorf("all were tried: %s", got)
	}
	f.Get("far").Draining = true
	if got := chooseID("near"); got != "" {
		t.Errorf("far drains: %s", got)
	}
}

// TestLoad guards that the load of others counts, that calls begun since they shared it are assumed of them too, and that
// old news are replaced by an assumption.
func TestLoad(t *testing.T) {
	f := New()
	f.Put(plainTarget("e1", "a"))
	state := f.Get("e1")
	state.InProgress, state.CacheInUse = 2, 200
	if sequences, cache := f.Load(start, state); sequences != 2*assumedLoadRatio || cache != 200*assumedLoadRatio {
		t.Errorf("without news: %v, %v", sequences, cache)
	}
	f.SetOtherLoads(start, loadshare.Loads{"e1": {Sequences: 7, Cache: 700}}, 3)
	if sequences, cache := f.Load(start, state); sequences != 9 || cache != 900 {
		t.Errorf("with news: %v, %v", sequences, cache)
	}
	state.CallsSinceShared = 1
	if sequences, cache := f.Load(start, state); sequences != 11 || cache != 1100 {
		t.Errorf("after one call: %v, %v", sequences, cache)
	}
	if sequences, _ := f.Load(start.Add(sharedLoadTTL+1), state); sequences != 2*assumedLoadRatio {
		t.Errorf("with old news: %v", sequences)
	}
}
