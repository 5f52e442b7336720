package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

const (
	// stallCheckDelay is the time without an event after which the reports of all engines of a stream's path are read.
	// A decoding step takes some ten milliseconds on the slowest path.
	stallCheckDelay = 250 * time.Millisecond
	// earlyCheckGaps times the mean gap between events is the time without an event after which the reports of only
	// those engines are read through which no other stream makes progress; minEarlyCheckDelay is the minimum of that
	// time. Callers expect gaps of at most 200 ms, and a reroute takes about 60 ms.
	earlyCheckGaps     = 2.5
	minEarlyCheckDelay = 90 * time.Millisecond
	// aliveWindow is the maximum age of another stream's last event at which the engines of its path count as working.
	aliveWindow = 60 * time.Millisecond
	// minRecheckDelay is the minimum time between two checks.
	minRecheckDelay = 50 * time.Millisecond
	// gapWeight is the weight of a new sample in the moving average of the gaps between events.
	gapWeight = 0.2
)

// watchedAttempt is what a watchdog needs of an attempt. Its functions must be safe for concurrent use.
type watchedAttempt struct {
	requestID string
	// targets returns the engines of the attempt's path; targetsWithoutProgress returns those through which no other
	// stream has recently made progress.
	targets, targetsWithoutProgress func() []fleet.Target
	// stallTimeout returns the maximum time without an event if no engine is found to be faulty and another attempt may
	// follow. replaceable reports whether one may, apart from the retry and the path that it needs.
	stallTimeout func() time.Duration
	replaceable  func() bool
	// begun reports whether the head of the response has been sent to the caller.
	begun func() bool
	// reserveNext takes a retry and a path without the faulty engines for the attempt that is to follow, and reports
	// whether there were both. usable excludes paths with suspected engines.
	reserveNext func(faulty []fleet.Target, usable bool) bool
	// reroute tries to continue the attempt without the faulty engines.
	reroute func(ctx context.Context, faulty []fleet.Target) bool
	// cancel cancels the attempt.
	cancel func()
}

// watchdog monitors the progress of one attempt of a stream.
type watchdog struct {
	inspector *inspector
	attempt   watchedAttempt

	mu    sync.Mutex
	timer *time.Timer
	// lastArrival is the time of the last event, or of the start or the last reroute of the attempt if there was none
	// since; hasArrival reports whether there was one. meanGap is the moving average of the time between events, 0
	// before the second one.
	lastArrival time.Time
	meanGap     time.Duration
	hasArrival  bool
	// faulty holds the engines because of which the attempt was cancelled.
	faulty             []fleet.Target
	cancelled, stopped bool
	// waiting reports whether the attempt is kept although engines of its path are faulty.
	waiting bool
	// pending is the verdict on which the attempt is to be cancelled once there is a next one; nil for none.
	pending *stallVerdict
	// writingSince is when the writing of an event to the caller began; zero if none is being written.
	writingSince time.Time
}

// stallVerdict says which engines were found to be faulty after the time idle without an event.
type stallVerdict struct {
	faulty []fleet.Target
	idle   time.Duration
}

// watch starts a watchdog that reroutes the attempt if engines of its path are found to be faulty. If the attempt cannot
// be rerouted, or no event arrives within its stall timeout, dispatch.Stall decides whether the watchdog cancels it.
func (i *inspector) watch(ctx context.Context, attempt watchedAttempt) *watchdog {
	w := &watchdog{inspector: i, attempt: attempt, lastArrival: time.Now()}
	w.timer = time.AfterFunc(stallCheckDelay, func() { w.check(ctx) })
	return w
}

// stoppedWatchdog returns a watchdog that records events and checks no engines.
func (i *inspector) stoppedWatchdog() *watchdog {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &watchdog{inspector: i, lastArrival: time.Now(), timer: timer, stopped: true}
}

// state returns the time since the last event and the time without an event after which engines are checked. stopped
// reports whether the watchdog was stopped.
func (w *watchdog) state() (idle, checkDelay time.Duration, stopped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	checkDelay = stallCheckDelay
	if w.meanGap > 0 {
		checkDelay = min(stallCheckDelay, max(minEarlyCheckDelay, time.Duration(earlyCheckGaps*float64(w.meanGap))))
	}
	if !w.writingSince.IsZero() {
		return 0, checkDelay, w.stopped
	}
	return time.Since(w.lastArrival), checkDelay, w.stopped
}

// check looks for faulty engines if no event has arrived for some time, acts on what it finds and sets the timer for
// the next check.
func (w *watchdog) check(ctx context.Context) {
	idle, checkDelay, stopped := w.state()
	if stopped {
		return
	}
	if idle < checkDelay {
		w.resetTimer(checkDelay - idle)
		return
	}
	if v := w.pending; v != nil && idle >= v.idle && idle < v.idle+reportTTL {
		w.cancelOrWait(ctx, v.faulty, false)
		return
	}
	w.pending = nil
	faulty, gone := w.findFaulty(ctx, idle)
	idle, checkDelay, stopped = w.state()
	switch {
	case stopped:
		return
	case idle < checkDelay:
		w.resetTimer(checkDelay - idle)
	case len(faulty) > 0 && w.attempt.reroute(ctx, faulty):
		w.resetArrival()
		w.resetTimer(stallCheckDelay)
	default:
		w.cancelOrWait(ctx, faulty, gone)
	}
}

// cancelOrWait cancels the attempt, which could not be rerouted, or waits on.
func (w *watchdog) cancelOrWait(ctx context.Context, faulty []fleet.Target, gone bool) {
	idle, checkDelay, stopped := w.state()
	if stopped {
		return
	}
	if idle < checkDelay { // the engines have gone on while a reroute was tried
		w.resetTimer(checkDelay - idle)
		return
	}
	stall := dispatch.Stall{
		Idle: idle, Limit: w.attempt.stallTimeout(), Silent: len(faulty) > 0, Gone: gone,
		Replaceable: w.attempt.replaceable(), Begun: w.attempt.begun(),
	}
	noNext := false
	if stall.Cancel() && stall.Replaceable {
		// Many streams may have to be retried at the same time.
		stall.Replaceable = w.attempt.reserveNext(faulty, stall.Idle < stall.Limit)
		noNext = !stall.Replaceable
	}
	if stall.Cancel() && !stall.Replaceable && !stall.Gone {
		stall.Silent = w.inspector.stillSilent(ctx, faulty)
		if now, _, _ := w.state(); now < idle { // an event has arrived meanwhile
			w.resetTimer(stallCheckDelay)
			return
		}
	}
	if stall.Cancel() {
		log.Event("stalled attempt cancelled", "request", w.attempt.requestID, "ms", idle.Milliseconds(),
			"silent", stall.Silent, "ended", stall.Gone, "replaceable", stall.Replaceable)
		w.mu.Lock()
		w.faulty, w.cancelled = faulty, true
		w.mu.Unlock()
		w.attempt.cancel()
		return
	}
	if len(faulty) > 0 && !w.waiting {
		w.waiting = true
		log.Event("stream waits for a silent engine", "request", w.attempt.requestID, "target", faulty[0].ID,
			"ms", idle.Milliseconds())
	}
	if noNext {
		w.awaitNext(faulty, idle)
		return
	}
	// Checks less often the longer no event arrives, but not later than the limit.
	recheck := max(minRecheckDelay, idle/2)
	if wait, limited := stall.Wait(); limited {
		recheck = min(recheck, max(minRecheckDelay, wait))
	}
	w.resetTimer(recheck)
}

// awaitNext has the watchdog ask again soon for a retry and a path: callers wait no longer than two seconds.
func (w *watchdog) awaitNext(faulty []fleet.Target, idle time.Duration) {
	if w.pending == nil {
		w.pending = &stallVerdict{faulty: faulty, idle: idle}
	}
	w.resetTimer(waitInterval)
}

// findFaulty returns the engines that are found to be faulty after no event has arrived for the time idle, and whether
// the process of one of them has ended.
func (w *watchdog) findFaulty(ctx context.Context, idle time.Duration) (faulty []fleet.Target, gone bool) {
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

// recordArrival records the arrival of an event.
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

// beginWrite and endWrite enclose the writing of an event. No event is read meanwhile, so this time does not count as one
// without an event: a caller that reads slowly is not taken for an engine that has stalled.
func (w *watchdog) beginWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writingSince = time.Now()
}

func (w *watchdog) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastArrival = w.lastArrival.Add(time.Since(w.writingSince))
	w.writingSince = time.Time{}
}

// resetArrival restarts the time without an event after a reroute. The current gap does not count towards meanGap.
func (w *watchdog) resetArrival() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastArrival, w.hasArrival = time.Now(), false
}

// hasCancelled reports whether the watchdog has cancelled the attempt.
func (w *watchdog) hasCancelled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

// stop stops the watchdog and returns the engines because of which the attempt was cancelled.
func (w *watchdog) stop() []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.faulty
}

// readReports reads the reports of engines concurrently.
func (i *inspector) readReports(ctx context.Context, targets []fleet.Target) []reportResult {
	reports := make([]reportResult, len(targets))
	var wg sync.WaitGroup
	for n, target := range targets {
		wg.Go(func() { reports[n].report, reports[n].err = i.inspect(ctx, target) })
	}
	wg.Wait()
	return reports
}

// unresponsiveTargets returns the engines that return no report, or nil if ctx has ended.
func (i *inspector) unresponsiveTargets(ctx context.Context,
	targets []fleet.Target) (unresponsive []fleet.Target, gone bool) {
	reports := i.readReports(ctx, targets)
	if ctx.Err() != nil {
		return nil, false
	}
	for n, target := range targets {
		if reports[n].noAnswer() {
			unresponsive = append(unresponsive, target)
			gone = gone || i.hasEnded(ctx, target, reports[n])
		}
	}
	return unresponsive, gone
}

// stillSilent reports whether one of the engines gives no report now. The reports that showed it may be from before the end
// of the silence.
func (i *inspector) stillSilent(ctx context.Context, targets []fleet.Target) bool {
	silent := make([]bool, len(targets))
	now := time.Now()
	var wg sync.WaitGroup
	for n, target := range targets {
		wg.Go(func() {
			_, err := i.inspectSince(ctx, target, now)
			silent[n] = reportResult{err: err}.noAnswer()
		})
	}
	wg.Wait()
	return slices.Contains(silent, true)
}

// hasEnded reports whether the process of an engine is known to have ended after its report was read with the given result. An
// engine that does not answer may only be silent, and one that resets or refuses connections only be cut off.
func (i *inspector) hasEnded(ctx context.Context, target fleet.Target, result reportResult) bool {
	i.gateway.confirmIfRefused(ctx, target, result.err)
	return result.isOfLater(target) || i.gateway.targetEnded(target)
}

// faultyTargets returns the engines of a path because of which the request makes no progress: those that return no
// report or have started again, and those that the first engine reports as stalling the request. gone reports whether the
// process of one of them has ended.
func (i *inspector) faultyTargets(ctx context.Context, requestID string,
	targets []fleet.Target) (faulty []fleet.Target, gone bool) {
	reports := i.readReports(ctx, targets)
	if ctx.Err() != nil || len(targets) == 0 {
		return nil, false
	}
	stalledAt := make(map[string]bool)
	for _, stalled := range reports[0].report.Stalled {
		if stalled.ID == requestID {
			stalledAt[stalled.Address] = true
		}
	}
	for n, target := range targets {
		ended := i.hasEnded(ctx, target, reports[n])
		if ended || reports[n].noAnswer() || stalledAt[target.Address] {
			faulty = append(faulty, target)
			gone = gone || ended
		}
	}
	return faulty, gone
}

// targetsWithoutProgress returns the engines of the attempt's path through which no other stream of this instance has
// made progress within aliveWindow. An engine that is lost stalls all streams that pass through it.
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
