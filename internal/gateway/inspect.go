package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// stallCheck is the pause of a stream after which the engines of its path are asked what is wrong. A step takes some
	// ten milliseconds on the slowest path.
	stallCheck = 250 * time.Millisecond
	// minRecheck is the least time between two questions.
	minRecheck = 50 * time.Millisecond
	// reportTimeout bounds the wait for a report; an engine that gives none is taken to have failed.
	reportTimeout = 300 * time.Millisecond
	// reportLife is how long a report serves all streams that ask. Engines give reports that are some hundred
	// milliseconds old, and each costs a priced call.
	reportLife = 500 * time.Millisecond
	// downProbe is the time between two questions to an engine that does not answer, for each instancesPerProbe instances.
	downProbe         = 600 * time.Millisecond
	instancesPerProbe = 16
)

// Engines reads reports of engines and reroutes requests.
type Engines interface {
	Report(ctx context.Context, target fleet.Target) (fleet.Report, error)
	// Reroute has the first engine of a request's path send the request along another path, which begins with the same
	// stage. The error gives the reason of outcomes other than Rerouted.
	Reroute(ctx context.Context, first fleet.Target, requestID string, path []Hop) (Reroute, error)
}

// inspector asks engines for reports when a stream makes no progress.
type inspector struct {
	gateway *Gateway
	engines Engines
	calls   singleflight.Group

	mu      sync.Mutex
	reports map[entity.TargetID]inspection
}

type inspection struct {
	report fleet.Report
	err    error
	at     time.Time
}

func newInspector(g *Gateway, engines Engines) *inspector {
	return &inspector{gateway: g, engines: engines, reports: make(map[entity.TargetID]inspection)}
}

// inspect returns a recent report of an engine and notes its speed.
func (i *inspector) inspect(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	i.mu.Lock()
	last, known := i.reports[target.ID]
	i.mu.Unlock()
	if known && time.Since(last.at) < reportLife {
		return last.report, last.err
	}
	result, _, _ := i.calls.Do(string(target.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		report, err := i.engines.Report(ctx, target)
		made := inspection{report: report, err: err, at: time.Now()}
		i.mu.Lock()
		i.reports[target.ID] = made
		i.mu.Unlock()
		if err == nil {
			i.gateway.noteReport(target, report)
		} else {
			i.gateway.noteSilence(target, err)
		}
		return made, nil
	})
	made := result.(inspection)
	return made.report, made.err
}

func (g *Gateway) noteReport(target fleet.Target, report fleet.Report) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.Reported(boottime.Now(), target.ID, report)
	g.mu.Unlock()
	if changed {
		log.Event("speed of engine changed", "target", target.ID, "slowdown", report.Slowdown, "queued", report.Queued,
			"active", report.Active)
	}
}

// noteSilence notes that an engine gave no report.
func (g *Gateway) noteSilence(target fleet.Target, err error) {
	g.mu.Lock()
	news := g.dispatcher.Fleet.Unreachable(boottime.Now(), target.ID, g.downProbe()+reportLife+reportTimeout)
	g.mu.Unlock()
	if news {
		log.Event("engine does not answer", "target", target.ID, "born", target.Born, "error", err.Error())
	}
}

// downProbe returns the time between two questions to an engine that does not answer. It grows with the number of
// instances, which all ask.
func (g *Gateway) downProbe() time.Duration {
	return downProbe * time.Duration(1+g.known/instancesPerProbe)
}

// WatchDown asks engines that do not answer again, until ctx ends, so that they are used once they do.
func (g *Gateway) WatchDown(ctx context.Context) {
	for {
		g.mu.Lock()
		down, pause := g.dispatcher.Fleet.DownTargets(boottime.Now()), g.downProbe()
		g.mu.Unlock()
		g.inspectAll(ctx, down)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// inspectAll asks engines without waiting for their reports.
func (g *Gateway) inspectAll(ctx context.Context, targets []fleet.Target) {
	for _, target := range targets {
		go func() {
			if _, err := g.inspector.inspect(ctx, target); err != nil {
				log.Debugf("Engine %s gave no report: %v.", target.ID, err)
			}
		}()
	}
}

// InspectSlow asks the engines that this instance has found to be slow again, so that they are used once they recover.
func (g *Gateway) InspectSlow(ctx context.Context) {
	g.mu.Lock()
	slow := g.dispatcher.Fleet.Slow(boottime.Now())
	g.mu.Unlock()
	g.inspectAll(ctx, slow)
}

// faults asks the engines of a path why the request makes no progress. It returns the engines at fault, none if all answer
// and none is named.
func (i *inspector) faults(ctx context.Context, requestID string, targets []fleet.Target) (faults []fleet.Target) {
	reports := make([]inspection, len(targets))
	var asked sync.WaitGroup
	for n, target := range targets {
		asked.Go(func() { reports[n].report, reports[n].err = i.inspect(ctx, target) })
	}
	asked.Wait()
	if ctx.Err() != nil || len(targets) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, stalled := range reports[0].report.Stalled {
		if stalled.ID == requestID {
			named[stalled.Address] = true
		}
	}
	for n, target := range targets {
		if reports[n].err != nil || named[target.Address] {
			faults = append(faults, target)
		}
	}
	return faults
}

// watched is an attempt as its watchdog sees it.
type watched struct {
	requestID string
	// targets returns the engines of the attempt's path.
	targets func() []fleet.Target
	// patience is how long nothing may arrive although no engine is found to be at fault.
	patience func() time.Duration
	// reroute tries to go on without the engines at fault.
	reroute func(ctx context.Context, faults []fleet.Target) bool
	// giveUp ends the attempt.
	giveUp func()
}

// watchdog watches the progress of one attempt at a stream.
type watchdog struct {
	inspector *inspector
	attempt   watched

	mu       sync.Mutex
	timer    *time.Timer
	progress time.Time
	faults   []fleet.Target
	stopped  bool
}

// watch reroutes an attempt when engines of its path are found to be at fault. It gives the attempt up when that is not
// possible, or when nothing has arrived for its patience.
func (i *inspector) watch(ctx context.Context, attempt watched) *watchdog {
	w := &watchdog{inspector: i, attempt: attempt, progress: time.Now()}
	w.timer = time.AfterFunc(stallCheck, func() { w.check(ctx) })
	return w
}

// quiet returns how long nothing has arrived; stopped says that the attempt has ended.
func (w *watchdog) quiet() (quiet time.Duration, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.progress), w.stopped
}

func (w *watchdog) check(ctx context.Context) {
	quiet, stopped := w.quiet()
	if stopped {
		return
	}
	if quiet < stallCheck {
		w.rearm(stallCheck - quiet)
		return
	}
	faults := w.inspector.faults(ctx, w.attempt.requestID, w.attempt.targets())
	quiet, stopped = w.quiet()
	switch limit := w.attempt.patience(); {
	case stopped:
		return
	case quiet < stallCheck:
		w.rearm(stallCheck - quiet)
	case len(faults) > 0 && w.attempt.reroute(ctx, faults):
		w.moved()
		w.rearm(stallCheck)
	case len(faults) > 0 || quiet >= limit:
		w.mu.Lock()
		w.faults = faults
		w.mu.Unlock()
		w.attempt.giveUp()
	default:
		// Asks less often the longer the pause, but not later than the limit.
		w.rearm(min(quiet, max(minRecheck, limit-quiet)))
	}
}

func (w *watchdog) rearm(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// moved notes progress.
func (w *watchdog) moved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = time.Now()
}

// stop ends the watch and returns the engines for which the attempt was given up.
func (w *watchdog) stop() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.faults
}
