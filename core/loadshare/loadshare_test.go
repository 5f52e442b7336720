package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
)

var start = time.Unix(1000, 0)

func instance(id entity.DaemonID, zone entity.ZoneID) Member {
	return Member{ID: id, Zone: zone, Address: string(id) + ":1", Incarnation: 1}
}

// TestCollector guards against members of a zone that disagree on the collector, a collector that is not replaced when
// it does not answer, and one that is not tried again after the backoff.
func TestCollector(t *testing.T) {
	table := New(instance("b", "z"))
	table.Add(instance("a", "z"), instance("c", "z"), instance("d", "other"))
	if got := table.Collector(start).ID; got != "a" {
		t.Errorf("collector %s", got)
	}
	if !table.RecordFailure(start, "a") || table.RecordFailure(start, "a") {
		t.Error("RecordFailure does not report an instance as newly down exactly once")
	}
	if got := table.Collector(start).ID; got != "b" {
		t.Errorf("collector without a: %s", got)
	}
	if got := table.Collector(start.Add(maxBackoff)).ID; got != "a" {
		t.Errorf("collector after the backoff: %s", got)
	}
	table.RecordFailure(start, "a")
	table.RecordContact(start, instance("a", "z"))
	if got := table.Collector(start).ID; got != "a" {
		t.Errorf("collector after a has answered: %s", got)
	}
	if got := table.Rank(start); got != 1 {
		t.Errorf("rank %d", got)
	}
	if got := table.OtherCollectors(start); len(got) != 1 || got[0].ID != "d" {
		t.Errorf("collectors of other zones: %v", got)
	}
}

// TestCandidates guards against a zone whose collector is found late, because instances that may be gone are asked one by one, and
// against calls to more members than the collector while that one answers.
func TestCandidates(t *testing.T) {
	table := New(instance("d", "z"))
	ids := func(now time.Time, zone entity.ZoneID) (list string) {
		for _, m := range table.Candidates(now, zone) {
			list += string(m.ID)
		}
		return list
	}
	if got := ids(start, "z"); got != "" {
		t.Errorf("alone: %s", got)
	}
	for _, id := range []entity.DaemonID{"a", "b", "c", "e"} {
		table.Add(instance(id, "z"), instance(id+"'", "y"))
	}
	check := func(now time.Time, own, other string) {
		t.Helper()
		if got := ids(now, "z"); got != own {
			t.Errorf("own zone: %s, want %s", got, own)
		}
		if got := ids(now, "y"); got != other {
			t.Errorf("other zone: %s, want %s", got, other)
		}
	}
	check(start, "abc", "a'b'c'e'")
	table.RecordFailure(start, "a")
	table.RecordFailure(start, "a'")
	table.RecordContact(start, instance("b", "z"))
	table.RecordContact(start, instance("c'", "y"))
	check(start, "b", "b'c'")
	check(start.Add(minBackoff), "ab", "a'b'c'")
	check(start.Add(loadTTL), "abc", "a'b'c'e'")
	for i := range 2 * maxCandidates {
		table.Add(instance(entity.DaemonID(fmt.Sprintf("a%02d", i)), "z"))
	}
	if got := len(table.Candidates(start.Add(loadTTL), "z")); got != maxCandidates {
		t.Errorf("%d candidates, want %d", got, maxCandidates)
	}
	if got := table.OtherZones(start); len(got) != 1 || got[0] != "y" {
		t.Errorf("other zones: %v", got)
	}
}

// TestOthers guards against an instance that receives its own loads or misses those of others, and against loads of
// lost instances and zones that still count after their TTL.
func TestOthers(t *testing.T) {
	table := New(instance("a", "z"))
	table.SetReport(start, instance("b", "z"), Report{Loads: Loads{"e1": {Sequences: 2, Cache: 20}}})
	table.SetReport(start, instance("c", "z"), Report{Loads: Loads{"e1": {Sequences: 3, Cache: 30}}})
	table.SetZoneLoads(start, "y", Loads{"e1": {Sequences: 5, Cache: 50}}, 4)
	own := Loads{"e1": {Sequences: 1, Cache: 10}}
	for except, want := range map[entity.DaemonID]int32{"a": 10, "b": 9, "c": 8} {
		got, instances := table.Others(start, own, except)
		if got["e1"].Sequences != want || instances != (Instances{Zone: 3, All: 7}) {
			t.Errorf("loads of all instances except %s: %+v of %+v instances", except, got, instances)
		}
	}
	if sum, instances := table.ZoneLoads(start, own); sum["e1"].Sequences != 6 || instances != 3 {
		t.Errorf("loads of the zone: %+v of %d instances", sum, instances)
	}
	if got, instances := table.Others(start.Add(loadTTL), own, "a"); len(got) != 0 || instances != (Instances{Zone: 1, All: 1}) {
		t.Errorf("loads of lost instances: %+v of %+v", got, instances)
	}
}

// TestRestartedInstance guards against loads of an earlier process of a restarted instance that still count.
func TestRestartedInstance(t *testing.T) {
	table := New(instance("a", "z"))
	old, restarted := instance("b", "z"), instance("b", "z")
	restarted.Incarnation = 2
	table.SetReport(start, old, Report{Loads: Loads{"e1": {Sequences: 9}}})
	table.SetReport(start, restarted, Report{Loads: Loads{"e1": {Sequences: 1}}})
	table.SetReport(start, old, Report{Loads: Loads{"e1": {Sequences: 9}}})
	if got, _ := table.Others(start, nil, "a"); got["e1"].Sequences != 1 {
		t.Errorf("loads %+v", got)
	}
}

// TestRemoveExpired guards against a table that grows without bound because instances that are gone stay in it.
func TestRemoveExpired(t *testing.T) {
	table := New(instance("a", "z"))
	table.Add(instance("b", "z"))
	table.RecordFailure(start, "b")
	if removed := table.RemoveExpired(start.Add(removeAfter)); len(removed) != 0 {
		t.Errorf("removed too early: %v", removed)
	}
	if removed := table.RemoveExpired(start.Add(removeAfter + 1)); len(removed) != 1 || len(table.Members(start)) != 1 {
		t.Errorf("not removed: %v", removed)
	}
}

// TestCollectorCapacity guards against a small instance that collects for its zone although a larger one is there.
func TestCollectorCapacity(t *testing.T) {
	large := instance("c", "z")
	large.Capacity = 800
	table := New(instance("b", "z"))
	table.Add(instance("a", "z"), large)
	if got := table.Collector(start).ID; got != "c" {
		t.Errorf("collector %s, want the largest instance", got)
	}
	table.RecordFailure(start, "c")
	if got := table.Collector(start).ID; got != "a" {
		t.Errorf("collector %s without the largest instance, want the one with the lowest id", got)
	}
}

// TestReader guards against a zone whose reader cannot read the store although another member can, and against a reader
// that is not in contact.
func TestReader(t *testing.T) {
	table := New(instance("a", "z"))
	table.Add(instance("never-seen", "z"))
	table.SetReport(start, instance("b", "z"), Report{ReadsFailing: true})
	table.SetReport(start, instance("c", "z"), Report{})
	table.SetReport(start, instance("d", "z"), Report{})
	for _, test := range []struct {
		name    string
		failing bool
		at      time.Duration
		want    entity.DaemonID
	}{
		{"own reads succeed", false, 0, "a"},
		{"own reads fail", true, 0, "c"},
		{"contact to all others is lost", true, loadTTL, "a"},
	} {
		if got := table.Reader(start.Add(test.at), test.failing).ID; got != test.want {
			t.Errorf("%s: reader %s, want %s", test.name, got, test.want)
		}
	}
}

// TestCollectorRank guards against 195 instances that all plan placements and read the lease at the same time: only the
// collector of each zone does, and each waits for those before it.
func TestCollectorRank(t *testing.T) {
	table := New(instance("b1", "b"))
	table.Add(instance("b2", "b"), instance("a1", "a"), instance("a2", "a"), instance("c1", "c"))
	if rank, ok := table.CollectorRank(start); !ok || rank != 1 {
		t.Errorf("rank %d of a collector: %v, want 1", rank, ok)
	}
	table.RecordFailure(start, "a1")
	table.RecordFailure(start, "a2")
	if rank, ok := table.CollectorRank(start); !ok || rank != 0 {
		t.Errorf("rank %d without the zone before: %v, want 0", rank, ok)
	}
	table.Add(instance("b0", "b"))
	if _, ok := table.CollectorRank(start); ok {
		t.Error("a member that is not a collector has a rank")
	}
}

// TestPeriodsBetweenLoads guards against a collector whose replies grow with instances times engines, and against loads
// that are renewed so rarely that they expire.
func TestPeriodsBetweenLoads(t *testing.T) {
	const period = 250 * time.Millisecond
	for members, want := range map[int]int{1: 1, 46: 1, 100: 3, 1000: 4} {
		if got := PeriodsBetweenLoads(members); got != want || time.Duration(got)*period > loadTTL/2 {
			t.Errorf("%d members: every %d periods, want %d", members, got, want)
		}
	}
}

// TestLinksAreCounted guards against instances that count wrongly with how many others they share a link.
func TestLinksAreCounted(t *testing.T) {
	link := linkshare.Link{From: "z", To: "other"}
	loads := Loads{"i-1": {Sequences: 3}}
	loads.AddLink(link)
	table := New(instance("a", "z"))
	table.SetReport(start, instance("b", "z"), Report{Loads: loads})
	table.SetReport(start, instance("c", "z"), Report{Loads: loads})
	others, _ := table.Others(start, nil, "a")
	if links := others.Links(); len(links) != 1 || links[link] != 2 {
		t.Errorf("others share %v", links)
	}
}

// TestPlacerReplacesIsolatedCollector guards against placements that nobody plans because the collector of a zone is isolated, and against
// ones that an isolated member or one without contact is to plan.
func TestPlacerReplacesIsolatedCollector(t *testing.T) {
	for _, test := range []struct {
		name     string
		own      bool
		isolated map[entity.DaemonID]bool
		want     entity.DaemonID
	}{
		{"collector in touch", false, map[entity.DaemonID]bool{"a2": true}, "a1"},
		{"collector isolated", true, map[entity.DaemonID]bool{"a2": false, "a3": false}, "a2"},
		{"next one isolated too", true, map[entity.DaemonID]bool{"a2": true, "a3": false}, "a3"},
		{"next one without contact", true, map[entity.DaemonID]bool{"a3": false}, "a3"},
		{"all isolated", true, map[entity.DaemonID]bool{"a2": true, "a3": true}, "a1"},
	} {
		table := New(Member{ID: "a1", Zone: "a"})
		table.Add(Member{ID: "a2", Zone: "a"}, Member{ID: "a3", Zone: "a"}, Member{ID: "b1", Zone: "b"})
		for id, isolated := range test.isolated {
			table.SetReport(start, Member{ID: id, Zone: "a"}, Report{Isolated: isolated})
		}
		if got := table.Placer(start, test.own).ID; got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
