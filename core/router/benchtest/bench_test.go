package benchtest

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/router"
)

var deployments = []Deployment{Abay, Banaue}

var policies = []struct {
	name   string
	policy router.Policy
}{{"learned", router.Learned}, {"fewest", router.FewestInProgress}, {"round-robin", router.RoundRobin}}

// benchSeed returns the base seed of the runs: HYSSOPHOIST_SEED if set, else 1.
func benchSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("HYSSOPHOIST_SEED"), 10, 64); err == nil {
		return seed
	}
	return 1
}

// forEach runs a benchmark for each deployment and policy.
func forEach(b *testing.B, run func(b *testing.B, f *Fleet, o Options)) {
	for _, d := range deployments {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%s", d.Name, p.name), func(b *testing.B) {
				f := NewFleet(d)
				run(b, f, Options{Fleet: f, Daemons: 8, Seed: benchSeed(), Policy: p.policy,
					Warmup: 10 * time.Second, Measure: 20 * time.Second})
			})
		}
	}
}

func runBenchmark(b *testing.B, o Options) *Result {
	var result *Result
	for b.Loop() {
		result = Run(o)
	}
	b.ReportMetric(0, "ns/op")
	if len(result.Violations) > 0 {
		b.Fatalf("violations: %v", result.Violations)
	}
	b.Logf("completed %d, refusals %v, timeouts %d, of them stalls %d", result.Completed, result.Refusals,
		result.Timeouts, result.Stalls)
	return result
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkThroughput saturates the fleet with a closed loop.
func BenchmarkThroughput(b *testing.B) {
	forEach(b, func(b *testing.B, f *Fleet, o Options) {
		o.Load = Load{ClosedLoopCallers: 2500, Deadline: 2 * time.Minute}
		result := runBenchmark(b, o)
		b.ReportMetric(100*result.Goodput/f.Bound(), "%of-bound")
	})
}

// BenchmarkLatency offers 85% of the throughput bound in an open loop, steady and in bursts.
func BenchmarkLatency(b *testing.B) {
	for _, bursts := range []bool{false, true} {
		b.Run(fmt.Sprintf("bursts=%v", bursts), func(b *testing.B) {
			forEach(b, func(b *testing.B, f *Fleet, o Options) {
				o.Load = Load{Rate: 0.85, Bursts: bursts, Deadline: time.Minute, ServiceCallRate: 50}
				result := runBenchmark(b, o)
				b.ReportMetric(100*result.Goodput/f.Bound(), "%of-bound")
				b.ReportMetric(milliseconds(result.P95FirstToken()), "p95-first-token-ms")
				b.ReportMetric(milliseconds(result.P95TokenGap()), "p95-token-gap-ms")
			})
		})
	}
}

// overloadDeadline leaves time for the longest outputs on a saturated fleet: 400 tokens at 60 ms are 24 s.
const overloadDeadline = 40 * time.Second

// BenchmarkOverload offers twice the capacity, which is the throughput of the saturated fleet with the same policy.
func BenchmarkOverload(b *testing.B) {
	forEach(b, func(b *testing.B, f *Fleet, o Options) {
		o.Load = Load{ClosedLoopCallers: 2500, Deadline: 2 * time.Minute}
		capacity := Run(o).Goodput
		o.Load = Load{Rate: 2 * capacity / f.Bound(), Deadline: overloadDeadline, MaxResends: 1}
		o.Warmup, o.Measure = 30*time.Second, 30*time.Second
		result := runBenchmark(b, o)
		b.ReportMetric(100*result.Goodput/capacity, "goodput%")
		b.ReportMetric(100*result.Goodput/f.Bound(), "%of-bound")
		b.ReportMetric(milliseconds(result.P95FirstToken()), "p95-first-token-ms")
	})
}

// BenchmarkFairness overloads the fleet with the requests of three large accounts. Small accounts offer less than their
// fair share; unfair% is the share of the offered work of the worst-served small account that was not done in time.
func BenchmarkFairness(b *testing.B) {
	forEach(b, func(b *testing.B, f *Fleet, o Options) {
		o.Load = Load{Rate: 0.9, LargeAccountFactor: 5, Deadline: overloadDeadline}
		o.Warmup, o.Measure = 30*time.Second, 70*time.Second
		result := runBenchmark(b, o)
		worst := 0.0
		for _, a := range f.accounts {
			if u := result.Account(a.id); !a.large && u.Offered > 0 {
				worst = max(worst, 100*(1-u.Good/u.Offered))
				b.Logf("%s: %d requests lost", a.id, u.Lost)
			}
		}
		b.ReportMetric(worst, "unfair%")
	})
}

// faults are the failures whose recovery is measured.
var faults = []struct {
	name    string
	fault   func(sim *Simulation)
	affects func(zone int, targets []entity.TargetID) bool
}{
	{"killed", func(sim *Simulation) { sim.Kill("engine-07", false) }, passesThrough("engine-07")},
	{"silent-stage", func(sim *Simulation) { sim.Kill("engine-07", true) }, passesThrough("engine-07")},
	{"paused", func(sim *Simulation) { sim.Pause("engine-07", 5*time.Second) }, passesThrough("engine-07")},
	{"silent-connections", func(sim *Simulation) { sim.Silence(passesThrough("engine-07")) }, passesThrough("engine-07")},
	{"partition", func(sim *Simulation) { sim.Partition(1) }, nil},
}

func passesThrough(id entity.TargetID) func(int, []entity.TargetID) bool {
	return func(_ int, targets []entity.TargetID) bool { return slices.Contains(targets, id) }
}

// recoveryRuns is the number of runs with different seeds whose streams are pooled: in one run the fault interrupts
// about 20 streams, too few for a 95th percentile.
const recoveryRuns = 6

// BenchmarkRecovery measures the time from a fault to the next token of each stream that the fault interrupted.
func BenchmarkRecovery(b *testing.B) {
	for _, fault := range faults {
		b.Run(fault.name, func(b *testing.B) {
			forEach(b, func(b *testing.B, f *Fleet, o Options) {
				o.Load = Load{Rate: 0.6, Deadline: time.Minute}
				o.Fault, o.FaultAfter, o.Affects = fault.fault, 5*time.Second, fault.affects
				o.Measure = 15 * time.Second
				var pooled Result
				for b.Loop() {
					pooled = Result{}
					for i := range uint64(recoveryRuns) {
						o.Seed = benchSeed() + i
						pooled.Pool(Run(o))
					}
				}
				if len(pooled.Violations) > 0 {
					b.Fatalf("violations: %v", pooled.Violations)
				}
				b.ReportMetric(0, "ns/op")
				recovery, affected := pooled.P95Recovery()
				b.ReportMetric(milliseconds(recovery), "recovery-ms")
				b.Logf("%d streams affected", affected)
			})
		})
	}
}

// BenchmarkServiceRecovery makes one of three plain service targets unresponsive and measures the duration of the
// idempotent calls that needed more than one attempt. A refused call counts as notRecovered.
func BenchmarkServiceRecovery(b *testing.B) {
	forEach(b, func(b *testing.B, _ *Fleet, o Options) {
		o.Affects = func(int, []entity.TargetID) bool { return false }
		o.Load = Load{Rate: 0.1, Deadline: 10 * time.Second, ServiceCallRate: 100}
		o.Fault, o.FaultAfter = func(sim *Simulation) { sim.SilenceService("service-1") }, 2*time.Second
		result := runBenchmark(b, o)
		recovery, calls := result.P95Recovery()
		b.ReportMetric(milliseconds(recovery), "recovery-ms")
		b.Logf("%d calls with more than one attempt or refused", calls)
	})
}

// BenchmarkObjective runs the same deployment with either objective and measures both sides of the trade-off:
// throughput of the saturated fleet, and recovery from an unresponsive stage at 60% load.
func BenchmarkObjective(b *testing.B) {
	for _, objective := range []entity.Objective{entity.ThroughputObjective, entity.RecoveryObjective} {
		b.Run(string(objective), func(b *testing.B) {
			d := Banaue
			d.Objective = objective
			f := NewFleet(d)
			o := Options{Fleet: f, Daemons: 8, Seed: benchSeed(), Warmup: 10 * time.Second, Measure: 20 * time.Second}
			o.Load = Load{ClosedLoopCallers: 2500, Deadline: 2 * time.Minute}
			throughput := Run(o).Goodput
			var pooled Result
			for b.Loop() {
				pooled = Result{}
				o.Load = Load{Rate: 0.6, Deadline: time.Minute}
				o.Fault, o.FaultAfter, o.Affects = faults[1].fault, 5*time.Second, faults[1].affects
				for i := range uint64(recoveryRuns) {
					o.Seed = benchSeed() + i
					pooled.Pool(Run(o))
				}
			}
			recovery, _ := pooled.P95Recovery()
			b.ReportMetric(100*throughput/f.Bound(), "%of-bound")
			b.ReportMetric(milliseconds(recovery), "recovery-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPrefixCache offers 85% of the throughput bound with prompts whose first 80% recur. The router either uses
// the engines' cache events, which arrive late or are lost, or ignores them.
func BenchmarkPrefixCache(b *testing.B) {
	for _, ignore := range []bool{false, true} {
		b.Run(fmt.Sprintf("affinity=%v", !ignore), func(b *testing.B) {
			forEach(b, func(b *testing.B, f *Fleet, o Options) {
				o.Load = Load{Rate: 0.85, SharedPrefix: 0.8, Deadline: time.Minute}
				o.Configure = func(r *router.Options) { r.IgnoreCache = ignore }
				result := runBenchmark(b, o)
				b.ReportMetric(milliseconds(result.P95FirstToken()), "p95-first-token-ms")
				b.ReportMetric(milliseconds(result.P95TokenGap()), "p95-token-gap-ms")
			})
		})
	}
}

// BenchmarkOutage pauses half of the engines for 8 s at 95% load and measures the goodput from 90 s to 130 s after
// they resume, relative to the offered work. Attempts have fixed timeouts, so the backlog of the outage makes them time
// out, and without a retry budget the retries keep the fleet overloaded long after the outage. Callers do not resend.
// The baseline policies cannot sustain this load.
func BenchmarkOutage(b *testing.B) {
	for _, d := range deployments {
		for _, unlimited := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/budget=%v", d.Name, !unlimited), func(b *testing.B) {
				f := NewFleet(d)
				o := Options{Fleet: f, Daemons: 8, Seed: benchSeed(), Warmup: 108 * time.Second, Measure: 40 * time.Second,
					Load: Load{Rate: 0.95, Deadline: time.Minute}, UnmeasuredFaultAt: 10 * time.Second}
				o.Configure = func(r *router.Options) { r.UnlimitedRetries, r.FixedTimeouts = unlimited, true }
				o.UnmeasuredFault = func(sim *Simulation) {
					for i := 0; i < 40; i += 2 {
						sim.Pause(entity.TargetID(fmt.Sprintf("engine-%02d", i)), 8*time.Second)
					}
				}
				result := runBenchmark(b, o)
				b.ReportMetric(100*result.Goodput/f.Bound()/o.Load.Rate, "goodput%")
			})
		}
	}
}

// BenchmarkSlowTarget slows three engines down by a factor of five 3 s before measurement starts, at 60% load.
func BenchmarkSlowTarget(b *testing.B) {
	forEach(b, func(b *testing.B, _ *Fleet, o Options) {
		o.Load = Load{Rate: 0.6, Deadline: time.Minute}
		o.UnmeasuredFault, o.UnmeasuredFaultAt = func(sim *Simulation) {
			for _, id := range []entity.TargetID{"engine-03", "engine-12", "engine-24"} {
				sim.Slow(id, 5)
			}
		}, o.Warmup-3*time.Second
		result := runBenchmark(b, o)
		b.ReportMetric(milliseconds(result.P95FirstToken()), "p95-first-token-ms")
		b.ReportMetric(milliseconds(result.P95TokenGap()), "p95-token-gap-ms")
	})
}
