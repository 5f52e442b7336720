package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestEnded guards against a process that counts as ended because it is silent or no longer listed, and against one that
// counts as alive although its address refuses connections or a later process has taken its place.
func TestEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Target{ID: "e", Service: "llm", Card: "card", Born: 5, Revision: 1}
	restarted := first
	restarted.Born = 9
	for _, test := range []struct {
		name   string
		happen func(f *Fleet)
		want   bool
	}{
		{"nothing", func(*Fleet) {}, false},
		{"silent", func(f *Fleet) { f.RecordNoAnswer(now, "e", time.Minute) }, false},
		{"failed", func(f *Fleet) { f.RecordFailure(now, "e") }, false},
		{"removed from the list", func(f *Fleet) { f.Remove(now, "e", Removal{}) }, false},
		{"leaving", func(f *Fleet) { f.RecordLeaving(now, "e", 5) }, false},
		{"refuses connections", func(f *Fleet) { f.RecordEnded(now, "e", 5) }, true},
		{"refused connections, then removed", func(f *Fleet) { f.RecordEnded(now, "e", 5); f.Remove(now, "e", Removal{}) }, true},
		{"started again", func(f *Fleet) { f.Put(restarted) }, true},
		{"later process refuses connections", func(f *Fleet) { f.RecordEnded(now, "e", 9) }, false},
		{"refused connections before it listened", func(f *Fleet) {
			f.RecordEnded(now, "e", 5)
			f.RecordReport(now, "e", Report{Born: 5})
		}, false},
		{"answered a request afterwards", func(f *Fleet) { f.RecordEnded(now, "e", 5); f.RecordAnswer(first) }, false},
		{"report of a later process", func(f *Fleet) {
			f.RecordEnded(now, "e", 5)
			f.RecordReport(now, "e", Report{Born: 9})
		}, true},
	} {
		f := New()
		f.Put(first)
		test.happen(f)
		if got := f.Ended(first); got != test.want {
			t.Errorf("%s: ended %v, want %v", test.name, got, test.want)
		}
	}
	f := New()
	if !f.RecordEnded(now, "e", 5) || f.RecordEnded(now, "e", 5) {
		t.Error("the end of a process is not news exactly once")
	}
	f.Tick(now.Add(endedMemory + time.Second))
	if len(f.ended) != 0 {
		t.Error("the end of a process is remembered for ever")
	}
}

// TestWitnesses guards against a partition of the zone that is not noticed because a target is its own witness, or because the
// witnesses are in another zone, suspected or draining.
func TestWitnesses(t *testing.T) {
	now := time.Unix(1000, 0)
	f := New()
	for _, target := range []Target{
		{ID: "a", Address: "a", Zone: "x"}, {ID: "other zone", Address: "b", Zone: "y"}, {ID: "c", Address: "c", Zone: "x"},
		{ID: "same address", Address: "c", Zone: "x"}, {ID: "suspected", Address: "d", Zone: "x"},
		{ID: "draining", Address: "e", Zone: "x", Draining: true}, {ID: "f", Address: "f", Zone: "x"},
	} {
		f.Put(target)
	}
	f.RecordFailure(now, "suspected")
	for _, limit := range []int{1, 2, 3} {
		got := f.Witnesses(now, f.Get("c").Target, limit)
		want := []entity.TargetID{"f", "a"}[:min(limit, 2)]
		if !slices.EqualFunc(got, want, func(t Target, id entity.TargetID) bool { return t.ID == id }) {
			t.Errorf("limit %d: witnesses %+v, want %v", limit, got, want)
		}
	}
}
