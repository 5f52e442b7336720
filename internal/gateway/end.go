package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// resultOK is the result, in logs and metrics, of a request whose complete response was forwarded to the caller,
// whatever the response's status. All other results are error kinds.
const resultOK = "ok"

// endWithError ends the request with an error response written by the gateway. It writes the response even if the
// caller has disconnected: one that has closed only its sending side still reads it.
func (q *request) endWithError(kind errkind.Kind) {
	q.endWithRetryAfter(kind, q.retryAfter(kind))
}

// endWithRetryAfter is endWithError with the delay after which the caller should retry.
func (q *request) endWithRetryAfter(kind errkind.Kind, after time.Duration) {
	q.setWriteTimeout(responseWriteTimeout)
	q.closeWhileStopping()
	q.retryAfterSent = after
	q.gateway.options.Codec.WriteError(q.writer, q.ID, kind, after)
	result := kind
	if q.Request.Context().Err() != nil {
		result = errkind.Canceled
	}
	q.recordEnd(string(result), strconv.Itoa(errkind.ResponseFor(kind).Status))
}

// setWriteTimeout limits the time to write to the caller. It must not end with the request's own time: the response to a
// request that has timed out is written after that.
func (q *request) setWriteTimeout(timeout time.Duration) {
	if err := http.NewResponseController(q.writer).SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		log.Debugf("no write deadline for request %s: %v", q.ID, err)
	}
}

// closeWhileStopping asks the caller to close its connection if the instance stops. It must be called before the head of
// the response is written.
func (q *request) closeWhileStopping() {
	if q.gateway.stop.Load() != nil {
		q.writer.Header().Set("Connection", "close")
	}
}

// recordEnd logs the outcome of the request and passes it to Options.OnRequestEnd.
func (q *request) recordEnd(result, status string) {
	duration := time.Since(q.arrivedAt)
	routeName, kind, version := "", "none", int64(0)
	if q.route != nil {
		routeName, kind, version = q.route.Name, q.route.Kind.String(), q.configuration.Version
	}
	reason := ""
	if q.lastErr != nil {
		reason = q.lastErr.Error()
	}
	held := time.Duration(0)
	if !q.heldSince.IsZero() {
		held = time.Since(q.heldSince)
	}
	var stats streamStats
	if q.stats != nil {
		stats = q.stats()
	}
	ran, counted := q.runCounts()
	fields := []any{
		"request", q.ID, "result", result, "status", status, "route", routeName, "kind", kind,
		"account", q.account.ID, "version", version, "ms", duration.Milliseconds(), "limitMs", q.Timeout.Milliseconds(),
		"heldMs", held.Milliseconds(), "sends", q.sends, "runs", q.runs, "limited", q.limited, "reroutes", stats.reroutes, "events", stats.events,
		"firstMs", stats.firstEvent.Milliseconds(), "pauseMs", stats.longestPause.Milliseconds(),
		"targets", strings.Join(q.attemptedTargets, ";"), "reason", reason,
	}
	if result != resultOK || counted < ran {
		fields = append(fields, "ran", ran, "counted", counted)
	}
	if q.relay != nil {
		fields = append(fields, "relayedBy", q.relay.from)
	}
	if result == resultOK {
		log.Routine("request ended", fields...)
	} else {
		fields = append(fields, "idleMs", stats.idle.Milliseconds(), "gaveUp", string(stats.gaveUp),
			"parts", strings.Join(q.PromptParts, ","))
		if q.refusal != nil {
			fields = append(fields, "rank", q.refusal.rank, "ranks", q.refusal.ranks,
				"retryAfterMs", q.retryAfterSent.Milliseconds(), "shortageMs", q.refusal.shortage.Milliseconds())
		}
		log.Event("request ended", fields...)
	}
	if q.gateway.options.OnRequestEnd != nil && q.relay == nil { // the other instance counts it
		q.gateway.options.OnRequestEnd(kind, result, duration)
	}
}
