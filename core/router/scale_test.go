package router

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// deploymentSize is the size of a deployment as a single daemon sees it. Each server is one target: the router treats
// all accelerators of a server as one engine.
type deploymentSize struct{ servers, models, zones, accounts int }

// deploymentSizes range from the size of an existing deployment to the one that the router is designed for.
var deploymentSizes = []deploymentSize{{40, 1, 3, 10}, {400, 2, 4, 190}, {1600, 8, 8, 750}, {3200, 15, 13, 1500}}

func (s deploymentSize) String() string {
	return fmt.Sprintf("servers=%d,models=%d,zones=%d,accounts=%d", s.servers, s.models, s.zones, s.accounts)
}

func (s deploymentSize) configuration() *entity.Configuration {
	c := &entity.Configuration{Version: 1}
	for i := range s.models {
		c.Preset.Models = append(c.Preset.Models, entity.Model{ID: entity.ModelID(fmt.Sprint("m", i)), Layers: 32})
	}
	for i := range s.servers {
		stage := i / s.models % 4
		c.Preset.Targets = append(c.Preset.Targets, entity.Target{ID: entity.TargetID(fmt.Sprintf("engine-%05d", i)),
			Kind: entity.EngineTarget, Zone: entity.ZoneID(fmt.Sprint("z", i%s.zones)),
			Model:  entity.ModelID(fmt.Sprint("m", i%s.models)),
			Layers: entity.LayerRange{From: 8 * stage, To: 8*stage + 8}, Accelerator: fmt.Sprint("type-", i%5)})
	}
	for i := range s.accounts {
		c.Preset.Accounts = append(c.Preset.Accounts, entity.Account{ID: entity.AccountID(fmt.Sprint("a", i)), Weight: 1})
	}
	return c
}

// newLoadedRouter returns a router that has load reports of all targets and requests in progress, with its driver.
func (s deploymentSize) newLoadedRouter() (*Router, *loadDriver) {
	d := &loadDriver{size: s, random: rand.New(rand.NewPCG(1, 1)), now: testStart}
	d.router = New(Options{Daemon: "d", Zone: "z0", Seed: 1})
	d.config = s.configuration()
	d.router.Step(d.now, []message.Input{message.ConfigurationChanged{Configuration: d.config}})
	d.reportLoads()
	for range 500 {
		d.startRequest()
	}
	return d.router, d
}

// loadDriver sends requests one by one and finishes the oldest, so that a fixed number stays in progress.
type loadDriver struct {
	size         deploymentSize
	router       *Router
	random       *rand.Rand
	now          time.Time
	config       *entity.Configuration
	running      []message.StartAttempt
	requestCount int
}

func (d *loadDriver) reportLoads() {
	var inputs []message.Input
	for i := range d.config.Preset.Targets {
		inputs = append(inputs, message.LoadReported{Target: d.config.Preset.Targets[i].ID, Running: d.random.IntN(100),
			TokensProcessed: uint64(d.random.IntN(1e6))})
	}
	d.router.Step(d.now, inputs)
}

// requestsInProgress is the number of requests in progress at one daemon at the design size: 32 requests/s that take
// about 10 s each.
const requestsInProgress = 320

func (d *loadDriver) startRequest() {
	d.now = d.now.Add(31 * time.Millisecond)
	d.requestCount++
	in := message.RequestArrived{Request: entity.RequestID(fmt.Sprint("r", d.requestCount)),
		Account: entity.AccountID(fmt.Sprint("a", d.random.IntN(d.size.accounts))),
		Model:   entity.ModelID(fmt.Sprint("m", d.random.IntN(d.size.models))), PromptTokens: 500, MaxTokens: 200,
		Deadline: d.now.Add(time.Hour)}
	for _, command := range d.router.Step(d.now, []message.Input{in}) {
		if c, ok := command.(message.StartAttempt); ok {
			d.running = append(d.running, c)
		}
	}
}

// finishOldest finishes the oldest requests, each after a progress summary with a sample of each hop. Its time is not
// part of the time of a decision.
func (d *loadDriver) finishOldest() {
	var inputs []message.Input
	for len(d.running) > requestsInProgress {
		c := d.running[0]
		d.running = d.running[1:]
		progress := message.AttemptProgressed{Request: c.Request, Attempt: c.Attempt, NextPosition: 1}
		for i, hop := range c.Chain {
			sample := message.HopSample{Target: hop.Target, Step: time.Duration(5+d.random.IntN(20)) * time.Millisecond}
			if i+1 < len(c.Chain) {
				sample.Next, sample.Transfer = c.Chain[i+1].Target, time.Duration(1+d.random.IntN(500))*time.Microsecond
			}
			progress.Hops = append(progress.Hops, sample)
		}
		inputs = append(inputs, progress,
			message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: 100})
	}
	d.router.Step(d.now, inputs)
	for i := range d.running { // keeps the streams from timing out
		c := &d.running[i]
		inputs = append(inputs[:0], message.AttemptProgressed{Request: c.Request, Attempt: c.Attempt, NextPosition: 1})
		d.router.apply(inputs[0])
	}
}

// BenchmarkDecision measures the time from the arrival of a request to its StartAttempt command.
func BenchmarkDecision(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(s.String(), func(b *testing.B) {
			_, d := s.newLoadedRouter()
			d.finishOldest()
			b.ResetTimer()
			for i := range b.N {
				d.startRequest()
				if i%32 == 31 {
					b.StopTimer()
					d.finishOldest()
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N), "ns/decision")
		})
	}
}

// BenchmarkMemory measures the heap of one router after 20,000 requests, which use as many links as a day's requests.
func BenchmarkMemory(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(s.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, d := s.newLoadedRouter()
				for range 20_000 / 32 {
					for range 32 {
						d.startRequest()
					}
					d.finishOldest()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(r)
				runtime.KeepAlive(d)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/daemon")
		})
	}
}
