package benchtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/router"
)

// Options configures a run.
type Options struct {
	Fleet   *Fleet
	Daemons int
	Seed    uint64
	Policy  router.Policy
	Load    Load
	// Warmup is the time before measurement starts; Measure is the duration of the measurement.
	Warmup, Measure time.Duration
	// Fault, if set, is injected at FaultAfter from the start of the measurement.
	Fault      func(*Simulation)
	FaultAfter time.Duration
	// Affects says whether the fault affects a stream through these targets; nil means that it affects all streams.
	Affects func(daemonZone int, targets []entity.TargetID) bool
	// MeasureFirstTokens measures the recovery of the requests that are sent through an affected target after the fault,
	// from their arrival to their first token, instead of that of the streams in progress.
	MeasureFirstTokens bool
	// UnmeasuredFault, if set, is injected at UnmeasuredFaultAt from the start of the run, without measuring recovery.
	UnmeasuredFault   func(*Simulation)
	UnmeasuredFaultAt time.Duration
	// Configure, if set, changes the options of each router.
	Configure func(*router.Options)
}

// Simulation is one run: engines, services, daemons and callers on a virtual clock.
type Simulation struct {
	clock
	fleet             *Fleet
	options           Options
	random            *rand.Rand
	engines           []*engine
	engineByID        map[entity.TargetID]*engine
	serviceTargetByID map[entity.TargetID]*serviceTarget
	daemons           []*daemon
	linkFreeAt        map[[2]int]time.Duration
	onResume          map[int][]func()
	partitioned       map[[2]int]bool // pairs of zones without a connection
	silentKill        bool
	workDone          float64 // since the start of the run, scaled like Result.WorkDone
	measuring         bool
	nextID            int
	faultAt           time.Duration
	result            Result
	jobs              []*job // all jobs sent since the start of the run
}

// Run simulates one run and returns its measurements.
func Run(o Options) *Result {
	sim := newSimulation(o)
	sim.startLoad()
	if o.UnmeasuredFault != nil {
		sim.after(o.UnmeasuredFaultAt, func() { o.UnmeasuredFault(sim) })
	}
	sim.runUntil(o.Warmup)
	sim.measuring = true
	before := sim.workDone
	if o.Fault != nil {
		sim.after(o.FaultAfter, func() {
			sim.faultAt = sim.now()
			if !o.MeasureFirstTokens {
				sim.markAffected()
			}
			o.Fault(sim)
		})
	}
	sim.runUntil(o.Warmup + o.Measure)
	sim.result.WorkDone = sim.workDone - before
	sim.finishResult()
	return &sim.result
}

func newSimulation(o Options) *Simulation {
	sim := &Simulation{fleet: o.Fleet, options: o, random: rand.New(rand.NewPCG(o.Seed, 7)),
		engineByID: make(map[entity.TargetID]*engine), serviceTargetByID: make(map[entity.TargetID]*serviceTarget),
		linkFreeAt: make(map[[2]int]time.Duration), onResume: make(map[int][]func()), partitioned: make(map[[2]int]bool)}
	sim.result.accountWork = make(map[entity.AccountID]*AccountWork)
	for i, t := range o.Fleet.Configuration.Preset.Targets {
		if t.Kind == entity.ServiceTarget {
			sim.serviceTargetByID[t.ID] = &serviceTarget{sim: sim, id: t.ID, zone: o.Fleet.targetZones[i]}
			continue
		}
		e := &engine{sim: sim, index: i, id: t.ID, rate: o.Fleet.rates[i], slowdown: 1,
			slots: int(o.Fleet.rates[i] * slotSeconds)}
		sim.engines = append(sim.engines, e)
		sim.engineByID[t.ID] = e
		sim.after(time.Duration(sim.random.Int64N(int64(reportPeriod))), e.report)
		if o.Load.SharedPrefix > 0 {
			sim.after(time.Duration(sim.random.Int64N(int64(cachePeriod))), e.publishCacheEvents)
		}
	}
	for i := range o.Daemons {
		sim.addDaemon(i)
	}
	return sim
}

func (sim *Simulation) addDaemon(i int) {
	zone := i % sim.fleet.Zones
	options := router.Options{Daemon: entity.DaemonID(fmt.Sprintf("daemon-%d", i)), Zone: zoneID(zone),
		Seed: sim.options.Seed*1000 + uint64(i), Policy: sim.options.Policy,
		OnViolation: func(v router.Violation) {
			sim.result.Violations = append(sim.result.Violations, v)
		}}
	if sim.options.Configure != nil {
		sim.options.Configure(&options)
	}
	d := &daemon{sim: sim, zone: zone, router: router.New(options), streams: make(map[entity.AttemptID]*stream),
		jobs: make(map[entity.RequestID]*job)}
	sim.daemons = append(sim.daemons, d)
	d.push(message.ConfigurationChanged{Configuration: sim.fleet.Configuration})
	sim.after(time.Duration(sim.random.Int64N(int64(tickPeriod))), d.tick)
}

func (sim *Simulation) layersOf(index int) int {
	return sim.fleet.Configuration.Preset.Targets[index].Layers.Len()
}

func (sim *Simulation) reachable(a, b int) bool {
	return !sim.partitioned[[2]int{min(a, b), max(a, b)}]
}

// transfer sends the activations of some tokens over the link between two engines. With no tokens it sends a
// message that takes no bandwidth.
func (sim *Simulation) transfer(from, to *engine, tokens int, arrive func()) {
	a, b := sim.fleet.targetZones[from.index], sim.fleet.targetZones[to.index]
	if !sim.reachable(a, b) {
		return
	}
	if tokens == 0 {
		sim.after(latency(a, b), arrive)
		return
	}
	link := [2]int{from.index, to.index}
	rate := linkTokensPerSecond[sim.fleet.linkClass(from.index, to.index)]
	sim.linkFreeAt[link] = max(sim.linkFreeAt[link], sim.now()) + seconds(float64(tokens)/rate)
	sim.after(sim.linkFreeAt[link]-sim.now()+latency(a, b), arrive)
}

func (sim *Simulation) sendToDaemon(e *engine, d *daemon, arrive func()) {
	if zone := sim.fleet.targetZones[e.index]; sim.reachable(zone, d.zone) {
		sim.after(latency(zone, d.zone), arrive)
	}
}

func (sim *Simulation) sendToEngine(d *daemon, e *engine, arrive func()) {
	if zone := sim.fleet.targetZones[e.index]; sim.reachable(zone, d.zone) {
		sim.after(latency(zone, d.zone), arrive)
	}
}

// report sends a load report to each daemon after a lag.
func (e *engine) report() {
	sim := e.sim
	sim.after(reportPeriod, e.report)
	if e.dead || e.paused {
		return
	}
	for _, d := range sim.daemons {
		lag := reportLagMin + time.Duration(sim.random.Int64N(int64(reportLagRange)))
		r := message.LoadReported{Target: e.id, Age: lag, Queued: e.queued(), Running: e.usedSlots,
			KVUsed: float64(e.usedSlots) / float64(e.slots), TokensProcessed: uint64(e.processed)}
		if sim.reachable(sim.fleet.targetZones[e.index], d.zone) {
			sim.after(lag, func() { d.push(r) })
		}
	}
}

// serviceTarget is one target of the plain service. It responds after 2 ms plus an exponentially distributed time
// with a mean of 4 ms.
type serviceTarget struct {
	sim  *Simulation
	id   entity.TargetID
	zone int
	dead bool
	// silent drops all calls without a response.
	silent bool
}

func (sim *Simulation) callService(d *daemon, j *job, c message.StartAttempt, s *serviceTarget) {
	if !sim.reachable(s.zone, d.zone) {
		return
	}
	delay := seconds(0.002 + 0.004*sim.random.ExpFloat64())
	sim.after(delay, func() {
		if s.silent {
			return
		}
		if s.dead {
			d.push(message.AttemptFailed{Request: j.id, Attempt: c.Attempt, Kind: errkind.TargetFailed,
				Run: errkind.NotRun, Target: s.id})
			return
		}
		d.push(message.AttemptFinished{Request: j.id, Attempt: c.Attempt})
	})
}
