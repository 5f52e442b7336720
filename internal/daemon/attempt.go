package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// PostingCall is a call that is not idempotent.
type PostingCall struct {
	Account     entity.AccountID
	Service     entity.ServiceID
	Key         string
	RequestHash string
	Attempt     entity.AttemptID
	Target      entity.Target
	// SendTo sends the call once to a target of the service, with a fencing number. Errors have a kind and a run
	// outcome.
	SendTo func(ctx context.Context, target entity.Target, fencing uint64) (*service.Response, error)
}

// PostingRunner runs each key at most once and records outcomes.
type PostingRunner interface {
	// Run runs a call, or returns the recorded response of its key. Errors have a kind and a run outcome.
	Run(ctx context.Context, call PostingCall) (*service.Response, error)
	// Outcome returns the recorded response of a key. The error kind is NotFound for a key that is not known.
	Outcome(ctx context.Context, account entity.AccountID, service entity.ServiceID, key string) (*service.Response, error)
}

// attempt is one attempt in progress.
type attempt struct {
	session *session
	head    entity.Hop
	cancel  context.CancelFunc
}

// start begins an attempt in its own goroutine.
func (l *Loop) start(c message.StartAttempt) {
	s, ok := l.sessions[c.Request]
	if !ok || len(c.Chain) == 0 {
		l.Post(message.AttemptFailed{Request: c.Request, Attempt: c.Attempt, Kind: errkind.Internal, Run: errkind.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	l.running[c.Attempt] = &attempt{session: s, head: c.Chain[0], cancel: cancel}
	tokens, wanted := s.begin(c.Attempt)
	var run func() message.Input
	switch {
	case !wanted && s.isWhole():
		// The last token arrived after the router had given up on its attempt.
		run = func() message.Input {
			return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: len(tokens)}
		}
	case !wanted:
		run = func() message.Input {
			return message.AttemptFailed{Request: c.Request, Attempt: c.Attempt, Kind: errkind.Canceled,
				Run: errkind.NotRun, NextPosition: len(tokens)}
		}
	case s.completion != nil:
		call := l.streamCall(s, c, tokens)
		run = func() message.Input { return l.stream(ctx, s, c, call) }
	default:
		target := l.targets[c.Chain[0].Target]
		run = func() message.Input { return l.callService(ctx, s, c, target) }
	}
	l.attempts.Go(func() {
		defer cancel()
		result := run()
		l.countAttempt(result)
		l.Post(result)
	})
}

func (l *Loop) countAttempt(result message.Input) {
	label := "ok"
	if failed, ok := result.(message.AttemptFailed); ok {
		label = string(failed.Kind)
	}
	l.options.Metrics.Attempts.WithLabelValues(label).Inc()
}

// cancelAttempt stops an attempt. From here on nothing that arrives from it reaches the caller. Canceling closes the
// connection of a stream that has not ended, so that it cannot be used again.
func (l *Loop) cancelAttempt(c message.CancelAttempt) {
	a, ok := l.running[c.Attempt]
	if !ok {
		return
	}
	delete(l.running, c.Attempt)
	a.session.end(c.Attempt)
	a.cancel()
	if a.session.completion == nil {
		if c.ReplaceConnection {
			l.options.Services.CloseIdle()
		}
		return
	}
	if c.ReplaceConnection {
		l.options.Engines.CloseIdle(a.head.URL)
	}
	l.attempts.Go(func() {
		err := l.options.Engines.Cancel(context.Background(), a.head.URL, c.Request, c.Attempt)
		if err != nil {
			log.Debugf("cancel of attempt %s at %s failed: %v", c.Attempt, a.head.Target, err)
		}
	})
}

// streamCall builds the call of an attempt at a completion. It gives the engine the tokens so far and the time left.
// The tokens may be more than the router knew of when it chose the chain.
func (l *Loop) streamCall(s *session, c message.StartAttempt, tokens []uint32) engine.StreamCall {
	body := engineapi.StreamRequest{
		Request:      string(c.Request),
		Attempt:      string(c.Attempt),
		Model:        string(s.completion.Model),
		Prompt:       s.completion.Prompt,
		Tokens:       tokens,
		MaxTokens:    s.completion.MaxTokens,
		Priority:     int(c.Priority),
		TimeoutMS:    max(1, time.Until(c.Deadline).Milliseconds()),
		Route:        make([]engineapi.Stage, len(c.Chain)),
		ImportKVFrom: l.targets[c.ImportKVFrom].URL,
	}
	for i, hop := range c.Chain {
		body.Route[i] = engineapi.Stage{
			Target: string(hop.Target), URL: hop.URL, From: hop.Layers.From, To: hop.Layers.To,
		}
	}
	call := engine.StreamCall{Body: body}
	for _, model := range l.config.Load().Preset.Models {
		if model.ID == s.completion.Model {
			call.Layers, call.Body.Version = model.Layers, model.Version
		}
	}
	call.Deliver = func(position int, token engine.Token) error {
		if err := s.deliver(c.Attempt, position, token); err != nil {
			return err
		}
		l.options.Metrics.Tokens.Inc()
		if position == 0 {
			l.options.Metrics.FirstToken.Observe(time.Since(s.arrived).Seconds())
		}
		return nil
	}
	call.Progress = func(next int, hops []message.HopSample) {
		l.Post(message.AttemptProgressed{Request: c.Request, Attempt: c.Attempt, NextPosition: next, Hops: hops})
	}
	return call
}

// stream runs an attempt at a completion and returns its result for the router.
func (l *Loop) stream(ctx context.Context, s *session, c message.StartAttempt, call engine.StreamCall) message.Input {
	err := l.options.Engines.Stream(ctx, call)
	if err == nil {
		return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: s.position()}
	}
	log.Debugf("attempt %s at %s failed: %v", c.Attempt, c.Chain[0].Target, err)
	failed := attemptFailed(c, err)
	failed.NextPosition = s.position()
	if failed.NextPosition > len(call.Body.Tokens) {
		failed.Run = errkind.Unknown
	}
	return failed
}

// attemptFailed converts an error with a kind to an input of the router.
func attemptFailed(c message.StartAttempt, err error) message.AttemptFailed {
	failed := message.AttemptFailed{
		Request: c.Request, Attempt: c.Attempt, Kind: errkind.Of(err), Run: errkind.RunOf(err),
	}
	var stream *engine.StreamFailure
	if errors.As(err, &stream) {
		failed.Kind, failed.Run = errkind.Of(stream.Err), errkind.RunOf(stream.Err)
		failed.Target = stream.Target
		err = stream.Err
	}
	if after, ok := errkind.RetryAfterOf(err); ok {
		failed.RetryAfter = after
	}
	return failed
}

// callService runs an attempt at a service call and returns its result for the router.
func (l *Loop) callService(ctx context.Context, s *session, c message.StartAttempt, target entity.Target) message.Input {
	sendTo := func(ctx context.Context, target entity.Target, fencing uint64) (*service.Response, error) {
		return l.options.Services.Do(ctx, service.Call{
			URL: target.URL + s.call.Path, Method: s.call.Method, Header: s.call.Header, Body: s.call.Body,
			Idempotent: s.call.Idempotent, FencingNumber: fencing,
		})
	}
	var response *service.Response
	var err error
	if s.call.Idempotent {
		response, err = sendTo(ctx, target, 0)
	} else {
		response, err = l.options.Postings.Run(ctx, PostingCall{
			Account: s.call.Account, Service: s.call.Service, Key: s.call.Key, RequestHash: s.call.RequestHash,
			Attempt: c.Attempt, Target: target, SendTo: sendTo,
		})
	}
	if err != nil {
		log.Debugf("attempt %s at %s failed: %v", c.Attempt, c.Chain[0].Target, err)
		s.failed(err)
		failed := attemptFailed(c, err)
		failed.Target = c.Chain[0].Target
		return failed
	}
	s.respond(response)
	return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: 1}
}
