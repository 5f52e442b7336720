package peerset_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
)

var start = time.Unix(1e9, 0)

func newSet() *peerset.Set {
	return peerset.New(peerset.Options{
		Self: peerset.Info{ID: "self", Zone: "z1", Address: "10.0.0.1:1", Incarnation: 5},
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

func info(id, zone string, incarnation, heartbeat uint64) peerset.Info {
	return peerset.Info{
		ID: entity.DaemonID(id), Zone: entity.ZoneID(zone), Address: id + ":1", Incarnation: incarnation, Heartbeat: heartbeat,
	}
}

// Guards against a daemon that counts as up without updates or after failed calls, and against outdated gossip that
// makes it count as up again.
func TestFailureDetection(t *testing.T) {
	s := newSet()
	s.MergeDirect(start, info("a", "z1", 1, 1))
	s.MergeDirect(start, info("b", "z2", 1, 1))
	later := start.Add(peerset.DefaultZoneTimeout)
	s.Merge(later, 0, peerset.News{Infos: []peerset.Info{info("a", "z1", 1, 1)}})
	if len(s.ZonePeers(later)) != 0 || len(s.ZoneRepresentatives(later, 1)) != 1 {
		t.Errorf("after %s: zone peers %v, other zones %v", later.Sub(start), s.ZonePeers(later), s.ZoneRepresentatives(later, 1))
	}
	s.Merge(later, 0, peerset.News{Infos: []peerset.Info{info("a", "z1", 1, 2)}})
	if len(s.ZonePeers(later)) != 1 {
		t.Error("a daemon does not count as up after an update by gossip")
	}
	for range 3 {
		s.RecordFailedCall("a")
	}
	if len(s.ZonePeers(later)) != 0 {
		t.Error("a daemon counts as up after 3 failed calls")
	}
	s.Merge(later, 0, peerset.News{Infos: []peerset.Info{info("a", "z1", 2, 1)}})
	if len(s.ZonePeers(later)) != 1 {
		t.Error("a new process of a daemon does not count as up")
	}
	s.Merge(later, 0, peerset.News{Infos: []peerset.Info{info("self", "z1", 9, 1)}})
	if s.Self().Incarnation != 10 {
		t.Errorf("own incarnation %d, want 10, above the one that its peers know", s.Self().Incarnation)
	}
}

// Guards against the platform's list removing a daemon that has answered or changing its zone or address, and against
// daemons that are not contacted although they are listed.
func TestListAddsAndNeverRemoves(t *testing.T) {
	s := newSet()
	s.AddSeed(start, "a:1", "z1")
	s.MergeDirect(start, info("a", "z1", 1, 1))
	s.UpdateListed(start, []peerset.Instance{{ID: "b", Zone: "z2", Address: "b:1"}, {ID: "a", Zone: "z9", Address: "wrong:1"}})
	s.UpdateListed(start, nil)
	if peer := s.Get("a"); peer == nil || peer.Zone != "z1" || peer.Address != "a:1" || !s.Live(start, peer) {
		t.Errorf("entry of a daemon that has answered = %+v", peer)
	}
	if got := fmt.Sprint(s.KnownPeers()); got != "[a b]" {
		t.Errorf("known peers %s, want [a b]", got)
	}
	s.Forget(start.Add(2 * peerset.DefaultForgetAfter))
	if len(s.KnownPeers()) != 0 {
		t.Errorf("known peers %v remain after being down and unlisted for twice DefaultForgetAfter", s.KnownPeers())
	}
}

// Guards against targets with two pollers or none, a very uneven distribution, and targets that change their poller
// while it is up.
func TestPollers(t *testing.T) {
	var sets []*peerset.Set
	const daemons, targets = 5, 1000
	for i := range daemons {
		s := peerset.New(peerset.Options{Self: info(fmt.Sprint("d", i), "z1", 1, 1), Rand: rand.New(rand.NewPCG(1, 1))})
		for j := range daemons {
			s.MergeDirect(start, info(fmt.Sprint("d", j), "z1", 1, 1))
		}
		sets = append(sets, s)
	}
	count := map[entity.DaemonID]int{}
	before := map[entity.TargetID]entity.DaemonID{}
	for i := range targets {
		target := entity.TargetID(fmt.Sprint("t", i))
		before[target] = sets[0].Poller(start, target)
		count[before[target]]++
		for _, s := range sets {
			if s.Poller(start, target) != before[target] {
				t.Fatalf("daemons disagree on the poller of %s", target)
			}
		}
	}
	for id, n := range count {
		if n < targets/daemons/2 || n > targets/daemons*2 {
			t.Errorf("daemon %s polls %d of %d targets", id, n, targets)
		}
	}
	for range 3 {
		sets[0].RecordFailedCall("d4")
	}
	for target, poller := range before {
		if current := sets[0].Poller(start, target); current == "d4" || (poller != "d4" && current != poller) {
			t.Errorf("poller of %s was %s and is %s after d4 failed", target, poller, current)
		}
	}
}

// Guards against exchanges that never reach this daemon's zone, the other zones or daemons that are down: each of these
// groups has information that the others lack.
func TestPartners(t *testing.T) {
	s := newSet()
	s.MergeDirect(start, info("near", "z1", 1, 1))
	s.MergeDirect(start, info("far", "z2", 1, 1))
	s.AddSeed(start, "down:1", "z2")
	count := map[entity.DaemonID]int{}
	for range 4000 {
		partner, _ := s.Partner(start)
		count[partner]++
	}
	if count["near"] < 1800 || count["near"] > 2200 || count["far"] < 1500 || count["addr:down:1"] < 150 {
		t.Errorf("partners %v, want about 2000 near, 1750 far and 250 down", count)
	}
}
