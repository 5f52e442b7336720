package orders

import (
	"context"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkStep measures the time of one Step when all engines are in their desired state, and the heap memory of the
// manager, by the number of targets. Step runs 10 times a second.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 500, 3200} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFakeFleet(n, 0, true, nil)
			before := heapBytes()
			m := New(Options{Daemon: "d", Table: f.table, Engines: f})
			f.managers = append(f.managers, m)
			f.setDesired("old")
			for _, e := range f.engines {
				m.RecordReport(e.report)
			}
			m.Step(context.Background())
			managerBytes := heapBytes() - before
			for b.Loop() {
				m.Step(context.Background())
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/step")
			b.ReportMetric(float64(managerBytes), "B/daemon")
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkLeaseWrites reports the lease writes per engine, and the virtual time, that one daemon needs to change the
// model of n engines.
func BenchmarkLeaseWrites(b *testing.B) {
	for _, n := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			var writes, seconds float64
			for range b.N {
				f := newFakeFleet(n, 1, true, func(o *Options) { o.LoadsPerSecond = DefaultLoadsPerSecond })
				begin := f.now
				f.setDesired("new")
				for i := 0; i < 6000 && !allHave(f, "new"); i++ {
					f.run(tickInterval)
				}
				if !allHave(f, "new") {
					b.Fatal("engines have not loaded the model in 10 minutes")
				}
				seconds += f.now.Sub(begin).Seconds()
				f.run(DefaultRepeatAfter)
				for _, row := range f.table.rows {
					writes += float64(row.Version)
				}
			}
			b.ReportMetric(writes/float64(b.N)/float64(n), "writes/engine")
			b.ReportMetric(seconds/float64(b.N), "virtual-s/change")
		})
	}
}

func allHave(f *fakeFleet, model string) bool {
	for _, e := range f.engines {
		if e.report.Model != model {
			return false
		}
	}
	return true
}
