package router

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

const (
	defaultQueueLength = 256
	// promptTokensPerOutputToken is the number of prompt tokens that take as long as one output token: engines process
	// prompts in large batches.
	promptTokensPerOutputToken = 16

	// promptSlowdown is the factor by which other work slows down the processing of a prompt.
	promptSlowdown = 2
	// promptLinkFactor weights the time that a prompt occupies a link, because tokens of other streams wait for it.
	promptLinkFactor = 10
	candidateSamples = 4
	// maxPreferredNodes bounds the targets with a known prefix that are added to the candidates.
	maxPreferredNodes = 4
	// maxCachedPrefixes bounds the prefix hashes stored for each target.
	maxCachedPrefixes = 4096
	// maxResumedTokens bounds the output tokens that count in the cost of a resumed stream: its next token matters most.
	maxResumedTokens = 20
	// expectedTimeFactor multiplies expected times in timeouts.
	expectedTimeFactor = 4
	// At low load, an attempt without a first token is canceled after about firstTokenTimeoutBase plus
	// firstTokenTimeoutFactor times the usual time to the first token, if one of its targets makes no progress for other
	// attempts either.
	firstTokenTimeoutBase   = 250 * time.Millisecond
	firstTokenTimeoutFactor = 3
	// loadedStepRatio is the step time, relative to the shortest of the target's class, above which a target counts as
	// loaded.
	loadedStepRatio = 2.5
	// saturatedTime is the time for which all targets count as loaded after a request waited for a free chain. It is
	// longer than the time to the first token when all targets are saturated.
	saturatedTime = 5 * time.Second
	// firstTokenOverheadTokens is the part of the time to the first token that does not depend on the prompt, as the
	// number of prompt tokens that take as long to process.
	firstTokenOverheadTokens = 500
	// defaultNormalizedTimeToFirstToken bounds the value of Router.normalizedTimeToFirstToken, in seconds, that is
	// assumed without samples. It gives 140 ms at 200 prompt tokens.
	defaultNormalizedTimeToFirstToken = 0.0002
	// waitLimitFactor is the longest wait for a first token while the targets serve other attempts, as a multiple of the
	// timeout of a loaded target.
	waitLimitFactor    = 4
	requestHalfLife    = 30 * time.Second
	interTokenHalfLife = time.Second

	// throughputHalfLife is longer than a burst, so that a burst does not change the expected wait.
	throughputHalfLife = 5 * time.Second
	minRetryAfter      = 200 * time.Millisecond
	maxRetryAfter      = 30 * time.Second

	// Targets get a deadline that is earlier by deadlineShare of the remaining time, but by maxDeadlineMargin at most.
	deadlineShare     = 0.05
	maxDeadlineMargin = 100 * time.Millisecond

	maxAttempts       = 5
	retryShare        = 0.1
	retryBurst        = 64
	defaultCallTime   = 50 * time.Millisecond
	minHedgeDelay     = 20 * time.Millisecond
	retryBackoff      = 25 * time.Millisecond
	retryBackoffLimit = 2 * time.Second

	// A suspect target gets work only if no other is available, for suspectTime, which doubles with each failure.
	suspectTime    = time.Second
	maxSuspectTime = 30 * time.Second
	suspectPenalty = 1e6
	// Decay, growth and upper limit of adaptiveTimeout.
	adaptiveTimeoutHalfLife = 10 * time.Second
	adaptiveTimeoutGrowth   = 1.1
	adaptiveTimeoutLimit    = 4
	// stallTime is the time without progress after which streams through a target count as stalled. It spans several
	// progress summaries.
	stallTime = 200 * time.Millisecond
	// noProgressPenalty is the extra cost, in seconds, of moving an interrupted stream to a target without recent
	// progress.
	noProgressPenalty = 1
)

// tuning holds the parameters that depend on the preset's objective.
type tuning struct {
	// firstTokenTimeout and progressTimeout are the timeouts for the first token and between later progress summaries,
	// before they are adapted to expected times and load.
	firstTokenTimeout time.Duration
	progressTimeout   time.Duration
	// congestedStepRatio is the step time, relative to the shortest of the target's class, above which a target counts
	// as congested and its window shrinks. A lower value reserves capacity for interrupted streams.
	congestedStepRatio float64
	// hedgeFactor is the duration of a call, relative to the usual one, after which a second attempt is started.
	hedgeFactor float64
}

func tuningFor(objective entity.Objective) tuning {
	if objective == entity.RecoveryObjective {
		return tuning{firstTokenTimeout: 1500 * time.Millisecond, progressTimeout: 250 * time.Millisecond,
			congestedStepRatio: 6, hedgeFactor: 5}
	}
	return tuning{firstTokenTimeout: 3 * time.Second, progressTimeout: 350 * time.Millisecond,
		congestedStepRatio: 8, hedgeFactor: 10}
}

// firstProgressTimeout returns the timeout for the first progress of an attempt, and the limit that applies while its
// targets make progress for others. The expected time to the first token grows with the prompt and the queues; a fixed
// limit would cancel attempts that are only queued.
func (r *Router) firstProgressTimeout(q *request, targets []*target) (timeout, limit time.Duration) {
	if q.Kind == message.ServiceCall {
		timeout = r.services.Get(q.Service).callTimeout()
		return timeout, waitLimitFactor * timeout
	}
	if r.options.FixedTimeouts {
		return r.tuning.firstTokenTimeout, r.tuning.firstTokenTimeout
	}
	e := r.expectedCosts(q)
	e.outputTokens, e.resumed = 1, false
	total := time.Duration(e.chainTime(targets) * float64(time.Second))
	limit = waitLimitFactor * (r.tuning.firstTokenTimeout + expectedTimeFactor*total)
	if slices.ContainsFunc(targets, r.loaded) {
		return limit / waitLimitFactor, limit
	}
	// The highest recent rate of an idle target is far below its capacity, so chainTime is too long at low load. The
	// measured waits of other requests have no such error.
	usual := r.normalizedTimeToFirstToken.Value(r.now, requestHalfLife,
		min(defaultNormalizedTimeToFirstToken, total.Seconds()/(e.promptTokens+firstTokenOverheadTokens))) *
		(e.promptTokens + firstTokenOverheadTokens)
	stepTimes := 0.0
	for _, t := range targets {
		stepTimes += r.stepTime(t)
	}
	timeout = firstTokenTimeoutBase +
		time.Duration((firstTokenTimeoutFactor*usual+stepTimes)*r.adaptiveTimeout.factor(r.now)*float64(time.Second))
	return min(timeout, limit), limit
}

// progressTimeout returns the longest allowed time between two progress summaries of a running stream.
func (r *Router) progressTimeout(a *attempt) time.Duration {
	if r.options.FixedTimeouts {
		return r.tuning.progressTimeout
	}
	gap := a.interTokenTime.Value(r.now, interTokenHalfLife, 0)
	limit := max(r.tuning.progressTimeout, expectedTimeFactor*time.Duration(gap*float64(time.Second)))
	return time.Duration(float64(limit) * r.adaptiveTimeout.factor(r.now))
}

// samples returns the number of candidates to sample at each layer boundary; 0 means all.
func (r *Router) samples() int {
	if r.options.Policy == Learned {
		return candidateSamples
	}
	return 0
}
