package fleet

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// drainBound is the bound of the tests.
const drainBound = 2 * time.Second

// TestLeavingByResponse guards against a target that gets requests although it has said in a response that it leaves, and
// against a new process that gets none because of what an earlier one has said.
func TestLeavingByResponse(t *testing.T) {
	ready := func(born, revision int64) Target {
		return Target{ID: "t", Address: "10.0.0.1:80", Born: born, Revision: revision}
	}
	for _, test := range []struct {
		name string
		then func(f *Fleet, now time.Time)
		id   entity.TargetID
		want bool // in service
	}{
		{"nothing", func(*Fleet, time.Time) {}, "t", false},
		{"later entry that says ready", func(f *Fleet, _ time.Time) { f.Put(ready(7, 9)) }, "t", false},
		{"older entry", func(f *Fleet, _ time.Time) { f.Put(ready(7, 1)) }, "t", false},
		{"whole table read again", func(f *Fleet, now time.Time) {
			f.Retain(now, map[entity.TargetID]bool{"t": true}, Removal{})
			f.Put(ready(7, 5))
		}, "t", false},
		{"restored store", func(f *Fleet, now time.Time) {
			f.StoreRestored(now)
			f.Put(ready(7, 3))
			f.Put(ready(7, 9))
		}, "t", false},
		{"removed and listed again", func(f *Fleet, now time.Time) {
			f.Remove(now, "t", Removal{})
			f.Put(ready(7, 9))
		}, "t", false},
		{"removed, store restored, listed again", func(f *Fleet, now time.Time) {
			f.Remove(now, "t", Removal{})
			f.Tick(now.Add(30 * time.Second))
			f.StoreRestored(now)
			f.Put(ready(7, 3))
			f.Put(ready(7, 9))
		}, "t", false},
		{"new process and then a late entry of the one that leaves", func(f *Fleet, _ time.Time) {
			f.Put(ready(8, 1))
			f.Put(ready(7, 9))
		}, "t", true},
		{"entry of another process, and then the one that leaves goes on", func(f *Fleet, now time.Time) {
			f.Put(ready(8, 1))
			f.Put(ready(7, 9))
			f.Tick(now.Add(lateWriteTime))
			f.Put(ready(7, 10))
		}, "t", false},
		{"success of a request in progress", func(f *Fleet, _ time.Time) { f.RecordSuccess("t") }, "t", false},
		{"new process under the id", func(f *Fleet, _ time.Time) { f.Put(ready(8, 1)) }, "t", true},
		{"new process under the id, late response of the earlier one", func(f *Fleet, now time.Time) {
			f.Put(ready(8, 1))
			f.RecordLeaving(now, "t", 7)
		}, "t", true},
		{"new target under the address", func(f *Fleet, _ time.Time) {
			f.Put(Target{ID: "u", Address: "10.0.0.1:80", Born: 8, Revision: 1})
		}, "u", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := New()
			f.DrainBound = drainBound
			f.Put(ready(7, 5))
			if !f.RecordLeaving(start, "t", 7) {
				t.Error("the first response is not reported as a change")
			}
			if f.RecordLeaving(start.Add(time.Second), "t", 7) {
				t.Error("a further response is reported as a change")
			}
			test.then(f, start.Add(time.Second))
			f.Tick(start.Add(10 * time.Second))
			if got := f.Get(test.id).InService(start.Add(10 * time.Second)); got != test.want {
				t.Errorf("in service: %v, want %v", got, test.want)
			}
			if !f.Replaced(ready(7, 9)) {
				t.Error("connections to the process that leaves are used further")
			}
			if lost := f.LostTargets(start.Add(10 * time.Second))[test.id]; lost == test.want {
				t.Errorf("layers are placed elsewhere: %v", lost)
			}
		})
	}
}

// TestLeavingTargetsAsLastResort guards against callers that are refused although a leaving target could still serve them
// in time, and against requests to it while there is another or when the time has passed.
func TestLeavingTargetsAsLastResort(t *testing.T) {
	chosen := func(f *Fleet, after time.Duration) entity.TargetID {
		if state, _ := f.ChoosePlain(start.Add(after), "s", "a", nil); state != nil {
			return state.ID
		}
		return ""
	}
	expect := func(f *Fleet, after time.Duration, want entity.TargetID) {
		t.Helper()
		if got := chosen(f, after); got != want {
			t.Errorf("after %v chosen %q, want %q", after, got, want)
		}
	}
	f := New()
	f.DrainBound = drainBound
	f.Put(plainTarget("t1", "a"))
	f.Put(plainTarget("t2", "b"))
	f.RecordLeaving(start, "t1", 1)
	f.RecordFailure(start, "t2")
	expect(f, 0, "t2") // although suspected and in another zone
	f.RecordLeaving(start.Add(500*time.Millisecond), "t2", 1)
	expect(f, 500*time.Millisecond, "t1")
	f.RecordLeaving(start.Add(600*time.Millisecond), "t1", 1) // a further response does not lengthen the time
	expect(f, 999*time.Millisecond, "t1")
	expect(f, time.Second, "t2")
	expect(f, 1499*time.Millisecond, "t2")
	expect(f, 1500*time.Millisecond, "")
	listed := plainTarget("t2", "b")
	listed.Draining = true
	f.Put(listed)
	expect(f, 1200*time.Millisecond, "")
	if byList, byResponse := f.CountLeaving(); byList != 1 || byResponse != 2 {
		t.Errorf("%d leave by the list and %d by their responses", byList, byResponse)
	}
}

// TestLeavingProcessesAreForgotten guards against memory that grows with each process that leaves.
func TestLeavingProcessesAreForgotten(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	f.RecordLeaving(start, "t1", 1)
	f.Tick(start.Add(time.Hour))
	if f.Get("t1").InService(start.Add(time.Hour)) {
		t.Error("forgotten although the entry is there")
	}
	f.Remove(start.Add(time.Hour), "t1", Removal{})
	f.Tick(start.Add(time.Hour + leavingMemory + time.Second))
	if len(f.leaving) != 0 {
		t.Errorf("%d processes are remembered", len(f.leaving))
	}
}

// TestOtherAt guards against a response that is blamed on the wrong one of several targets listed under an address.
func TestOtherAt(t *testing.T) {
	f := New()
	f.Put(Target{ID: "t1", Address: "10.0.0.1:80", Born: 1})
	f.Put(Target{ID: "t2", Address: "10.0.0.2:80", Born: 1})
	if other, found := f.OtherAt("10.0.0.1:80", "t1"); found {
		t.Errorf("found %s", other.ID)
	}
	f.Put(Target{ID: "t3", Address: "10.0.0.1:80", Born: 2})
	if other, found := f.OtherAt("10.0.0.1:80", "t1"); !found || other.ID != "t3" {
		t.Errorf("found %v %s", found, other.ID)
	}
	f.Put(Target{ID: "t4", Address: "10.0.0.1:80", Born: 3})
	if other, found := f.OtherAt("10.0.0.1:80", "t1"); found {
		t.Errorf("found %s although there are two", other.ID)
	}
}

// TestReplaced guards against connections that are used further although they may lead to an earlier process.
func TestReplaced(t *testing.T) {
	f := New()
	target := plainTarget("t1", "a")
	if !f.Replaced(target) {
		t.Error("a target that is not in the table is not replaced")
	}
	f.Put(target)
	if f.Replaced(target) {
		t.Error("a listed target is replaced")
	}
	f.RecordLeaving(start, "t1", 1)
	if !f.Replaced(target) {
		t.Error("a leaving target is not replaced")
	}
	successor := target
	successor.Born = 2
	f.Put(successor)
	if !f.Replaced(target) || f.Replaced(successor) {
		t.Error("the successor is taken for the process that it has replaced")
	}
}
