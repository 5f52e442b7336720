package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
)

// newEngineFleet returns a fleet with n engines in each of two zones.
func newEngineFleet(n int) *Fleet {
	f := New()
	for i := range 2 * n {
		zone := []entity.ZoneID{"a", "b"}[i/n]
		f.Put(Target{ID: entity.TargetID(fmt.Sprintf("%s%d", zone, i%n)), Zone: zone, Card: "card", Born: 1})
	}
	return f
}

// TestDownUntilItAnswers checks that an engine that does not answer gets no work until it answers or restarts, and that
// it does not stay down forever if it is not queried again.
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
				t.Error("first missing answer is not reported as a change")
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

// TestLostEngines checks that an engine counts as lost after it has been unresponsive for SilenceLimit, but not if most
// engines of its zone are unresponsive: then the zone is partitioned, and its engines still hold their layers.
func TestLostEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		unresponsive int
		after        time.Duration
		lost         int
	}{
		{1, SilenceLimit / 2, 0}, {1, SilenceLimit, 1}, {2, SilenceLimit, 2}, {3, SilenceLimit, 0}, {4, SilenceLimit, 0},
	} {
		f := newEngineFleet(4)
		for i := range test.unresponsive {
			id := entity.TargetID(fmt.Sprintf("a%d", i))
			f.RecordNoAnswer(now, id, time.Minute)
			f.RecordNoAnswer(now.Add(test.after), id, time.Minute)
		}
		if lost := f.LostTargets(now.Add(test.after)); len(lost) != test.lost {
			t.Errorf("%d unresponsive for %v: lost %v, want %d", test.unresponsive, test.after, lost, test.lost)
		}
	}
}

// TestFullEngineKeepsItsRequests checks that an engine without room keeps its requests and is probed with a few more.
// When all load was moved off such an engine, the next one became full and refused too (benchmark run abay-cost,
// scale-2).
func TestFullEngineKeepsItsRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newEngineFleet(1)
	state := f.Get("a0")
	state.InProgress = 11 // ten that are running, and the refused one
	f.RecordOverload(now, "a0")
	f.RecordOverload(now, "a0") // a second one, sent at the same time
	full := func(inProgress int, after time.Duration) bool {
		state.InProgress = inProgress
		return f.Full(now.Add(after), state)
	}
	if !full(10, 0) || full(9, 0) {
		t.Error("limit differs from the ten requests that are running")
	}
	if !full(10, minGrowthInterval-1) || full(10, minGrowthInterval) || !full(11, minGrowthInterval) {
		t.Error("limit does not grow by one after minGrowthInterval")
	}
	state.InProgress = 11
	f.RecordOverload(now.Add(minGrowthInterval), "a0")
	if !full(10, 2*minGrowthInterval) {
		t.Error("limit grows no slower after the second refusal")
	}
	if full(10, minGrowthInterval+limitLifetime+1) {
		t.Error("limit does not expire after limitLifetime")
	}
}

// TestReportFull checks when a refusal is attributed to lack of room: a draining engine refuses requests too, but has
// room.
func TestReportFull(t *testing.T) {
	for _, test := range []struct {
		report Report
		full   bool
	}{
		{Report{CacheInUse: 10, CacheTotal: 100}, false},
		{Report{CacheInUse: 90, CacheTotal: 100}, true},
		{Report{CacheInUse: 10, CacheTotal: 100, Queued: 3}, true},
		{Report{}, true}, // no data about its room
	} {
		if got := test.report.Full(); got != test.full {
			t.Errorf("%+v: full %v", test.report, got)
		}
	}
}

// TestDueProbes guards against engines that every instance queries, which with 195 instances are probed only every 8 s,
// and against an engine that stays unused although it answers another instance.
func TestDueProbes(t *testing.T) {
	const interval, ttl = 8 * time.Second, 9 * time.Second
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		load   loadshare.Load
		down   bool
		after  time.Duration
		policy ProbePolicy
		due    bool
	}{
		{"engine that answers", loadshare.Load{}, false, time.Second, ProbePolicy{Interval: interval}, false},
		{"down, just probed", loadshare.Load{}, true, time.Second, ProbePolicy{Interval: interval}, false},
		{"down, probed long ago", loadshare.Load{}, true, interval, ProbePolicy{Interval: interval}, true},
		{"down, answers another instance", loadshare.Load{Responsive: true}, true, time.Second, ProbePolicy{Interval: interval}, true},
		{"suspected by another instance", loadshare.Load{Suspected: true}, false, time.Second, ProbePolicy{Interval: interval}, false},
		{"down, for the zone", loadshare.Load{}, true, time.Second, ProbePolicy{Interval: interval, ForZone: true}, true},
		{"suspected by another instance, for the zone", loadshare.Load{Suspected: true}, false, time.Second,
			ProbePolicy{Interval: interval, ForZone: true}, false},
		{"did not answer another instance", loadshare.Load{Unresponsive: true}, false, time.Second, ProbePolicy{Interval: interval}, false},
		{"did not answer another instance, for the zone", loadshare.Load{Unresponsive: true}, false, time.Second,
			ProbePolicy{Interval: interval, ForZone: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newEngineFleet(2)
			f.Put(Target{ID: "plain", Zone: "a", Born: 1})
			f.SetOtherLoads(now, loadshare.Loads{"a0": test.load, "plain": {Unresponsive: true}}, 2)
			if test.down {
				f.RecordNoAnswer(now, "a0", ttl)
			}
			due := f.DueProbes(now.Add(test.after), test.policy)
			if got := len(due) == 1 && due[0].ID == "a0"; got != test.due || len(due) > 1 {
				t.Errorf("due %v, want a0: %v", due, test.due)
			}
		})
	}
}

// TestResponsiveIsShared guards against other instances that are told that an engine answers after it has stopped to.
func TestResponsiveIsShared(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newEngineFleet(1)
	f.RecordReport(now, "a0", Report{Born: 1})
	if !f.OwnLoads(now)["a0"].Responsive {
		t.Error("an engine that has just answered is not responsive")
	}
	if f.OwnLoads(now.Add(responsiveTTL))["a0"].Responsive {
		t.Error("an engine is still responsive after the TTL")
	}
	f.RecordNoAnswer(now, "a0", time.Second)
	if load := f.OwnLoads(now)["a0"]; load.Responsive || !load.Unresponsive {
		t.Errorf("an engine that does not answer is reported as %+v", load)
	}
}

// TestSilentEngineIsNotLost guards against layers that are placed elsewhere because a sound engine sends nothing for 1.5 s.
func TestSilentEngineIsNotLost(t *testing.T) {
	f := New()
	begin := time.Unix(100, 0)
	for _, id := range []entity.TargetID{"silent", "other", "third"} {
		f.Put(Target{ID: id, Zone: "a", Card: "card", Born: 1})
	}
	for elapsed := time.Duration(0); elapsed <= 1500*time.Millisecond; elapsed += 300 * time.Millisecond {
		now := begin.Add(elapsed)
		f.RecordNoAnswer(now, "silent", time.Second)
		if lost := f.LostTargets(now); len(lost) > 0 {
			t.Fatalf("lost after %v: %v", elapsed, lost)
		}
	}
}
