package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// maxSends bounds the attempts of one request, including those that targets rejected without running them.
	maxSends = 4
	// repeatableShare is the part of the time left that one attempt of a repeatable call may take while another target
	// could still serve it.
	repeatableTimeoutShare = 0.4
)

// answer is a whole answer of a target.
type bufferedResponse struct {
	head ResponseHead
	body []byte
}

// servePlain serves a call whose answer is held back until it is whole.
func (q *request) serveBuffered(ctx context.Context) {
	tried := make(map[entity.TargetID]bool)
	var fallback *bufferedResponse
	for {
		target := q.chooseTarget(tried)
		if target == nil {
			q.endBuffered(fallback, errkind.NoCapacity)
			return
		}
		tried[target.ID] = true
		response, retry := q.attemptTarget(ctx, target)
		if response != nil && !retry {
			q.writeResponse(response)
			return
		}
		if response != nil {
			fallback = response
		}
		if !retry || ctx.Err() != nil || q.sends >= maxSends || !q.takeRetry() {
			q.endBuffered(fallback, errkind.Overloaded)
			return
		}
	}
}

func (q *request) chooseTarget(tried map[entity.TargetID]bool) *fleet.Target {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.gateway.dispatcher.ChooseTarget(boottime.Now(), q.service.ID, tried)
}

// attemptPlain sends the call to a target. It returns the target's answer, if there is one, and whether another attempt
// is allowed and useful.
func (q *request) attemptTarget(ctx context.Context, target *fleet.Target) (response *bufferedResponse, retry bool) {
	started := time.Now()
	servedFor := time.Duration(0)
	defer func() {
		q.gateway.mu.Lock()
		q.gateway.dispatcher.ReleaseTarget(target, servedFor)
		q.gateway.mu.Unlock()
	}()
	q.sends++
	q.attemptedTargets = append(q.attemptedTargets, string(target.ID))
	repeatable := q.route.Repeatable()
	timeout := q.timeLeft()
	if repeatable && q.runs+1 < q.route.MaxAttempts {
		timeout = time.Duration(repeatableTimeoutShare * float64(timeout))
	}
	attempt := &Attempt{Call: q.Call, Target: *target, Account: q.account.ID, Timeout: q.timeLeft(), LastEventID: q.LastEventID}
	// A call that may run only once gets a connection of its own, since a kept one may turn out to be dead.
	x, err := q.gateway.send(ctx, attempt, !repeatable, timeout)
	var body []byte
	if err == nil && !x.head.NotRun {
		body, err = x.readBody(timeout)
	}
	switch {
	case errors.Is(err, errNotSent):
		q.recordAttemptFailure(target.ID, errkind.NoCapacity, err)
		return nil, true
	case err != nil:
		q.runs++
		q.recordAttemptFailure(target.ID, unknownOutcomeKind(err, ctx), err)
		return nil, q.mayRunAgain()
	case x.head.NotRun:
		x.abort()
		q.recordAttemptFailure(target.ID, errkind.Overloaded, errors.New("the target did not run the request"))
		return nil, true
	}
	q.runs++
	if !x.head.FromTarget || x.head.ContentEncoded {
		q.recordAttemptFailure(target.ID, errkind.TargetFailed, errors.New("the answer is not the target's own"))
		return nil, q.mayRunAgain()
	}
	servedFor = time.Since(started)
	response = &bufferedResponse{head: x.head, body: body}
	if x.head.Status >= http.StatusInternalServerError {
		q.lastErr = errors.New("the target failed with status " + strconv.Itoa(x.head.Status))
		return response, q.mayRunAgain()
	}
	q.gateway.recordSuccess(target.ID)
	return response, false
}

// unknownKind returns the kind of an attempt whose outcome is not known.
func unknownOutcomeKind(err error, ctx context.Context) errkind.Kind {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return errkind.DeadlineExceeded
	}
	return errkind.OutcomeUnknown
}

// mayRunAgain says whether another attempt may run the call.
func (q *request) mayRunAgain() bool {
	return q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.timeLeft() > 0
}

// fail notes a failed attempt.
func (q *request) recordAttemptFailure(id entity.TargetID, kind errkind.Kind, err error) {
	q.lastErr, q.lastKind = err, kind
	if q.Request.Context().Err() == nil && kind != errkind.DeadlineExceeded {
		q.gateway.recordFailure(id, q.ID, err.Error())
	}
}

// endPlain ends a call for which no further attempt is made. Only a call that no target can have run is refused as such.
func (q *request) endBuffered(fallback *bufferedResponse, refusal errkind.Kind) {
	switch {
	case fallback != nil:
		q.writeResponse(fallback)
	case q.runs > 0:
		q.endWithError(unknownIfNotRun(q.lastKind))
	default:
		q.endWithError(refusal)
	}
}

// unknownOr returns kind if it leaves open whether the request has run, else OutcomeUnknown.
func unknownIfNotRun(kind errkind.Kind) errkind.Kind {
	if errkind.ResponseFor(kind).Run == errkind.NotRun {
		return errkind.OutcomeUnknown
	}
	return kind
}

// deliver passes a target's whole answer on.
func (q *request) writeResponse(response *bufferedResponse) {
	copyHeader(q.writer.Header(), response.head.Header)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	q.writer.WriteHeader(response.head.Status)
	if _, err := q.writer.Write(response.body); err != nil {
		q.lastErr = err
		q.recordEnd(string(errkind.Canceled), strconv.Itoa(response.head.Status))
		return
	}
	q.recordEnd(resultOK, strconv.Itoa(response.head.Status))
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
