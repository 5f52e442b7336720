package errkind

import (
	"errors"
	"testing"
	"time"
)

// Guards against a kind without a row, a refusal that claims too much, and a lost kind after wrapping.
func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, kind := range Kinds() {
		answer := ResponseFor(kind)
		if answer.Status < 400 || answer.Status > 599 {
			t.Errorf("kind %s has status %d, want 400 to 599", kind, answer.Status)
		}
		if answer.Run != NotRun && answer.Run != Unknown {
			t.Errorf("kind %s has run outcome %q", kind, answer.Run)
		}
		err := Wrap(kind, errors.New("cause"), "message")
		if Of(err) != kind {
			t.Errorf("Of(Wrap(%s)) = %s", kind, Of(err))
		}
		if RunOf(err) != answer.Run {
			t.Errorf("RunOf(%s) = %s, want %s", kind, RunOf(err), answer.Run)
		}
	}
}

// Guards against an explicit run outcome or retry time that is dropped.
func TestExplicitPropertiesReplaceTable(t *testing.T) {
	err := WithRetryAfter(WithRun(New(TargetFailed, "connection refused"), NotRun), 3*time.Second)
	if RunOf(err) != NotRun {
		t.Errorf("RunOf = %s, want %s", RunOf(err), NotRun)
	}
	if after, ok := RetryAfterOf(err); !ok || after != 3*time.Second {
		t.Errorf("RetryAfterOf = %v, %v", after, ok)
	}
	if Of(errors.New("plain")) != Internal {
		t.Error("an error without a kind is not Internal")
	}
}
