package daemon

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// maxPendingTokens is the maximum number of tokens buffered for a caller that reads slowly. At 59 ms per token it is
// about four minutes of output. The loop and the engines never wait for the caller; the request of a caller that falls
// further behind is canceled.
const maxPendingTokens = 4096

// session is the state of one request. It is shared by the caller's HTTP handler, the loop and the attempts.
type session struct {
	id      entity.RequestID
	arrived time.Time
	// Exactly one of completion and call is set, depending on the kind of request.
	completion *callerapi.Completion
	call       *callerapi.ServiceCall
	cancel     func() // asks the router to cancel the request

	mu sync.Mutex
	// attempt is the current attempt, the only one whose tokens are accepted; empty between attempts. Not used for
	// service calls.
	attempt      entity.AttemptID
	started      bool // whether any attempt has been started
	disconnected bool // whether the caller has disconnected or closed the stream
	// tokens holds all token ids of the response so far, from which the next attempt resumes.
	tokens  []uint32
	pending []engine.Token // not yet read by the caller's handler
	// complete reports whether the last token, or the complete response of a service, has arrived.
	complete bool
	response *service.Response
	err      error
	// lastFailure is the error of the service call attempt that failed last. Its message is used for a refusal of the
	// same kind.
	lastFailure error
	taken       []engine.Token  // the slice that Next returned last
	signal      chan struct{}   // has one element if tokens may be pending
	done        <-chan struct{} // closed when err is set or the response is complete
	closeDone   func()
}

func newSession(id entity.RequestID, cancel func()) *session {
	done := make(chan struct{})
	return &session{
		id:        id,
		arrived:   time.Now(),
		cancel:    cancel,
		signal:    make(chan struct{}, 1),
		done:      done,
		closeDone: sync.OnceFunc(func() { close(done) }),
	}
}

// ID implements callerapi.Stream.
func (s *session) ID() entity.RequestID { return s.id }

// Next implements callerapi.Stream.
func (s *session) Next(ctx context.Context) ([]engine.Token, error) {
	for {
		if tokens, err := s.takePending(); len(tokens) > 0 || err != nil {
			return tokens, err
		}
		select {
		case <-s.signal:
		case <-s.done:
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.Canceled, ctx.Err(), "the caller disconnected")
		}
	}
}

// takePending returns the pending tokens. If there are none, it returns io.EOF after a complete response, or the error
// with which the request ended. It swaps the pending slice with the one returned before, so that no memory is allocated
// for each token.
func (s *session) takePending() ([]engine.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		tokens := s.pending
		s.pending, s.taken = s.taken[:0], tokens
		return tokens, nil
	}
	switch {
	case s.complete:
		return nil, io.EOF
	case s.err != nil:
		return nil, s.err
	}
	return nil, nil
}

// Close implements callerapi.Stream.
func (s *session) Close() {
	s.mu.Lock()
	ended := s.complete || s.err != nil
	s.disconnected = true
	s.mu.Unlock()
	if !ended {
		s.cancel()
	}
}

// disconnect handles a disconnect of the caller of a service call: it cancels the call, unless the call is not
// idempotent and has been started. Such a call continues, so that its outcome is recorded.
func (s *session) disconnect() {
	s.mu.Lock()
	s.disconnected = true
	continues := s.started && !s.call.Idempotent
	s.mu.Unlock()
	if !continues {
		s.cancel()
	}
}

// beginAttempt makes attempt the current one and returns the tokens received so far. wanted is false if the response is
// complete or the caller has disconnected; the attempt must not be sent then.
func (s *session) beginAttempt(attempt entity.AttemptID) (tokens []uint32, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = attempt
	wanted = !s.complete && !s.disconnected
	s.started = s.started || wanted
	return s.tokens[:len(s.tokens):len(s.tokens)], wanted
}

// endAttempt makes deliver reject all further tokens of attempt.
func (s *session) endAttempt(attempt entity.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempt == attempt {
		s.attempt = ""
	}
}

// isComplete reports whether the complete response has arrived.
func (s *session) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// nextPosition returns the position of the next token, which is the number of tokens received so far.
func (s *session) nextPosition() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// deliver appends a token of attempt to the response. engine.Client.Stream has checked the token. The error kind is
// Canceled if the attempt is no longer the current one, the request has ended, or the caller reads too slowly. It is
// InvariantViolated if the response is already complete or position is not the next one.
func (s *session) deliver(attempt entity.AttemptID, position int, token engine.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.attempt != attempt:
		return errkind.New(errkind.Canceled, "attempt %s has been canceled or replaced", attempt)
	case s.err != nil:
		return errkind.New(errkind.Canceled, "request %s has ended", s.id)
	case s.complete || position != len(s.tokens):
		invariant.ReportViolation(invariant.ResponseIntegrity,
			"request %s: token at position %d after %d tokens, complete %t", s.id,
			position, len(s.tokens), s.complete)
		return errkind.New(errkind.InvariantViolated, "token at position %d after %d tokens", position, len(s.tokens))
	case len(s.pending) >= maxPendingTokens:
		s.setError(errkind.New(errkind.Canceled, "the caller reads too slowly: %d tokens are pending", len(s.pending)))
		s.cancel()
		return s.err
	}
	s.tokens = append(s.tokens, token.ID)
	s.pending = append(s.pending, token)
	if token.FinishReason != "" {
		s.complete = true
		s.closeDone()
	}
	select {
	case s.signal <- struct{}{}:
	default:
	}
	return nil
}

// setResponse sets the response of a service call. A second response, from a hedged attempt, is discarded.
func (s *session) setResponse(response *service.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.err != nil {
		return
	}
	s.response, s.complete = response, true
	s.closeDone()
}

// recordFailure records the error of a failed attempt for refusalMessage.
func (s *session) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = err
}

// refusalMessage returns the message of a refusal: the message of the last failure if it has the same kind, else
// fallback. Wrapped causes are left out, since they can contain addresses of targets.
func (s *session) refusalMessage(kind errkind.Kind, fallback string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var typed *errorx.Error
	if s.lastFailure != nil && errkind.Of(s.lastFailure) == kind && errors.As(s.lastFailure, &typed) && typed.Message() != "" {
		return typed.Message()
	}
	return fallback
}

// refuse ends the request with an error, unless it has already ended or its response is complete.
func (s *session) refuse(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.err != nil {
		return
	}
	invariant.Check(errkind.RunOf(err) != errkind.NotRun || len(s.tokens) == 0, invariant.NotRunIsAccurate,
		"request %s is reported as not run after %d tokens", s.id, len(s.tokens))
	s.setError(err)
}

func (s *session) setError(err error) {
	s.err = err
	s.closeDone()
}

// resultLabel returns the result of an ended request for metrics: "ok" or the error kind.
func (s *session) resultLabel() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return string(errkind.Of(s.err))
	}
	return "ok"
}
