package benchtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// firstTokenCases lists the load, as a share of the throughput bound, and the fleet of each case. At a load of 0.02
// most daemons have no stream in progress at the engine that hangs.
var firstTokenCases = []struct {
	name    string
	rate    float64
	short   bool // only short prompts
	pair    bool
	daemons int
}{
	{"idle", 0.02, false, false, 8}, {"idle-short", 0.02, true, false, 8},
	{"low", 0.2, false, false, 8}, {"low-short", 0.2, true, false, 8},
	{"high", 0.85, false, false, 8}, {"pair", 0.1, false, true, 1}, {"pair-short", 0.1, true, true, 1},
}

func firstTokenRecovery(d Deployment, rate float64, pair bool, daemons int, seed uint64) *Result {
	f, hung := NewFleet(d), entity.TargetID("engine-07")
	if pair {
		f, hung = NewPairFleet(d), "engine-01"
	}
	return Run(Options{Fleet: f, Daemons: daemons, Seed: seed, MeasureFirstTokens: true,
		Load: Load{Rate: rate, Deadline: time.Minute}, Warmup: 10 * time.Second, Measure: 25 * time.Second,
		Fault: func(sim *Simulation) { sim.Kill(hung, true) }, FaultAfter: 2 * time.Second, Affects: passesThrough(hung)})
}

// BenchmarkFirstTokenRecovery makes one engine hang and measures the time to the first token of the requests that are
// sent through it afterwards.
func BenchmarkFirstTokenRecovery(b *testing.B) {
	for _, run := range firstTokenCases {
		for _, d := range deployments {
			if run.short {
				d.LongShare = 0
			}
			b.Run(fmt.Sprintf("%s/%s", run.name, d.Name), func(b *testing.B) {
				var pooled Result
				for b.Loop() {
					pooled = Result{}
					for i := range uint64(recoveryRuns) {
						pooled.Pool(firstTokenRecovery(d, run.rate, run.pair, run.daemons, benchSeed()+i))
					}
				}
				recovery, affected := pooled.P95Recovery()
				b.ReportMetric(milliseconds(recovery), "recovery-ms")
				b.ReportMetric(0, "ns/op")
				b.Logf("%d requests affected", affected)
			})
		}
	}
}

// TestFirstTokenRecovery guards against requests that wait for seconds on a hanging engine of a lightly loaded fleet,
// where the router has few streams in progress by which to detect it.
func TestFirstTokenRecovery(t *testing.T) {
	for _, run := range firstTokenCases {
		if !run.short {
			continue
		}
		for _, d := range deployments {
			d.LongShare = 0
			var pooled Result
			for i := range uint64(recoveryRuns) {
				pooled.Pool(firstTokenRecovery(d, run.rate, run.pair, run.daemons, 1+i))
			}
			recovery, affected := pooled.P95Recovery()
			if len(pooled.Violations) > 0 || affected == 0 || recovery > 800*time.Millisecond {
				t.Errorf("%s/%s: p95 first token after %v, %d requests affected, violations %v", run.name, d.Name, recovery,
					affected, pooled.Violations)
			}
		}
	}
}
