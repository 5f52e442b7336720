package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// peersIn returns instances, as many in each of the zones as given.
func peersIn(counts map[entity.ZoneID]int) (peers []Peer) {
	for zone, count := range counts {
		for n := range count {
			peers = append(peers, Peer{ID: entity.DaemonID(fmt.Sprint(zone, n)), Zone: zone})
		}
	}
	return peers
}

func newTable() *Table { return New("a", rand.New(rand.NewPCG(1, 1)).Float64) }

// TestOwnZoneFirstAndByRoom guards against requests that all go to the one instance left in a zone, or to another zone although the
// own one has room.
func TestOwnZoneFirstAndByRoom(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	peers := peersIn(map[entity.ZoneID]int{"a": 1, "b": 1, "c": 1})
	given := make(map[entity.ZoneID]int)
	for n := range 90 {
		peer, found := table.Choose(now, peers, &Tried{})
		if !found || n == 0 && peer.Zone != "a" {
			t.Fatalf("request %d goes to %+v", n, peer)
		}
		given[peer.Zone]++
	}
	if given["a"] < 30 || given["a"] > 45 || given["b"] < 20 || given["c"] < 20 {
		t.Errorf("90 requests go to %v", given)
	}
}

// TestIsolatedPeersAreLeftOut guards against requests that are offered to isolated instances again and again, and against ones
// that never reach another zone.
func TestIsolatedPeersAreLeftOut(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	peers := peersIn(map[entity.ZoneID]int{"a": 30, "b": 30})
	offer := func() (offers int, served bool) {
		var tried Tried
		for {
			peer, found := table.Choose(now, peers, &tried)
			if !found {
				return offers, false
			}
			offers++
			table.Release(peer.ID)
			if peer.Zone == "b" {
				return offers, true
			}
			table.LeaveOut(now, peer.ID)
		}
	}
	for n := range 30 {
		offers, served := offer()
		if !served || offers > maxTriesInZone+1 || n >= 15 && offers != 1 {
			t.Fatalf("request %d: served %v after %d offers", n, served, offers)
		}
	}
	now = now.Add(leftOutTime)
	if offers, _ := offer(); offers == 1 {
		t.Error("instances that refused are never asked again")
	}
}

// TestNoPeerIsFoundSoon guards against requests that are offered to every instance although all are isolated.
func TestNoPeerIsFoundSoon(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	peers := peersIn(map[entity.ZoneID]int{"a": 100, "b": 200, "c": 110})
	var tried Tried
	offers := 0
	for peer, found := table.Choose(now, peers, &tried); found; peer, found = table.Choose(now, peers, &tried) {
		offers++
		table.Release(peer.ID)
		table.LeaveOut(now, peer.ID)
	}
	if offers != MaxTries {
		t.Errorf("%d offers, want %d", offers, MaxTries)
	}
	table.Prune(now.Add(leftOutTime))
	if len(table.peers) != 0 {
		t.Errorf("%d instances are remembered for ever", len(table.peers))
	}
}
