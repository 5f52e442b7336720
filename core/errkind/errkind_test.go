package errkind

import (
	"errors"
	"testing"
	"time"
)

// TestEveryKindHasAResponse guards against a kind without a valid response, and against a wrapped error that loses its
// kind or run outcome.
func TestEveryKindHasAResponse(t *testing.T) {
	for _, kind := range Kinds() {
		response := ResponseFor(kind)
		if response.Status < 400 || response.Status > 599 {
			t.Errorf("kind %s has status %d, want 400 to 599", kind, response.Status)
		}
		if response.Run != NotRun && response.Run != Unknown {
			t.Errorf("kind %s has run outcome %q", kind, response.Run)
		}
		err := Wrap(kind, errors.New("cause"), "message")
		if Of(err) != kind {
			t.Errorf("Of(Wrap(%s)) = %s", kind, Of(err))
		}
		if RunOf(err) != response.Run {
			t.Errorf("RunOf(%s) = %s, want %s", kind, RunOf(err), response.Run)
		}
	}
}

// TestExplicitPropertiesOverrideKind guards against an explicit run outcome or retry delay that is dropped, and against
// an error without a kind that is not reported as Internal.
func TestExplicitPropertiesOverrideKind(t *testing.T) {
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
