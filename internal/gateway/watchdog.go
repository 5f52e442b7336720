package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

const (
	// stallCheck is the pause of a stream after which all engines of its path are asked what is wrong. A step takes some ten
	// milliseconds on the slowest path.
	stallCheck = 250 * time.Millisecond
	// earlyGaps is the number of usual pauses between events after which those engines of the path are asked through which no
	// other stream makes progress; minEarlyCheck bounds that time below. Callers want pauses of at most 200 ms, and a
	// reroute takes some 60.
	earlyGaps     = 2.5
	minEarlyCheck = 90 * time.Millisecond
	// aliveWindow is how recent the progress of another stream must be to show that the engines of its path work.
	aliveWindow = 60 * time.Millisecond
	// minRecheck is the least time between two checks.
	minRecheck = 50 * time.Millisecond
	// gapWeight is the share of a new sample in the usual pause between two events.
	gapWeight = 0.2
)

// watched is an attempt as its watchdog sees it. Its functions are safe for concurrent use.
type watched struct {
	requestID string
	// targets returns the engines of the attempt's path; silent returns those of them through which no other stream has
	// made progress of late.
	targets, silent func() []fleet.Target
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

	mu    sync.Mutex
	timer *time.Timer
	// progress is when something last arrived, gap the usual time between two arrivals; 0 before the second one.
	progress time.Time
	gap      time.Duration
	arrived  bool
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

// state returns how long nothing has arrived and after which pause the engines are asked; stopped says that the attempt has
// ended.
func (w *watchdog) state() (quiet, alarm time.Duration, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	alarm = stallCheck
	if w.gap > 0 {
		alarm = min(stallCheck, max(minEarlyCheck, time.Duration(earlyGaps*float64(w.gap))))
	}
	return time.Since(w.progress), alarm, w.stopped
}

func (w *watchdog) check(ctx context.Context) {
	quiet, alarm, stopped := w.state()
	if stopped {
		return
	}
	if quiet < alarm {
		w.rearm(alarm - quiet)
		return
	}
	faults := w.ask(ctx, quiet)
	quiet, alarm, stopped = w.state()
	switch limit := w.attempt.patience(); {
	case stopped:
		return
	case quiet < alarm:
		w.rearm(alarm - quiet)
	case len(faults) > 0 && w.attempt.reroute(ctx, faults):
		w.restart()
		w.rearm(stallCheck)
	case len(faults) > 0 || quiet >= limit:
		w.mu.Lock()
		w.faults = faults
		w.mu.Unlock()
		w.attempt.giveUp()
	default:
		// Asks less often the longer the pause, but not later than the limit.
		w.rearm(min(max(minRecheck, quiet/2), max(minRecheck, limit-quiet)))
	}
}

// ask returns the engines at fault for a pause.
func (w *watchdog) ask(ctx context.Context, quiet time.Duration) []fleet.Target {
	if quiet < stallCheck {
		return w.inspector.dead(ctx, w.attempt.silent())
	}
	return w.inspector.faults(ctx, w.attempt.requestID, w.attempt.targets())
}

func (w *watchdog) rearm(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// moved notes an arrival.
func (w *watchdog) moved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.arrived {
		gap := now.Sub(w.progress)
		if w.gap > 0 {
			gap = w.gap + time.Duration(gapWeight*float64(gap-w.gap))
		}
		w.gap = gap
	}
	w.progress, w.arrived = now, true
}

// restart begins a new pause, which does not count as usual.
func (w *watchdog) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress, w.arrived = time.Now(), false
}

// stop ends the watch and returns the engines for which the attempt was given up.
func (w *watchdog) stop() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.faults
}

// ask returns the reports of engines.
func (i *inspector) ask(ctx context.Context, targets []fleet.Target) []inspection {
	reports := make([]inspection, len(targets))
	var asked sync.WaitGroup
	for n, target := range targets {
		asked.Go(func() { reports[n].report, reports[n].err = i.inspect(ctx, target) })
	}
	asked.Wait()
	return reports
}

// dead asks engines for reports and returns those that give none.
func (i *inspector) dead(ctx context.Context, targets []fleet.Target) (dead []fleet.Target) {
	reports := i.ask(ctx, targets)
	if ctx.Err() != nil {
		return nil
	}
	for n, target := range targets {
		if reports[n].err != nil {
			dead = append(dead, target)
		}
	}
	return dead
}

// faults asks the engines of a path why the request makes no progress. It returns the engines at fault, none if all answer
// and none is named.
func (i *inspector) faults(ctx context.Context, requestID string, targets []fleet.Target) (faults []fleet.Target) {
	reports := i.ask(ctx, targets)
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

// silent returns the engines of the attempt's path through which no other stream of this instance has made progress within
// aliveWindow. An engine that is lost stops all streams that pass through it.
func (s *stream) silent() (silent []fleet.Target) {
	now := s.gateway.age()
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.path == nil {
		return nil
	}
	alive := make(map[entity.TargetID]bool)
	for other := range s.gateway.streams {
		if other == s || now-time.Duration(other.movedAt.Load()) > aliveWindow {
			continue
		}
		for _, stage := range other.path.Stages {
			alive[stage.Target.ID] = true
		}
	}
	for _, target := range s.path.Targets() {
		if !alive[target.ID] {
			silent = append(silent, target)
		}
	}
	return silent
}
