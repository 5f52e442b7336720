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
	stallCheckDelay = 250 * time.Millisecond
	// earlyGaps is the number of usual pauses between events after which those engines of the path are asked through which no
	// other stream makes progress; minEarlyCheck bounds that time below. Callers want pauses of at most 200 ms, and a
	// reroute takes some 60.
	earlyCheckGaps     = 2.5
	minEarlyCheckDelay = 90 * time.Millisecond
	// aliveWindow is how recent the progress of another stream must be to show that the engines of its path work.
	aliveWindow = 60 * time.Millisecond
	// minRecheck is the least time between two checks.
	minRecheckDelay = 50 * time.Millisecond
	// gapWeight is the share of a new sample in the usual pause between two events.
	gapWeight = 0.2
)

// watched is an attempt as its watchdog sees it. Its functions are safe for concurrent use.
type watchedAttempt struct {
	requestID string
	// targets returns the engines of the attempt's path; silent returns those of them through which no other stream has
	// made progress of late.
	targets, targetsWithoutProgress func() []fleet.Target
	// patience is how long nothing may arrive although no engine is found to be at fault.
	stallTimeout func() time.Duration
	// reroute tries to go on without the engines at fault.
	reroute func(ctx context.Context, faulty []fleet.Target) bool
	// giveUp ends the attempt.
	cancel func()
}

// watchdog watches the progress of one attempt at a stream.
type watchdog struct {
	inspector *inspector
	attempt   watchedAttempt

	mu    sync.Mutex
	timer *time.Timer
	// progress is when something last arrived, gap the usual time between two arrivals; 0 before the second one.
	lastArrival time.Time
	meanGap     time.Duration
	hasArrival  bool
	faulty      []fleet.Target
	stopped     bool
}

// watch reroutes an attempt when engines of its path are found to be at fault. It gives the attempt up when that is not
// possible, or when nothing has arrived for its patience.
func (i *inspector) watch(ctx context.Context, attempt watchedAttempt) *watchdog {
	w := &watchdog{inspector: i, attempt: attempt, lastArrival: time.Now()}
	w.timer = time.AfterFunc(stallCheckDelay, func() { w.check(ctx) })
	return w
}

// state returns how long nothing has arrived and after which pause the engines are asked; stopped says that the attempt has
// ended.
func (w *watchdog) state() (idle, checkDelay time.Duration, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	checkDelay = stallCheckDelay
	if w.meanGap > 0 {
		checkDelay = min(stallCheckDelay, max(minEarlyCheckDelay, time.Duration(earlyCheckGaps*float64(w.meanGap))))
	}
	return time.Since(w.lastArrival), checkDelay, w.stopped
}

func (w *watchdog) check(ctx context.Context) {
	idle, checkDelay, stopped := w.state()
	if stopped {
		return
	}
	if idle < checkDelay {
		w.resetTimer(checkDelay - idle)
		return
	}
	faulty := w.findFaulty(ctx, idle)
	idle, checkDelay, stopped = w.state()
	switch limit := w.attempt.stallTimeout(); {
	case stopped:
		return
	case idle < checkDelay:
		w.resetTimer(checkDelay - idle)
	case len(faulty) > 0 && w.attempt.reroute(ctx, faulty):
		w.resetArrival()
		w.resetTimer(stallCheckDelay)
	case len(faulty) > 0 || idle >= limit:
		w.mu.Lock()
		w.faulty = faulty
		w.mu.Unlock()
		w.attempt.cancel()
	default:
		// Asks less often the longer the pause, but not later than the limit.
		w.resetTimer(min(max(minRecheckDelay, idle/2), max(minRecheckDelay, limit-idle)))
	}
}

// ask returns the engines at fault for a pause.
func (w *watchdog) findFaulty(ctx context.Context, idle time.Duration) []fleet.Target {
	if idle < stallCheckDelay {
		return w.inspector.unresponsiveTargets(ctx, w.attempt.targetsWithoutProgress())
	}
	return w.inspector.faultyTargets(ctx, w.attempt.requestID, w.attempt.targets())
}

func (w *watchdog) resetTimer(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(after)
	}
}

// moved notes an arrival.
func (w *watchdog) recordArrival() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.hasArrival {
		gap := now.Sub(w.lastArrival)
		if w.meanGap > 0 {
			gap = w.meanGap + time.Duration(gapWeight*float64(gap-w.meanGap))
		}
		w.meanGap = gap
	}
	w.lastArrival, w.hasArrival = now, true
}

// restart begins a new pause, which does not count as usual.
func (w *watchdog) resetArrival() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastArrival, w.hasArrival = time.Now(), false
}

// stop ends the watch and returns the engines for which the attempt was given up.
func (w *watchdog) stop() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.faulty
}

// ask returns the reports of engines.
func (i *inspector) readReports(ctx context.Context, targets []fleet.Target) []reportResult {
	reports := make([]reportResult, len(targets))
	var wg sync.WaitGroup
	for n, target := range targets {
		wg.Go(func() { reports[n].report, reports[n].err = i.inspect(ctx, target) })
	}
	wg.Wait()
	return reports
}

// dead asks engines for reports and returns those that give none.
func (i *inspector) unresponsiveTargets(ctx context.Context, targets []fleet.Target) (unresponsive []fleet.Target) {
	reports := i.readReports(ctx, targets)
	if ctx.Err() != nil {
		return nil
	}
	for n, target := range targets {
		if reports[n].err != nil {
			unresponsive = append(unresponsive, target)
		}
	}
	return unresponsive
}

// faults asks the engines of a path why the request makes no progress. It returns the engines at fault, none if all answer
// and none is named.
func (i *inspector) faultyTargets(ctx context.Context, requestID string, targets []fleet.Target) (faulty []fleet.Target) {
	reports := i.readReports(ctx, targets)
	if ctx.Err() != nil || len(targets) == 0 {
		return nil
	}
	stalledAt := make(map[string]bool)
	for _, stalled := range reports[0].report.Stalled {
		if stalled.ID == requestID {
			stalledAt[stalled.Address] = true
		}
	}
	for n, target := range targets {
		if reports[n].err != nil || stalledAt[target.Address] {
			faulty = append(faulty, target)
		}
	}
	return faulty
}

// silent returns the engines of the attempt's path through which no other stream of this instance has made progress within
// aliveWindow. An engine that is lost stops all streams that pass through it.
func (s *stream) targetsWithoutProgress() (targets []fleet.Target) {
	now := s.gateway.age()
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.path == nil {
		return nil
	}
	progressing := make(map[entity.TargetID]bool)
	for other := range s.gateway.streams {
		if other == s || now-time.Duration(other.forwardedAt.Load()) > aliveWindow {
			continue
		}
		for _, stage := range other.path.Stages {
			progressing[stage.Target.ID] = true
		}
	}
	for _, target := range s.path.Targets() {
		if !progressing[target.ID] {
			targets = append(targets, target)
		}
	}
	return targets
}
