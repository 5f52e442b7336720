package router

import (
	"math"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// recordFailure records that an attempt failed or stalled, and makes its targets suspect. If failedTarget is set, only
// that target becomes suspect. If not, targets through which other attempts made progress recently are left out,
// because a stalled chain does not show which stage it waits for. Progress shortly after the stall does not count,
// since progress summaries arrive up to 50 ms late. It returns the number of targets made suspect.
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
		if failedTarget != "" {
			q.atFault = append(q.atFault, t)
		}
		t.consecutiveFailures++
		count++
		t.suspectUntil = r.now.Add(min(suspectTime<<min(t.consecutiveFailures-1, 5), maxSuspectTime))
	}
	return count
}

// adaptiveTimeout is a factor on progress timeouts. It grows when attempts time out although all of their targets make
// progress, which happens when saturated targets respond late, and decays to 1 with a half-life.
type adaptiveTimeout struct {
	extra float64 // factor minus 1, at time last
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

// recordProgress records that an attempt through the target made progress, and ends the suspicion against the target.
func (t *target) recordProgress(now time.Time) {
	t.lastProgress, t.pendingSince = now, now
	t.consecutiveFailures = 0
	t.suspectUntil = time.Time{}
}

// stalled reports whether streams through the target have made no progress for longer than is normal. It becomes true
// before they time out, so that the first stream that is rerouted does not go to another target affected by the
// same fault.
func (t *target) stalled(now time.Time) bool {
	return t.streaming > 0 && now.Sub(t.lastProgress) >= stallTime
}

// hasRecentProgress reports whether an attempt through the target made progress within stallTime.
func (t *target) hasRecentProgress(now time.Time) bool { return now.Sub(t.lastProgress) < stallTime }

// suspect reports whether attempts through the target failed or stalled recently. After suspectUntil, a target that is
// not loaded is probed by one attempt at a time until it makes progress.
func (r *Router) suspect(t *target) bool {
	return t.suspectUntil.After(r.now) || t.consecutiveFailures > 0 && t.pendingPromptTokens > 0 && !r.loaded(t)
}

// loaded reports whether waits at the target vary too much for a short timeout: it has a queue, its steps take much
// longer than the shortest of its class, or requests waited for a free chain recently.
func (r *Router) loaded(t *target) bool {
	shortest := r.stepTimeOfClass(classOf(t)).shortest
	if r.now.Sub(r.saturatedAt) < saturatedTime {
		return true
	}
	return t.estimates.queued > 0 || shortest > 0 && r.stepTime(t) > loadedStepRatio*shortest
}

// overdue reports whether a first token is due from the target and no attempt through it has made progress meanwhile.
func (r *Router) overdue(t *target) bool {
	usual := time.Duration(r.timeToFirstToken.Value(r.now, requestHalfLife, 0) * float64(time.Second))
	return t.pendingPromptTokens > 0 && !r.loaded(t) && r.now.Sub(t.pendingSince) >= stallTime+usual
}
