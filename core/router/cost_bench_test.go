package router

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// requestCounts range from a small load to that of a daemon whose requests take 15 times as long as planned.
var requestCounts = []int{50, 500, 5000}

// BenchmarkStepInProgress measures one Step with n requests in progress: without inputs, as on a tick, and with one
// progress summary that has a sample of each hop.
func BenchmarkStepInProgress(b *testing.B) {
	for _, inputs := range []string{"tick", "progress"} {
		for _, n := range requestCounts {
			b.Run(fmt.Sprintf("%s/requests=%d", inputs, n), func(b *testing.B) {
				r, started, now := busyRouter(b, n)
				progress := make([]message.Input, 1)
				i := 0
				for b.Loop() {
					if inputs == "tick" {
						r.Step(now, nil)
						continue
					}
					progress[0] = progressOf(&started[i%len(started)])
					r.Step(now, progress)
					i++
				}
				b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/step")
			})
		}
	}
}

// BenchmarkRequestMemory measures the heap that n requests in progress use in the router, with their ids and chains.
// Prompts and connections are left out, because the daemon holds them.
func BenchmarkRequestMemory(b *testing.B) {
	for _, n := range requestCounts {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			var total float64
			for range b.N {
				empty, _, _ := busyRouter(b, 0)
				before := heapBytes()
				r, _, _ := busyRouter(b, n)
				full := heapBytes()
				none, _, _ := busyRouter(b, 0)
				total += float64(full) - float64(before) - (float64(heapBytes()) - float64(full))
				runtime.KeepAlive(empty)
				runtime.KeepAlive(r)
				runtime.KeepAlive(none)
			}
			b.ReportMetric(total/float64(b.N)/float64(n), "B/request")
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// busyRouter returns a router of the design size with n requests in progress. It gets no load reports, so that the
// windows of the targets stay unlimited and this one router can start all requests.
func busyRouter(b *testing.B, n int) (*Router, []message.StartAttempt, time.Time) {
	b.Helper()
	r := New(Options{Daemon: "d", Zone: "z0", Seed: 1})
	s := deploymentSizes[len(deploymentSizes)-1]
	r.Step(testStart, []message.Input{message.ConfigurationChanged{Configuration: s.configuration()}})
	var started []message.StartAttempt
	for i := range n {
		in := message.RequestArrived{Request: entity.RequestID(fmt.Sprint("r", i)),
			Account: entity.AccountID(fmt.Sprint("a", i%s.accounts)), Model: entity.ModelID(fmt.Sprint("m", i%s.models)),
			PromptTokens: 500, MaxTokens: 200, Deadline: testStart.Add(time.Hour)}
		for _, command := range r.Step(testStart, []message.Input{in}) {
			if c, ok := command.(message.StartAttempt); ok {
				started = append(started, c)
			}
		}
	}
	if len(started) != n {
		b.Fatalf("%d of %d requests were started", len(started), n)
	}
	return r, started, testStart
}

func progressOf(c *message.StartAttempt) message.AttemptProgressed {
	progress := message.AttemptProgressed{Request: c.Request, Attempt: c.Attempt, NextPosition: 1}
	for i, hop := range c.Chain {
		sample := message.HopSample{Target: hop.Target, Step: 10 * time.Millisecond}
		if i+1 < len(c.Chain) {
			sample.Next, sample.Transfer = c.Chain[i+1].Target, time.Millisecond
		}
		progress.Hops = append(progress.Hops, sample)
	}
	return progress
}

// BenchmarkLoadReport measures the handling of one load report without the rest of its Step.
func BenchmarkLoadReport(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(s.String(), func(b *testing.B) {
			r, d := s.newLoadedRouter()
			targets := d.config.Preset.Targets
			i := 0
			for b.Loop() {
				r.apply(message.LoadReported{Target: targets[i%len(targets)].ID, Running: i % 100, TokensProcessed: uint64(i)})
				i++
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/report")
		})
	}
}

// BenchmarkCacheEvent measures one prefix cache event with the given number of blocks.
func BenchmarkCacheEvent(b *testing.B) {
	for _, blocks := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			r, d := deploymentSizes[len(deploymentSizes)-1].newLoadedRouter()
			event := message.CacheChanged{Target: d.config.Preset.Targets[0].ID, Added: make([]uint64, blocks)}
			for b.Loop() {
				event.Sequence++
				r.apply(event)
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/event")
		})
	}
}

// BenchmarkConfigurationChange measures the change to a new configuration version with the same preset, as caused by a
// mark, in a router with requests in progress.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(s.String(), func(b *testing.B) {
			r, d := s.newLoadedRouter()
			version := d.config.Version
			for b.Loop() {
				version++
				changed := *d.config
				changed.Version = version
				r.applyConfiguration(&changed)
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/1e6, "ms/change")
		})
	}
}
