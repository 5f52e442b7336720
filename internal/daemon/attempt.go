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

// PostingCall is a service call that is not idempotent.
type PostingCall struct {
	Account     entity.AccountID
	Service     entity.ServiceID
	Key         string
	RequestHash string
	Attempt     entity.AttemptID
	Target      entity.Target
	// SendTo sends the call once to a target of the service, with a fencing number. Errors have a kind and a run
	// outcome (errkind.RunOutcome).
	SendTo func(ctx context.Context, target entity.Target, fencing uint64) (*service.Response, error)
}

// PostingRunner runs the call of each idempotency key at most once and records its outcome.
type PostingRunner interface {
	// Run runs a call, or returns the recorded response for its key. Errors have a kind and a run outcome.
	Run(ctx context.Context, call PostingCall) (*service.Response, error)
	// Outcome returns the recorded response for a key. The error kind is NotFound if the key is unknown.
	Outcome(ctx context.Context, account entity.AccountID, service entity.ServiceID, key string) (*service.Response, error)
}

// attempt is the state of an attempt in progress to run a request on a chain of targets.
type attempt struct {
	session *session
	head    entity.Hop // the first hop of the chain
	cancel  context.CancelFunc
}

// startAttempt runs an attempt in its own goroutine, which posts the result to the router.
func (l *Loop) startAttempt(c message.StartAttempt) {
	s, ok := l.sessions[c.Request]
	if !ok || len(c.Chain) == 0 {
		l.Post(message.AttemptFailed{Request: c.Request, Attempt: c.Attempt, Kind: errkind.Internal, Run: errkind.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	l.runningAttempts[c.Attempt] = &attempt{session: s, head: c.Chain[0], cancel: cancel}
	tokens, wanted := s.beginAttempt(c.Attempt)
	var run func() message.Input
	switch {
	case !wanted && s.isComplete():
		// The last token arrived after the router had decided to replace the attempt that sent it.
		run = func() message.Input {
			return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: len(tokens)}
		}
	case !wanted:
		run = func() message.Input {
			return message.AttemptFailed{Request: c.Request, Attempt: c.Attempt, Kind: errkind.Canceled,
				Run: errkind.NotRun, NextPosition: len(tokens)}
		}
	case s.completion != nil:
		call := l.newStreamCall(s, c, tokens)
		run = func() message.Input { return l.runStream(ctx, s, c, call) }
	default:
		target := l.targets[c.Chain[0].Target]
		run = func() message.Input { return l.runServiceCall(ctx, s, c, target) }
	}
	l.attemptWG.Go(func() {
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

// cancelAttempt cancels an attempt. Data that still arrives from it is no longer forwarded to the caller. Canceling
// closes the connection of a stream that has not ended, so that it cannot be reused.
func (l *Loop) cancelAttempt(c message.CancelAttempt) {
	a, ok := l.runningAttempts[c.Attempt]
	if !ok {
		return
	}
	delete(l.runningAttempts, c.Attempt)
	a.session.endAttempt(c.Attempt)
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
	l.attemptWG.Go(func() {
		err := l.options.Engines.Cancel(context.Background(), a.head.URL, c.Request, c.Attempt)
		if err != nil {
			log.Debugf("failed to cancel attempt %s at %s: %v", c.Attempt, a.head.Target, err)
		}
	})
}

// newStreamCall returns the engine call for an attempt at a completion. The call contains the tokens received so far
// and the time left until the deadline. There may be more tokens than the router knew of when it chose the chain.
func (l *Loop) newStreamCall(s *session, c message.StartAttempt, tokens []uint32) engine.StreamCall {
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
			l.options.Metrics.FirstTokenSeconds.Observe(time.Since(s.arrived).Seconds())
		}
		return nil
	}
	call.Progress = func(next int, hops []message.HopSample) {
		l.Post(message.AttemptProgressed{Request: c.Request, Attempt: c.Attempt, NextPosition: next, Hops: hops})
	}
	return call
}

// runStream runs an attempt at a completion and returns its result as an input of the router.
func (l *Loop) runStream(ctx context.Context, s *session, c message.StartAttempt, call engine.StreamCall) message.Input {
	err := l.options.Engines.Stream(ctx, call)
	if err == nil {
		return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: s.nextPosition()}
	}
	log.Debugf("attempt %s at %s failed: %v", c.Attempt, c.Chain[0].Target, err)
	failed := attemptFailed(c, err)
	failed.NextPosition = s.nextPosition()
	if failed.NextPosition > len(call.Body.Tokens) {
		failed.Run = errkind.Unknown
	}
	return failed
}

// attemptFailed converts an error with a kind to an input of the router. For a *engine.StreamFailure, the input also
// names the target at fault.
func attemptFailed(c message.StartAttempt, err error) message.AttemptFailed {
	failed := message.AttemptFailed{
		Request: c.Request, Attempt: c.Attempt, Kind: errkind.Of(err), Run: errkind.RunOf(err),
	}
	var streamFailure *engine.StreamFailure
	if errors.As(err, &streamFailure) {
		failed.Kind, failed.Run = errkind.Of(streamFailure.Err), errkind.RunOf(streamFailure.Err)
		failed.Target = streamFailure.Target
		err = streamFailure.Err
	}
	if delay, ok := errkind.RetryAfterOf(err); ok {
		failed.RetryAfter = delay
	}
	return failed
}

// runServiceCall runs an attempt at a service call and returns its result as an input of the router.
func (l *Loop) runServiceCall(ctx context.Context, s *session, c message.StartAttempt, target entity.Target) message.Input {
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
		s.recordFailure(err)
		failed := attemptFailed(c, err)
		failed.Target = c.Chain[0].Target
		return failed
	}
	s.setResponse(response)
	return message.AttemptFinished{Request: c.Request, Attempt: c.Attempt, NextPosition: 1}
}
