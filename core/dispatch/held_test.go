package dispatch

import (
	"testing"
	"time"
)

// TestHeldResponse guards against failed responses that are held until their callers have no time for a retry, and against
// ones that are forwarded although a target that is silent for a second would have served the request in time.
func TestHeldResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		held HeldResponse
		want bool
	}{
		{"600 ms, just complete", HeldResponse{Left: 560 * time.Millisecond}, false},
		{"600 ms, target takes longer than usual", HeldResponse{Left: 560 * time.Millisecond, Held: 150 * time.Millisecond}, false},
		{"600 ms, half of the time has passed", HeldResponse{Left: 560 * time.Millisecond, Held: 300 * time.Millisecond}, true},
		{"600 ms, second response after a silence", HeldResponse{Left: 340 * time.Millisecond, Held: 200 * time.Millisecond}, true},
		{"3 s, target silent for a second", HeldResponse{Left: 2900 * time.Millisecond, Held: 1200 * time.Millisecond}, false},
		{"3 s, half of the time has passed", HeldResponse{Left: 2900 * time.Millisecond, Held: 1500 * time.Millisecond}, true},
		{"no time left", HeldResponse{}, true},
	} {
		if got := test.held.Forward(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if wait := test.held.Wait(); wait > test.held.Left/2 || (wait <= 0) != test.want {
			t.Errorf("%s: waits for %v", test.name, wait)
		}
	}
}
