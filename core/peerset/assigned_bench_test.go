package peerset_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
)

// BenchmarkAssigned measures one call of Assigned and reports the mean and the highest number of targets that a daemon
// polls.
func BenchmarkAssigned(b *testing.B) {
	for _, s := range []struct{ daemons, zones, targets int }{{9, 3, 43}, {96, 6, 700}, {410, 13, 3200}} {
		b.Run(fmt.Sprintf("daemons=%d/zones=%d/targets=%d", s.daemons, s.zones, s.targets), func(b *testing.B) {
			now := time.Unix(1000, 0)
			sets := make([]*peerset.Set, s.daemons)
			for i := range sets {
				sets[i] = peerset.New(peerset.Options{
					Self: info(fmt.Sprint("d", i), fmt.Sprint("z", i%s.zones), 1, 1), Rand: rand.New(rand.NewPCG(1, uint64(i)))})
			}
			for _, set := range sets {
				for _, other := range sets {
					set.MergeDirect(now, other.Self())
				}
			}
			targets := make([]entity.Target, s.targets)
			for i := range targets {
				targets[i] = entity.Target{ID: entity.TargetID(fmt.Sprint("engine-", i)), Zone: entity.ZoneID(fmt.Sprint("z", i%s.zones))}
			}
			total, highest := 0, 0
			for _, set := range sets {
				n := len(set.Assigned(now, targets))
				total, highest = total+n, max(highest, n)
			}
			for b.Loop() {
				sets[0].Assigned(now, targets)
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/1000, "us/computation")
			b.ReportMetric(float64(total)/float64(s.daemons), "targets/daemon")
			b.ReportMetric(float64(highest), "highest-targets")
		})
	}
}
