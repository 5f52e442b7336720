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

// Options select a run.
type Options struct {
	Fleet   *Fleet
	Daemons int
	Seed    uint64
	Policy  router.Policy
	Load    Load
	// Warmup passes before measurement starts; Measure is the time measured.
	Warmup, Measure time.Duration
	// Fault, if set, is applied FaultAfter after the start of measurement.
	Fault      func(*World)
	FaultAfter time.Duration
	// Touches says whether the fault affects a stream through these targets; nil means that it affects all.
	Touches func(daemonZone int, targets []entity.TargetID) bool
	// FirstTokens measures recovery of the requests that are sent through a touched target after the fault, from their
	// arrival to their first token, instead of that of the streams in progress.
	FirstTokens bool
	// Before, if set, is applied at BeforeAt from the start of the run, without measuring recovery.
	Before   func(*World)
	BeforeAt time.Duration
	// Configure, if set, changes the options of each router.
	Configure func(*router.Options)
}

// World is one run: engines, services, daemons and callers on a virtual clock.
type World struct {
	clock
	fleet       *Fleet
	options     Options
	random      *rand.Rand
	engines     []*engine
	engineByID  map[entity.TargetID]*engine
	serviceByID map[entity.TargetID]*plainService
	daemons     []*daemon
	linkFree    map[[2]int]time.Duration
	resume      map[int][]func()
	cut         map[[2]int]bool // pairs of zones without contact
	silentDeath bool
	workDone    float64 // in work units, scaled to whole chains
	measuring   bool
	nextID      int
	faultAt     time.Duration
	result      Result
	jobs        []*job // all jobs in progress or started while measuring
}

// Run runs the options to the end of the measurement.
func Run(o Options) *Result {
	w := newWorld(o)
	w.startLoad()
	if o.Before != nil {
		w.after(o.BeforeAt, func() { o.Before(w) })
	}
	w.runUntil(o.Warmup)
	w.measuring = true
	before := w.workDone
	if o.Fault != nil {
		w.after(o.FaultAfter, func() {
			w.faultAt = w.now
			if !o.FirstTokens {
				w.markAffected()
			}
			o.Fault(w)
		})
	}
	w.runUntil(o.Warmup + o.Measure)
	w.result.WorkDone = w.workDone - before
	w.finishResult()
	return &w.result
}

func newWorld(o Options) *World {
	w := &World{fleet: o.Fleet, options: o, random: rand.New(rand.NewPCG(o.Seed, 7)),
		engineByID: make(map[entity.TargetID]*engine), serviceByID: make(map[entity.TargetID]*plainService),
		linkFree: make(map[[2]int]time.Duration), resume: make(map[int][]func()), cut: make(map[[2]int]bool)}
	w.result.units = make(map[entity.AccountID]*AccountUnits)
	for i, t := range o.Fleet.Configuration.Preset.Targets {
		if t.Kind == entity.ServiceTarget {
			w.serviceByID[t.ID] = &plainService{w: w, id: t.ID, zone: o.Fleet.zones[i]}
			continue
		}
		e := &engine{w: w, index: i, id: t.ID, rate: o.Fleet.rates[i], slowdown: 1,
			slots: int(o.Fleet.rates[i] * slotSeconds)}
		w.engines = append(w.engines, e)
		w.engineByID[t.ID] = e
		w.after(time.Duration(w.random.Int64N(int64(reportPeriod))), e.report)
		if o.Load.Shared > 0 {
			w.after(time.Duration(w.random.Int64N(int64(cachePeriod))), e.publish)
		}
	}
	for i := range o.Daemons {
		w.addDaemon(i)
	}
	return w
}

func (w *World) addDaemon(i int) {
	zone := i % w.fleet.Zones
	options := router.Options{Daemon: entity.DaemonID(fmt.Sprintf("daemon-%d", i)), Zone: zoneID(zone),
		Seed: w.options.Seed*1000 + uint64(i), Policy: w.options.Policy,
		OnViolation: func(v router.Violation) {
			w.result.Violations = append(w.result.Violations, v)
		}}
	if w.options.Configure != nil {
		w.options.Configure(&options)
	}
	d := &daemon{w: w, zone: zone, router: router.New(options), streams: make(map[entity.AttemptID]*stream),
		jobs: make(map[entity.RequestID]*job)}
	w.daemons = append(w.daemons, d)
	d.push(message.ConfigurationChanged{Configuration: w.fleet.Configuration})
	w.after(time.Duration(w.random.Int64N(int64(tick))), d.tick)
}

func (w *World) layersOf(index int) int {
	return w.fleet.Configuration.Preset.Targets[index].Layers.Len()
}

func (w *World) reachable(a, b int) bool { return !w.cut[[2]int{min(a, b), max(a, b)}] }

// transfer passes tokens of activations over the link between two engines; no tokens means a message only.
func (w *World) transfer(from, to *engine, tokens int, arrive func()) {
	a, b := w.fleet.zones[from.index], w.fleet.zones[to.index]
	if !w.reachable(a, b) {
		return
	}
	if tokens == 0 {
		w.after(latency(a, b), arrive)
		return
	}
	link := [2]int{from.index, to.index}
	rate := linkTokensPerSecond[w.fleet.linkClass(from.index, to.index)]
	w.linkFree[link] = max(w.linkFree[link], w.now) + seconds(float64(tokens)/rate)
	w.after(w.linkFree[link]-w.now+latency(a, b), arrive)
}

func (w *World) toDaemon(e *engine, d *daemon, arrive func()) {
	if zone := w.fleet.zones[e.index]; w.reachable(zone, d.zone) {
		w.after(latency(zone, d.zone), arrive)
	}
}

func (w *World) toEngine(d *daemon, e *engine, arrive func()) {
	if zone := w.fleet.zones[e.index]; w.reachable(zone, d.zone) {
		w.after(latency(zone, d.zone), arrive)
	}
}

// report sends a load report to each daemon after a lag.
func (e *engine) report() {
	w := e.w
	w.after(reportPeriod, e.report)
	if e.dead || e.paused {
		return
	}
	for _, d := range w.daemons {
		lag := reportLagLeast + time.Duration(w.random.Int64N(int64(reportLagRange)))
		r := message.LoadReported{Target: e.id, Age: lag, Queued: e.queued(), Running: e.holders,
			KVUsed: float64(e.holders) / float64(e.slots), TokensProcessed: uint64(e.processed)}
		if w.reachable(w.fleet.zones[e.index], d.zone) {
			w.after(lag, func() { d.push(r) })
		}
	}
}

// plainService is one target of the plain service. It responds after an exponentially distributed time.
type plainService struct {
	w    *World
	id   entity.TargetID
	zone int
	dead bool
	// silent drops all calls without a response.
	silent bool
}

func (w *World) call(d *daemon, j *job, c message.StartAttempt, s *plainService) {
	if !w.reachable(s.zone, d.zone) {
		return
	}
	time := seconds(0.002 + 0.004*w.random.ExpFloat64())
	w.after(time, func() {
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
