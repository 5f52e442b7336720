package daemon

import (
	"errors"
	"io"
	"testing"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

func token(id uint32) engine.Token { return engine.Token{ID: id, Text: "x"} }

// Guards against a token that reaches the caller after its attempt was canceled or replaced, and against a resumed
// attempt that does not get the tokens received so far.
func TestTokensOfOlderAttemptsAreDropped(t *testing.T) {
	invariant.FailOnViolation(t)
	s := newSession("r", func() {})
	s.beginAttempt("1")
	if err := s.deliver("1", 0, token(10)); err != nil {
		t.Fatal(err)
	}
	s.endAttempt("1")
	if err := s.deliver("1", 1, token(11)); errkind.Of(err) != errkind.Canceled {
		t.Errorf("a token of a canceled attempt gives %v", err)
	}
	if tokens, wanted := s.beginAttempt("2"); len(tokens) != 1 || tokens[0] != 10 || !wanted {
		t.Errorf("the second attempt gets %v, wanted %t", tokens, wanted)
	}
	if err := s.deliver("1", 1, token(11)); errkind.Of(err) != errkind.Canceled {
		t.Errorf("a token of a replaced attempt gives %v", err)
	}
	last := token(12)
	last.FinishReason = "stop"
	if err := s.deliver("2", 1, last); err != nil {
		t.Fatal(err)
	}
	s.refuse(errkind.New(errkind.DeadlineExceeded, "too late"))
	got, err := s.Next(t.Context())
	if err != nil || len(got) != 2 || got[0].ID != 10 || got[1].ID != 12 {
		t.Errorf("the caller gets %v, %v", got, err)
	}
	if _, err := s.Next(t.Context()); !errors.Is(err, io.EOF) {
		t.Errorf("after the last token: %v", err)
	}
	if _, wanted := s.beginAttempt("3"); wanted {
		t.Error("another attempt is wanted although the response is complete")
	}
}

// Guards against a caller that reads nothing and makes the daemon buffer an unlimited number of tokens.
func TestSlowCallerIsCanceled(t *testing.T) {
	canceled := false
	s := newSession("r", func() { canceled = true })
	s.beginAttempt("1")
	var err error
	for position := 0; err == nil && position <= maxPendingTokens; position++ {
		err = s.deliver("1", position, token(1))
	}
	if errkind.Of(err) != errkind.Canceled || !canceled || len(s.pending) != maxPendingTokens {
		t.Errorf("after %d tokens: %v, canceled %t", len(s.pending), err, canceled)
	}
}

// Guards against invariant checks that report nothing: a skipped position and a not-run error after a token must each
// be reported as a violation.
func TestViolationsAreReported(t *testing.T) {
	var reported []invariant.ID
	defer invariant.SetHook(func(id invariant.ID, _ string) { reported = append(reported, id) })()
	s := newSession("r", func() {})
	s.beginAttempt("1")
	if err := s.deliver("1", 1, token(1)); errkind.Of(err) != errkind.InvariantViolated {
		t.Errorf("a skipped token gives %v", err)
	}
	if err := s.deliver("1", 0, token(1)); err != nil {
		t.Fatal(err)
	}
	s.refuse(errkind.New(errkind.Overloaded, "not run"))
	if len(reported) != 2 || reported[0] != invariant.ResponseIntegrity || reported[1] != invariant.NotRunIsAccurate {
		t.Errorf("reported violations are %v", reported)
	}
}

// Guards against a posting that is started after its caller was told that it is canceled, and against one that is
// canceled although it may be running.
func TestCallerDisconnectDuringPosting(t *testing.T) {
	for _, started := range []bool{false, true} {
		canceled := false
		s := newSession("r", func() { canceled = true })
		s.call = &callerapi.ServiceCall{}
		if started {
			s.beginAttempt("1")
		}
		s.disconnect()
		if _, wanted := s.beginAttempt("2"); wanted || canceled == started {
			t.Errorf("started %t: canceled %t, another attempt wanted %t", started, canceled, wanted)
		}
		s.setResponse(&service.Response{Status: 200})
		s.refuse(errkind.New(errkind.Canceled, "too late"))
		if s.response == nil || s.err != nil {
			t.Errorf("started %t: response %v, error %v", started, s.response, s.err)
		}
	}
}
