package peerset_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
)

// Guards against live daemons that count as down because gossip about them arrives too slowly at the design size: 410
// daemons in 13 zones, samples of 3 Infos and 15 Heartbeats, one exchange per second and load summaries every 5 s.
func TestNoFalseFailuresAtDesignSize(t *testing.T) {
	const zones, seconds, infos, heartbeats = 13, 300, 3, 15
	daemons := 410
	if testing.Short() {
		daemons = 100 // the race detector makes the design size take minutes
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	index := map[entity.DaemonID]int{}
	sets := make([]*peerset.Set, daemons)
	for i := range sets {
		self := info(fmt.Sprint("d", i), fmt.Sprint("z", i%zones), 1, 1)
		index[self.ID] = i
		sets[i] = peerset.New(peerset.Options{Self: self, Rand: random})
	}
	for _, s := range sets {
		for _, other := range sets {
			s.MergeDirect(now, other.Self())
		}
	}
	for second := range seconds {
		now = now.Add(time.Second)
		for i, s := range sets {
			self := s.IncrementHeartbeat(1, true)
			if (second+i)%5 == 0 {
				for _, peer := range s.ZonePeers(now) {
					sets[index[peer]].MergeDirect(now, self)
				}
			}
			partner, _ := s.Partner(now)
			other := sets[index[partner]]
			sent := s.Sample(now, other.Self().Zone, infos, heartbeats)
			received := other.Sample(now, self.Zone, infos, heartbeats)
			other.MergeDirect(now, self)
			other.Merge(now, self.Version, sent)
			s.MergeDirect(now, other.Self())
			s.Merge(now, other.Self().Version, received)
		}
	}
	var ages []time.Duration
	down := 0
	for _, s := range sets {
		for _, peer := range s.All() {
			ages = append(ages, now.Sub(peer.LastUpdate))
			if !s.Live(now, &peer) {
				down++
			}
		}
	}
	slices.Sort(ages)
	t.Logf("age of updates: median %s, 95th percentile %s, maximum %s", ages[len(ages)/2], ages[len(ages)*95/100], ages[len(ages)-1])
	if down != 0 {
		t.Errorf("%d of %d live peers count as down", down, len(ages))
	}
}
