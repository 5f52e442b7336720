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
	repeatableShare = 0.4
)

// answer is a whole answer of a target.
type answer struct {
	reply Reply
	body  []byte
}

// servePlain serves a call whose answer is held back until it is whole.
func (q *request) servePlain(ctx context.Context) {
	tried := make(map[entity.TargetID]bool)
	var fallback *answer
	for {
		target := q.choosePlain(tried)
		if target == nil {
			q.endPlain(fallback, errkind.NoCapacity)
			return
		}
		tried[target.ID] = true
		got, again := q.attemptPlain(ctx, target)
		if got != nil && !again {
			q.deliver(got)
			return
		}
		if got != nil {
			fallback = got
		}
		if !again || ctx.Err() != nil || q.sends >= maxSends || !q.repeat() {
			q.endPlain(fallback, errkind.Overloaded)
			return
		}
	}
}

func (q *request) choosePlain(tried map[entity.TargetID]bool) *fleet.Target {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.gateway.dispatcher.ChooseTarget(boottime.Now(), q.service.ID, tried)
}

// attemptPlain sends the call to a target. It returns the target's answer, if there is one, and whether another attempt
// is allowed and useful.
func (q *request) attemptPlain(ctx context.Context, target *fleet.Target) (got *answer, again bool) {
	started := time.Now()
	served := time.Duration(0)
	defer func() {
		q.gateway.mu.Lock()
		q.gateway.dispatcher.ReleaseTarget(target, served)
		q.gateway.mu.Unlock()
	}()
	q.sends++
	q.trail = append(q.trail, string(target.ID))
	repeatable := q.route.Repeatable()
	timeout := q.left()
	if repeatable && q.runs+1 < q.route.MaxAttempts {
		timeout = time.Duration(repeatableShare * float64(timeout))
	}
	attempt := &Attempt{Call: q.Call, Target: *target, Account: q.account.ID, Left: q.left(), LastEvent: q.LastEvent}
	// A call that may run only once gets a connection of its own, since a kept one may turn out to be dead.
	x, err := q.gateway.send(ctx, attempt, !repeatable, timeout)
	var body []byte
	if err == nil && !x.reply.NotRun {
		body, err = x.body(timeout)
	}
	switch {
	case errors.Is(err, errNotSent):
		q.fail(target.ID, errkind.NoCapacity, err)
		return nil, true
	case err != nil:
		q.runs++
		q.fail(target.ID, unknownKind(err, ctx), err)
		return nil, q.mayRunAgain()
	case x.reply.NotRun:
		x.abort()
		q.fail(target.ID, errkind.Overloaded, errors.New("the target did not run the request"))
		return nil, true
	}
	q.runs++
	if !x.reply.Genuine || x.reply.Encoded {
		q.fail(target.ID, errkind.TargetFailed, errors.New("the answer is not the target's own"))
		return nil, q.mayRunAgain()
	}
	served = time.Since(started)
	got = &answer{reply: x.reply, body: body}
	if x.reply.Status >= http.StatusInternalServerError {
		q.last = errors.New("the target failed with status " + strconv.Itoa(x.reply.Status))
		return got, q.mayRunAgain()
	}
	q.gateway.succeeded(target.ID)
	return got, false
}

// unknownKind returns the kind of an attempt whose outcome is not known.
func unknownKind(err error, ctx context.Context) errkind.Kind {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return errkind.DeadlineExceeded
	}
	return errkind.OutcomeUnknown
}

// mayRunAgain says whether another attempt may run the call.
func (q *request) mayRunAgain() bool {
	return q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.left() > 0
}

// fail notes a failed attempt.
func (q *request) fail(id entity.TargetID, kind errkind.Kind, err error) {
	q.last, q.lastKind = err, kind
	if q.Request.Context().Err() == nil && kind != errkind.DeadlineExceeded {
		q.gateway.failed(id, q.ID, err.Error())
	}
}

// endPlain ends a call for which no further attempt is made. Only a call that no target can have run is refused as such.
func (q *request) endPlain(fallback *answer, refusal errkind.Kind) {
	switch {
	case fallback != nil:
		q.deliver(fallback)
	case q.runs > 0:
		q.refuse(unknownOr(q.lastKind))
	default:
		q.refuse(refusal)
	}
}

// unknownOr returns kind if it leaves open whether the request has run, else OutcomeUnknown.
func unknownOr(kind errkind.Kind) errkind.Kind {
	if errkind.ResponseFor(kind).Run == errkind.NotRun {
		return errkind.OutcomeUnknown
	}
	return kind
}

// deliver passes a target's whole answer on.
func (q *request) deliver(a *answer) {
	copyHeader(q.writer.Header(), a.reply.Header)
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.writer.WriteHeader(a.reply.Status)
	if _, err := q.writer.Write(a.body); err != nil {
		q.last = err
		q.ended(string(errkind.Canceled), strconv.Itoa(a.reply.Status))
		return
	}
	q.ended(resultOK, strconv.Itoa(a.reply.Status))
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
