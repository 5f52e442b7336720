package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

const (
	// ProgressInterval is the minimum time between progress reports of one attempt, except for the last report.
	ProgressInterval = 50 * time.Millisecond

	// maxEventBytes bounds one line of a stream. A trace entry takes about 100 bytes, and a chain has at most a few
	// hundred stages.
	maxEventBytes = 256 << 10
	// initialLineBytes is the initial size of the line buffer, enough for a trace of about 30 entries.
	initialLineBytes = 4 << 10
	// drainTimeout bounds the wait for the end of the response after the last event. After the timeout, the connection
	// is closed instead of reused.
	drainTimeout = time.Second
)

// Token is one token of a response that has passed all checks.
type Token struct {
	ID   uint32
	Text string
	// FinishReason is "stop" or "length" on the last token and empty on all others.
	FinishReason string
}

// StreamCall describes one attempt of a request, which is sent to the first engine of its route.
type StreamCall struct {
	// Body is sent to Body.Route[0]. The first token expected is at position len(Body.Tokens).
	Body engineapi.StreamRequest
	// Layers is the number of layers of the model; the trace of each token must cover [0, Layers).
	Layers int
	// Deliver is called with each token that has passed all checks, in order of position. An error ends the stream and
	// is returned by Stream; it does not count as a failure of a target.
	Deliver func(position int, token Token) error
	// Progress is called with the next position and the hop samples of the latest token: for the first token, then at
	// most once every ProgressInterval, and for the last token.
	Progress func(next int, hops []message.HopSample)
}

// StreamFailure is the error of a failed stream, with the target that caused it.
type StreamFailure struct {
	// Err carries an error kind and a run outcome.
	Err error
	// Target is the target that caused the failure; empty if unknown.
	Target entity.TargetID
}

// Error implements error.
func (f *StreamFailure) Error() string { return f.Err.Error() }

// Unwrap returns f.Err.
func (f *StreamFailure) Unwrap() error { return f.Err }

func failure(target string, err error) *StreamFailure {
	return &StreamFailure{Err: err, Target: entity.TargetID(target)}
}

// Stream sends an attempt and reads its tokens until the last one has been delivered. Each event is checked before its
// token is delivered: the request, the attempt, the position, and the trace, which must contain the targets and layers
// of the route. Stream returns nil, a *StreamFailure, or the error of Deliver.
//
// The connection is reused only after a complete response; canceling ctx closes it.
func (c *Client) Stream(ctx context.Context, call StreamCall) error {
	firstStage := call.Body.Route[0]
	body, err := json.Marshal(call.Body)
	if err != nil {
		return failure("", errkind.WithRun(errkind.Wrap(errkind.Internal, err, "encode stream request"), errkind.NotRun))
	}
	response, err := send(
		ctx, c.streamTransport(firstStage.URL), http.MethodPost, firstStage.URL+engineapi.StreamsPath, body)
	if err != nil {
		return failure(firstStage.Target, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failure(firstStage.Target, streamStartError(response))
	}
	reader := newEventReader(&call, c.now, c.onRejected)
	if err := reader.read(ctx, response.Body); err != nil {
		return err
	}
	return nil
}

// streamStartError returns the error for a stream that did not start. Its kind is TargetRefused or TargetFailed: a 404
// status means that the target lacks the model, not that the caller made an error.
func streamStartError(response *http.Response) error {
	err := responseError(response)
	if kind := errkind.Of(err); kind == errkind.TargetRefused || kind == errkind.TargetFailed {
		return err
	}
	return errkind.WithRun(errkind.Wrap(errkind.TargetFailed, err, "stream did not start"), errkind.RunOf(err))
}

// eventReader reads and checks the events of one attempt.
type eventReader struct {
	call         *StreamCall
	now          func() time.Time
	onRejected   func(reason string)
	nextPosition int
	lastProgress time.Time
	event        event
}

func newEventReader(call *StreamCall, now func() time.Time, onRejected func(string)) *eventReader {
	return &eventReader{call: call, now: now, onRejected: onRejected, nextPosition: len(call.Body.Tokens)}
}

func (r *eventReader) read(ctx context.Context, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxEventBytes)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		finished, err := r.accept(lines.Bytes())
		if err != nil {
			return err
		}
		if finished {
			r.drain(body)
			return nil
		}
	}
	firstTarget := r.call.Body.Route[0].Target
	err := lines.Err()
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return failure("", errkind.New(errkind.DeadlineExceeded, "stream exceeded the request deadline"))
	case ctx.Err() != nil:
		return failure("", errkind.Wrap(errkind.Canceled, ctx.Err(), "stream canceled"))
	case errors.Is(err, bufio.ErrTooLong):
		return r.reject("event_too_long", "event exceeds %d bytes", maxEventBytes)
	case err != nil:
		return failure(firstTarget, errkind.Wrap(errkind.TargetFailed, err, "stream failed at position %d", r.nextPosition))
	}
	return failure(firstTarget, errkind.New(errkind.TargetFailed, "stream ended at position %d without a finish reason",
		r.nextPosition))
}

// accept checks one event and delivers its token. It reports whether that was the last token.
func (r *eventReader) accept(line []byte) (bool, error) {
	e := &r.event
	if err := e.decode(line); err != nil {
		return false, r.reject("malformed", "malformed event at position %d: %v", r.nextPosition, err)
	}
	token := Token{ID: e.Token, Text: stringValue(e.Text), FinishReason: stringValue(e.FinishReason)}
	if err := r.check(e, token.FinishReason); err != nil {
		return false, err
	}
	if err := r.call.Deliver(e.Position, token); err != nil {
		return false, err
	}
	r.nextPosition++
	finished := token.FinishReason != ""
	if now := r.now(); finished || now.Sub(r.lastProgress) >= ProgressInterval {
		r.lastProgress = now
		r.call.Progress(r.nextPosition, e.hopSamples(r.call.Body.Route))
	}
	return finished, nil
}

func (r *eventReader) check(e *event, finishReason string) error {
	wanted := &r.call.Body
	switch {
	case !stringEquals(e.Request, wanted.Request):
		return r.reject("request", "event belongs to request %q, not %q", stringValue(e.Request), wanted.Request)
	case !stringEquals(e.Attempt, wanted.Attempt):
		return r.reject("attempt", "event belongs to attempt %q, not %q", stringValue(e.Attempt), wanted.Attempt)
	case stringValue(e.Error) != "":
		return failure(stringValue(e.FailedTarget),
			errkind.New(errkind.TargetFailed, "engine reported: %s", stringValue(e.Error)))
	case e.Position != r.nextPosition:
		return r.reject("position", "event has position %d, not %d", e.Position, r.nextPosition)
	case e.Position >= wanted.MaxTokens:
		return r.reject("length", "event has position %d, beyond the limit of %d tokens", e.Position, wanted.MaxTokens)
	case finishReason != "" && finishReason != "stop" && finishReason != "length":
		return r.reject("finish_reason", "event has finish reason %q", finishReason)
	}
	if err := e.checkTrace(wanted.Route, r.call.Layers); err != nil {
		return r.reject("trace", "invalid trace at position %d: %v", e.Position, err)
	}
	return nil
}

// reject reports an event that failed a check and returns the failure of the attempt. The response to the caller is not
// affected: the token was not delivered, and another attempt continues at the same position.
func (r *eventReader) reject(reason, format string, args ...any) error {
	r.onRejected(reason)
	return failure(r.call.Body.Route[0].Target, errkind.New(errkind.TargetFailed, format, args...))
}

// drain reads the end of the response, so that the connection can be reused. If body contains further bytes instead,
// the connection is closed, because the body has not been read to its end.
func (r *eventReader) drain(body io.Reader) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var rest [1]byte
		_, _ = body.Read(rest[:]) // after io.EOF the connection can be reused; the response is complete in any case
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
	}
}

// CheckTrace returns an error unless the trace contains exactly the stages of the route and their ranges cover the
// layers [0, layers) exactly once, in order.
func CheckTrace(trace []engineapi.TraceEntry, route []engineapi.Stage, layers int) error {
	next := 0
	for i, entry := range trace {
		if entry.From != next || entry.To <= entry.From {
			return fmt.Errorf("trace entry %d has layers [%d, %d), want a range from %d", i, entry.From, entry.To, next)
		}
		if i >= len(route) || entry.Target != route[i].Target || entry.To != route[i].To {
			return fmt.Errorf("trace entry %d of target %q with layers [%d, %d) is not on the route", i, entry.Target,
				entry.From, entry.To)
		}
		next = entry.To
	}
	if next != layers {
		return fmt.Errorf("trace ends at layer %d of %d", next, layers)
	}
	return nil
}
