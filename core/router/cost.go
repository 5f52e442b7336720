package router

import "github.com/hyssophoist/hyssophoist/core/message"

// expectedCosts makes the cost of a target or link the time that the request is expected to spend there.
type expectedCosts struct {
	r            *Router
	q            *request
	promptTokens float64 // tokens to process before the first new token
	outputTokens float64 // expected number of output tokens still to come
	resumed      bool    // an earlier attempt was started
}

func (r *Router) expectedCosts(q *request) expectedCosts {
	e := expectedCosts{r: r, q: q, promptTokens: float64(q.PromptTokens + q.nextPosition),
		outputTokens: max(1, float64(q.MaxTokens)*r.outputRatio.Value(r.now, requestHalfLife, 0.5)-float64(q.nextPosition)),
		resumed:      q.attemptsStarted > 0}
	if e.resumed {
		e.outputTokens = min(e.outputTokens, maxResumedTokens)
	}
	return e
}

func (e expectedCosts) Node(index int) (float64, bool) {
	t := e.r.byIndex[index]
	if !e.resumed && float64(t.inProgress) >= t.estimates.window.Size() {
		return 0, false
	}
	cost := e.r.stepTime(t) * e.outputTokens
	if rate := t.estimates.tokenRate.Highest(); rate > 0 {
		cost += promptSlowdown * (e.promptTokens*(1-t.cachedFraction(e.q)) + t.pendingPromptTokens) /
			promptTokensPerOutputToken / rate
	}
	if t.estimates.running > 0 {
		cost += float64(t.estimates.queued) / float64(t.estimates.running) *
			e.r.attemptTime.Value(e.r.now, requestHalfLife, 1)
	}
	if e.resumed && !t.hasRecentProgress(e.r.now) {
		cost += noProgressPenalty
	}
	penalties := 0
	if e.resumed {
		penalties = e.q.failuresAt(t)
	}
	if penalties == 0 && (e.r.suspect(t) || t.stalled(e.r.now) || e.r.overdue(t)) {
		penalties = 1
	}
	return cost + suspectPenalty*float64(penalties), true
}

func (e expectedCosts) Link(from, to int) float64 {
	tokenTime, transmissionTime := e.r.transferTime(e.r.byIndex[from], e.r.byIndex[to])
	if e.resumed {
		return e.outputTokens*tokenTime + e.promptTokens*transmissionTime
	}
	return e.outputTokens*tokenTime + promptLinkFactor*e.promptTokens*transmissionTime
}

// chainTime returns the expected time of the request on a chain in seconds. Unlike the cost by which chains are
// compared, it leaves out targets with suspectPenalty or a full window, and the delay that the request causes for
// others.
func (e expectedCosts) chainTime(targets []*target) float64 {
	total := 0.0
	for i, t := range targets {
		if cost, ok := e.Node(t.index); ok && cost < suspectPenalty {
			total += cost
		}
		if i > 0 {
			tokenTime, transmissionTime := e.r.transferTime(targets[i-1], t)
			total += e.outputTokens*tokenTime + e.promptTokens*transmissionTime
		}
	}
	return total
}

// learnCompletion records the output length of a finished completion and the times of its last attempt.
func (r *Router) learnCompletion(q *request, a *attempt, tokens int) {
	if q.Kind != message.Completion || q.MaxTokens <= 0 {
		return
	}
	r.outputRatio.Observe(r.now, float64(tokens)/float64(q.MaxTokens), requestHalfLife)
	if gained := tokens - a.firstProgressPosition; !a.firstProgressAt.IsZero() && gained > 0 {
		r.timeToFirstToken.Observe(r.now, a.firstProgressAt.Sub(a.startedAt).Seconds(), requestHalfLife)
		r.timePerToken.Observe(r.now, r.now.Sub(a.firstProgressAt).Seconds()/float64(gained), requestHalfLife)
	}
	r.attemptTime.Observe(r.now, r.now.Sub(a.startedAt).Seconds(), requestHalfLife)
}
