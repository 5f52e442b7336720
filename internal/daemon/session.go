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

// maxPendingTokens bounds the tokens that wait for a caller who reads slowly. At 59 ms per token it is about four
// minutes of output. The loop and the engines never wait for the caller; a caller further behind is canceled.
const maxPendingTokens = 4096

// session is the state of one request that is shared by the caller's handler, the loop and the attempts.
type session struct {
	id      entity.RequestID
	arrived time.Time
	// completion or call is set, by kind of request.
	completion *callerapi.Completion
	call       *callerapi.ServiceCall
	cancel     func() // reports to the loop that the caller has gone

	mu sync.Mutex
	// attempt is the only attempt whose tokens are accepted; empty between attempts. Unused for service calls.
	attempt      entity.AttemptID
	started      bool // whether any attempt has been started
	disconnected bool // whether the caller has gone
	// tokens are all token ids of the response so far, which a resumed attempt gets.
	tokens  []uint32
	pending []engine.Token // not yet taken by the caller's handler
	// whole says that the last token has arrived, or the whole response of a service.
	complete bool
	response *service.Response
	err      error
	// failure is the error of the latest attempt that failed; it explains a refusal of the same kind.
	lastFailure error
	taken       []engine.Token  // the slice that Next returned last
	signal      chan struct{}   // has one element if there may be something to take
	done        <-chan struct{} // closed when err is set or the response is whole
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
			return nil, errkind.Wrap(errkind.Canceled, ctx.Err(), "the caller has gone")
		}
	}
}

// take swaps the pending slice with the one taken before, so that no memory is allocated for each token.
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

// leave says that the caller of a service call has gone. A call that is not idempotent and has been started goes on, so
// that its outcome gets recorded.
func (s *session) disconnect() {
	s.mu.Lock()
	s.disconnected = true
	continues := s.started && !s.call.Idempotent
	s.mu.Unlock()
	if !continues {
		s.cancel()
	}
}

// begin makes attempt the current one and returns the tokens so far. wanted is false if the response is whole or the
// caller has gone, so that nothing must be sent.
func (s *session) beginAttempt(attempt entity.AttemptID) (tokens []uint32, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = attempt
	wanted = !s.complete && !s.disconnected
	s.started = s.started || wanted
	return s.tokens[:len(s.tokens):len(s.tokens)], wanted
}

// end makes attempt no longer the current one: what still arrives from it is discarded.
func (s *session) endAttempt(attempt entity.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempt == attempt {
		s.attempt = ""
	}
}

// isWhole says whether the whole response has arrived.
func (s *session) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// position returns the number of tokens of the response so far.
func (s *session) nextPosition() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// deliver appends a checked token of attempt to the response. It returns an error of kind Canceled if the attempt is no
// longer the current one or the caller is too slow.
func (s *session) deliver(attempt entity.AttemptID, position int, token engine.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.attempt != attempt:
		return errkind.New(errkind.Canceled, "attempt %s has been replaced", attempt)
	case s.err != nil:
		return errkind.New(errkind.Canceled, "request %s has ended", s.id)
	case s.complete || position != len(s.tokens):
		invariant.Violated(invariant.OwnResponse, "request %s: token at position %d after %d tokens, whole %t", s.id,
			position, len(s.tokens), s.complete)
		return errkind.New(errkind.InvariantViolated, "token at position %d after %d tokens", position, len(s.tokens))
	case len(s.pending) >= maxPendingTokens:
		s.setError(errkind.New(errkind.Canceled, "the caller reads too slowly: %d tokens are waiting", len(s.pending)))
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

// respond sets the whole response of a service call. A second response, of a hedged attempt, is dropped.
func (s *session) setResponse(response *service.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.err != nil {
		return
	}
	s.response, s.complete = response, true
	s.closeDone()
}

// failed records why an attempt failed.
func (s *session) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = err
}

// explain returns the message of a refusal: that of the attempt which caused it, else otherwise. Causes are left out,
// since they can contain addresses of targets.
func (s *session) refusalMessage(kind errkind.Kind, fallback string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var typed *errorx.Error
	if s.lastFailure != nil && errkind.Of(s.lastFailure) == kind && errors.As(s.lastFailure, &typed) && typed.Message() != "" {
		return typed.Message()
	}
	return fallback
}

// refuse ends the request with an error, unless its response is whole.
func (s *session) refuse(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.err != nil {
		return
	}
	invariant.Check(errkind.RunOf(err) != errkind.NotRun || len(s.tokens) == 0, invariant.TrueRefusal,
		"request %s is reported as not run after %d tokens", s.id, len(s.tokens))
	s.setError(err)
}

func (s *session) setError(err error) {
	s.err = err
	s.closeDone()
}

// result returns the outcome of an ended request: "ok" or the error kind.
func (s *session) resultLabel() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return string(errkind.Of(s.err))
	}
	return "ok"
}
