package router

import (
	"math"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// blame records that an attempt through chain failed or stalled. Without a named culprit, the targets through which
// others have made progress lately are cleared, because a stalled chain does not show which stage it waits for.
// Progress shortly after the stall clears nothing: summaries arrive up to 50 ms late.
// It returns the number of targets blamed.
func (r *Router) recordFailure(q *request, a *attempt, failedTarget entity.TargetID) int {
	count := 0
	for _, t := range a.chain {
		if failedTarget != "" && t.ID != failedTarget {
			continue
		}
		if failedTarget == "" && r.now.Sub(t.lastProgress) < a.timeout/2 {
			continue
		}
		q.avoid = append(q.avoid, t)
		t.consecutiveFailures++
		count++
		t.suspectUntil = r.now.Add(min(suspectTime<<min(t.consecutiveFailures-1, 5), maxSuspectTime))
	}
	return count
}

// adaptiveTimeout multiplies the progress timeout. It grows when streams are given up although all of their targets work,
// which happens when a saturated fleet serves them late, and returns to 1 with a half-life.
type adaptiveTimeout struct {
	extra float64
	last  time.Time
}

func (t *adaptiveTimeout) factor(now time.Time) float64 {
	if t.extra == 0 {
		return 1
	}
	return 1 + t.extra*math.Exp2(-float64(now.Sub(t.last))/float64(adaptiveTimeoutHalfLife))
}

func (t *adaptiveTimeout) grow(now time.Time) {
	t.extra = min(adaptiveTimeoutLimit, t.factor(now)*adaptiveTimeoutGrowth) - 1
	t.last = now
}

// cleared records that work got through the target.
func (t *target) recordProgress(now time.Time) {
	t.lastProgress, t.pendingSince = now, now
	t.consecutiveFailures = 0
	t.suspectUntil = time.Time{}
}

// quiet says that streams through the target have made no progress for longer than healthy ones do. It comes before
// their timeouts, so that the first stream that is moved does not move to another target behind the same fault.
func (t *target) stalled(now time.Time) bool {
	return t.streaming > 0 && now.Sub(t.lastProgress) >= stallTime
}

// proven says that work got through the target lately.
func (t *target) hasRecentProgress(now time.Time) bool { return now.Sub(t.lastProgress) < stallTime }

// suspect says that attempts through the target failed or stalled lately. After the time set for that, one attempt at
// a time tries a target that is not loaded until it makes progress.
func (r *Router) suspect(t *target) bool {
	return t.suspectUntil.After(r.now) || t.consecutiveFailures > 0 && t.pendingPromptTokens > 0 && !r.loaded(t)
}

// loaded says that waits at the target vary too much for a short timeout: it has a queue, its steps are full, or requests
// waited for a free chain lately.
func (r *Router) loaded(t *target) bool {
	shortest := r.stepTimeOfClass(classOf(t)).shortest
	if r.now.Sub(r.saturatedAt) < saturatedTime {
		return true
	}
	return t.estimates.queued > 0 || shortest > 0 && r.stepTime(t) > loadedStepRatio*shortest
}

// overdue says that a first token is due from the target and that it has delivered nothing meanwhile.
func (r *Router) overdue(t *target) bool {
	usual := time.Duration(r.timeToFirstToken.Value(r.now, requestHalfLife, 0) * float64(time.Second))
	return t.pendingPromptTokens > 0 && !r.loaded(t) && r.now.Sub(t.pendingSince) >= stallTime+usual
}
