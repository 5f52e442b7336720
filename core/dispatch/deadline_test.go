package dispatch

import (
	"testing"
	"time"
)

// TestResponseTimeout guards against responses that leave too late to reach their callers in time, and against margins that
// leave a request no time.
func TestResponseTimeout(t *testing.T) {
	const distance = 10 * time.Millisecond
	for _, limit := range []time.Duration{
		50 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 20 * time.Second,
	} {
		if got := ResponseTimeout(limit); got > limit-2*distance || got < min(limit/2, limit-3*distance) {
			t.Errorf("limit %v: answered within %v", limit, got)
		}
	}
	for _, limit := range []time.Duration{time.Nanosecond, 10 * time.Millisecond, 20 * time.Millisecond} {
		if got := ResponseTimeout(limit); got < 0 || got > limit/2+1 {
			t.Errorf("limit %v: answered within %v", limit, got)
		}
	}
}

// TestConnectTimeout guards against connections to targets that take so long to open that another target has no time left.
func TestConnectTimeout(t *testing.T) {
	for _, left := range []time.Duration{50 * time.Millisecond, 575 * time.Millisecond, 3 * time.Second} {
		if got := ConnectTimeout(left); got > left/3 || got < left/5 {
			t.Errorf("%v left: connection may take %v to open", left, got)
		}
	}
}

// TestTargetTimeout guards against targets that may work until it is too late to forward their responses.
func TestTargetTimeout(t *testing.T) {
	for _, left := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond, 20 * time.Second} {
		got := TargetTimeout(left)
		if got > left-5*time.Millisecond || got < left/2 {
			t.Errorf("%v left: target is given %v", left, got)
		}
	}
}
