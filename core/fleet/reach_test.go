package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// engines returns a fleet of n engines in each of two zones.
func newEngineFleet(n int) *Fleet {
	f := New()
	for i := range 2 * n {
		zone := []entity.ZoneID{"a", "b"}[i/n]
		f.Put(Target{ID: entity.TargetID(fmt.Sprintf("%s%d", zone, i%n)), Zone: zone, Card: "card", Born: 1})
	}
	return f
}

// TestDownUntilItAnswers guards that an engine without an answer gets no work until it answers or starts again, and that
// old evidence does not keep it out for good.
func TestDownUntilItAnswers(t *testing.T) {
	const ttl = 2 * time.Second
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(f *Fleet)
		after  time.Duration
		down   bool
	}{
		{"no answer", func(*Fleet) {}, time.Second, true},
		{"answered", func(f *Fleet) { f.RecordReport(now, "a0", Report{Born: 1}) }, time.Second, false},
		{"answer of another process", func(f *Fleet) { f.RecordReport(now, "a0", Report{Born: 2}) }, time.Second, true},
		{"started again", func(f *Fleet) { f.Put(Target{ID: "a0", Zone: "a", Card: "card", Born: 2}) }, time.Second, false},
		{"not asked again", func(*Fleet) {}, ttl, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newEngineFleet(3)
			if !f.RecordNoAnswer(now, "a0", ttl) {
				t.Error("the first silence is no news")
			}
			test.change(f)
			state := f.Get("a0")
			if got := state.Down(now.Add(test.after)); got != test.down {
				t.Errorf("down: %v", got)
			}
			if got := state.Usable(now.Add(test.after)); got == test.down {
				t.Errorf("usable: %v", got)
			}
		})
	}
}

// TestLostEngines guards that the layers of an engine are placed elsewhere when it has not answered for a while, but not when
// most engines of its zone do not answer: then the zone is cut off and its engines still hold what they held.
func TestLostEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		silent int
		after  time.Duration
		lost   int
	}{
		{1, lostAfter / 2, 0}, {1, lostAfter, 1}, {2, lostAfter, 2}, {3, lostAfter, 0}, {4, lostAfter, 0},
	} {
		f := newEngineFleet(4)
		for i := range test.silent {
			f.RecordNoAnswer(now, entity.TargetID(fmt.Sprintf("a%d", i)), time.Minute)
		}
		if lost := f.LostTargets(now.Add(test.after)); len(lost) != test.lost {
			t.Errorf("%d silent for %v: lost %v, want %d", test.silent, test.after, lost, test.lost)
		}
	}
}

// TestFullEngineKeepsItsShare guards that an engine without room keeps the requests it has and is tried with a few more. An
// engine that was left altogether drove its load to the next one, which then refused too (abay-cost, scale-2).
func TestFullEngineKeepsItsRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newEngineFleet(1)
	state := f.Get("a0")
	state.InProgress = 11 // ten that run, and the one that is refused
	f.RecordOverload(now, "a0")
	f.RecordOverload(now, "a0") // another one that was sent at the same moment
	full := func(inProgress int, after time.Duration) bool {
		state.InProgress = inProgress
		return f.Full(now.Add(after), state)
	}
	if !full(10, 0) || full(9, 0) {
		t.Error("the engine does not keep the ten requests that it has")
	}
	if !full(10, minGrowthInterval-1) || full(10, minGrowthInterval) || !full(11, minGrowthInterval) {
		t.Error("the limit does not grow by one in its time")
	}
	state.InProgress = 11
	f.RecordOverload(now.Add(minGrowthInterval), "a0")
	if !full(10, 2*minGrowthInterval) {
		t.Error("the limit grows as fast after the second refusal")
	}
	if full(10, minGrowthInterval+limitLifetime+1) {
		t.Error("a refusal limits the engine for good")
	}
}

// TestReportFull guards when a refusal is put down to lack of room: an engine that is leaving refuses too, but has room.
func TestReportFull(t *testing.T) {
	for _, test := range []struct {
		report Report
		full   bool
	}{
		{Report{CacheInUse: 10, CacheTotal: 100}, false},
		{Report{CacheInUse: 90, CacheTotal: 100}, true},
		{Report{CacheInUse: 10, CacheTotal: 100, Queued: 3}, true},
		{Report{}, true}, // says nothing of its room
	} {
		if got := test.report.Full(); got != test.full {
			t.Errorf("%+v: full %v", test.report, got)
		}
	}
}
