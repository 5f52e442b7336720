package router

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

const (
	defaultQueueLength = 256
	// promptTokensPerToken is the number of prompt tokens that cost as much as one token of the answer: engines
	// process prompts in large batches.
	promptTokensPerOutputToken = 16

	// promptSlowdown is the factor by which other work slows the processing of a prompt down.
	promptSlowdown = 2
	// promptLinkFactor weighs the time that a prompt occupies a link, because tokens of other streams wait for it.
	promptLinkFactor = 10
	candidateSamples = 4
	// preferredHolders is the number of targets with a known prefix that become candidates.
	maxPreferredNodes = 4
	// cacheHashes bounds the prefixes remembered for each target.
	maxCachedPrefixes = 4096
	// resumedAnswer bounds the tokens that count in the choice for an interrupted stream: its next token matters most.
	maxResumedTokens   = 20
	expectedTimeFactor = 4
	// firstFloor and firstFactor times the expected wait give the time after which an attempt without a token is given up
	// if one of its targets delivers nothing to others either.
	firstTokenTimeoutBase   = 250 * time.Millisecond
	firstTokenTimeoutFactor = 3
	// loadedStep is the step time, relative to the least one of its class, from which a target counts as loaded.
	loadedStepRatio = 2.5
	// saturatedTime is the time for which all targets count as loaded after a request waited for a free chain. It is
	// longer than the first-token wait of a saturated fleet.
	saturatedTime = 5 * time.Second
	// firstTokens is the prompt length in tokens whose processing takes as long as the part of the wait for the first
	// token that does not depend on the prompt.
	prefillOverheadTokens = 500
	// defaultFirstWait bounds the wait in seconds, for each token of the prompt and firstTokens, that is expected without
	// samples: 140 ms at 200 prompt tokens.
	defaultPrefillTimePerToken = 0.0002
	waitLimitFactor            = 4
	requestHalfLife            = 30 * time.Second
	interTokenHalfLife         = time.Second

	// paceHalfLife is longer than a burst, so that a burst does not change the expected wait.
	paceHalfLife  = 5 * time.Second
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// Targets get a deadline that is earlier by this share of the time left, and by deadlineMargin at most.
	deadlineShare     = 0.05
	maxDeadlineMargin = 100 * time.Millisecond

	maxAttempts       = 5
	retryShare        = 0.1
	retryBurst        = 64
	defaultCallTime   = 50 * time.Millisecond
	minHedgeDelay     = 20 * time.Millisecond
	retryBackoff      = 25 * time.Millisecond
	retryBackoffLimit = 2 * time.Second

	// A suspect target gets work only if there is nothing else, for a time that doubles with each failure.
	suspectTime    = time.Second
	maxSuspectTime = 30 * time.Second
	suspectPenalty = 1e6
	// Growth, upper limit and decay of adaptiveTimeout.
	adaptiveTimeoutHalfLife = 10 * time.Second
	adaptiveTimeoutGrowth   = 1.1
	adaptiveTimeoutLimit    = 4
	// quietTime is the time without progress after which streams through a target look stalled: several summaries.
	stallTime = 200 * time.Millisecond
	// unprovenPenalty is the cost, in seconds, of moving an interrupted stream to a target without recent progress.
	noProgressPenalty = 1
)

// tuning holds what the preset's objective adjusts.
type tuning struct {
	// firstTimeout bounds the wait for the first token, nextTimeout that between later summaries.
	firstTokenTimeout time.Duration
	progressTimeout   time.Duration
	// stepCongestion is the step time, relative to the least one of the target's class, above which a target gets no
	// more work. A lower value keeps capacity in reserve for interrupted streams.
	congestedStepRatio float64
	// hedgeFactor is the time of a call, relative to the usual one, after which a second attempt is started.
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

// firstTimeout returns the time that an attempt at q may take to its first progress, and the limit for an attempt whose
// targets deliver to others meanwhile. The expected time to the first token grows with the prompt and the queues; a
// fixed limit would give up attempts that only wait.
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
	// The highest recent rate of an idle target is far below what it can do, so chainTime is too long at low load. The
	// waits of other requests are not.
	usual := r.prefillTimePerToken.Value(r.now, requestHalfLife, min(defaultPrefillTimePerToken, total.Seconds()/(e.promptTokens+prefillOverheadTokens))) * (e.promptTokens + prefillOverheadTokens)
	stepTimes := 0.0
	for _, t := range targets {
		stepTimes += r.stepTime(t)
	}
	timeout = firstTokenTimeoutBase + time.Duration((firstTokenTimeoutFactor*usual+stepTimes)*r.adaptiveTimeout.factor(r.now)*float64(time.Second))
	return min(timeout, limit), limit
}

// nextTimeout returns the longest time between two progress summaries of a running stream.
func (r *Router) progressTimeout(a *attempt) time.Duration {
	if r.options.FixedTimeouts {
		return r.tuning.progressTimeout
	}
	gap := a.interTokenTime.Value(r.now, interTokenHalfLife, 0)
	limit := max(r.tuning.progressTimeout, expectedTimeFactor*time.Duration(gap*float64(time.Second)))
	return time.Duration(float64(limit) * r.adaptiveTimeout.factor(r.now))
}

// samples returns the number of sampled candidates at each layer boundary; 0 means all.
func (r *Router) samples() int {
	if r.options.Policy == Learned {
		return candidateSamples
	}
	return 0
}
