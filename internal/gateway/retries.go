package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/retrydelay"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// retryLimitShare is the fraction of the platform's retry limit that the instances use. The rest is a margin, since
	// each instance knows the other instances and the time only approximately.
	retryLimitShare = 0.75
	// assumedInstances is the number of instances assumed to share the retry limit while this one knows no others. It
	// is high because after a power failure all instances start at once.
	assumedInstances = 100
	// startupRetryAfter is the base retry delay given to callers while the instance has no configuration yet.
	startupRetryAfter = 500 * time.Millisecond
	// capacityRetryAfter is the base retry delay given to callers while no targets can serve a request. Other engines
	// load the layers of a lost engine in about a second.
	capacityRetryAfter = retrydelay.MinDelay
	// stoppingRetryAfter is the base retry delay given to callers by an instance that stops: another one can serve them
	// at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// retryAfterJitter is the upper bound of the random part of a retry delay, as a fraction of its base.
	retryAfterJitter = 0.5
)

// takeRetry takes one retry from this instance's share of the retry limit, unless one is reserved, and reports whether
// one was left.
func (q *request) takeRetry() bool {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	if q.retryReserved {
		q.retryReserved = false
		return true
	}
	window, now, instances := q.gateway.retryState(q.service.ID)
	q.limited = !window.TryAcquire(now, instances)
	return !q.limited
}

// keepRetry reserves the retry of an attempt that was not sent for the next one: only what arrives at a target counts
// towards the limit.
func (q *request) keepRetry() {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.retryReserved = true
}

// retryState returns the retry window of a service, and the time and number of instances to pass to it. The caller
// holds g.mu.
func (g *Gateway) retryState(service entity.ServiceID) (window *retry.Window, now time.Duration, instances int) {
	instances = g.peakInstances
	if instances <= 1 {
		instances = assumedInstances
	}
	return g.retryWindow(service), boottime.Now().Sub(g.retryEpoch), instances
}

// retryWindow returns the retry window of a service and creates it if needed. The caller holds g.mu.
func (g *Gateway) retryWindow(service entity.ServiceID) *retry.Window {
	window := g.retryWindows[service]
	if window == nil {
		window = retry.NewWindow(g.options.RetryLimit)
		g.retryWindows[service] = window
	}
	return window
}

// retryAfter returns the delay after which a caller should retry, or 0 for errors that it should not retry. The jitter
// prevents refused callers from retrying at the same time.
func retryAfter(kind errkind.Kind) time.Duration {
	return time.Duration(float64(retryAfterBase(kind)) * (1 + retryAfterJitter*rand.Float64()))
}

// retryAfterBase is retryAfter without the jitter.
func retryAfterBase(kind errkind.Kind) time.Duration {
	response := errkind.ResponseFor(kind)
	if !response.Retry || response.Run != errkind.NotRun {
		return 0
	}
	after := capacityRetryAfter
	switch kind {
	case errkind.NoConfiguration:
		after = startupRetryAfter
	case errkind.Stopping:
		after = stoppingRetryAfter
	}
	return after
}
