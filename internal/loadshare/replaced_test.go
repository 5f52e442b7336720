package loadshare

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
)

const (
	replacedInstances = 28
	// collectorBound is the time within which a zone must have an instance that plans placements: layers are placed and loaded after
	// that, all within the 12 s in which callers are served again.
	collectorBound = 4 * time.Second
)

// replacedMembers returns instances of a zone whose ids come before others, and whose addresses accept connections and never answer,
// as those of a machine without power.
func replacedMembers(t *testing.T, zone entity.ZoneID) (members []loadshare.Member) {
	t.Helper()
	for i := range replacedInstances {
		member := newMember(entity.DaemonID(fmt.Sprintf("a-%02d", i)))
		member.Zone = zone
		listener, err := net.Listen("tcp", member.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		members = append(members, member)
	}
	return members
}

// TestReplacedInstancesDelayNoCollector guards against a zone without a collector, so that nobody places layers, while an instance asks one
// after the other the instances that are listed and gone for good.
func TestReplacedInstancesDelayNoCollector(t *testing.T) {
	t.Parallel()
	replaced := replacedMembers(t, "z")
	begun := time.Now()
	s := startSharer(t, newMember("b"), listing(t, replaced...), newFakeTables(1))
	waitUntil(t, "all listed instances are known", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.table.AllOthers(time.Now())) > 0
	})
	waitUntil(t, "the instance plans placements", func() bool {
		_, places := s.PlacementRank()
		return places
	})
	if took := time.Since(begun); took > collectorBound {
		t.Errorf("the zone had no collector for %v, bound %v", took, collectorBound)
	}
	// Entries whose backoff has ended make the instance ask again, which must not take long either.
	planned, checks := 0, 0
	for end := time.Now().Add(collectorBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		checks++
		if _, places := s.PlacementRank(); places {
			planned++
		}
	}
	if planned < checks/2 {
		t.Errorf("the instance planned placements in %d of %d checks", planned, checks)
	}
}

// TestReplacedInstancesOfOtherZone guards against a zone whose loads are not known to another one, while its collector asks one after the
// other the instances that are listed and gone for good.
func TestReplacedInstancesOfOtherZone(t *testing.T) {
	t.Parallel()
	other := newMember("b")
	other.Zone = "y"
	self := newMember("c")
	store := listing(t, replacedMembers(t, "y")...)
	begun := time.Now()
	startSharer(t, other, store, newFakeTables(1))
	s := startSharer(t, self, store, newFakeTables(1))
	waitUntil(t, "the zones have exchanged loads", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, instances := s.table.Others(time.Now(), nil, self.ID)
		return instances.All == 2
	})
	if took := time.Since(begun); took > collectorBound {
		t.Errorf("the zones knew nothing of each other for %v, bound %v", took, collectorBound)
	}
}
