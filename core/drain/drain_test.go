package drain

import (
	"testing"
	"time"
)

// TestTakes guards against requests that a stopping instance takes and cannot finish, and against refusals while the
// balancer still sends requests to it.
func TestTakes(t *testing.T) {
	begunAt := time.Unix(1000, 0)
	stop := Stop{BegunAt: begunAt, EndAt: begunAt.Add(7600 * time.Millisecond)}
	for _, test := range []struct {
		name           string
		after, timeout time.Duration
		want           bool
	}{
		{"at once", 0, time.Second, true},
		{"long stream while the balancer sends", 2 * time.Second, 20 * time.Second, true},
		{"long stream on the last connection", 2700 * time.Millisecond, 20 * time.Second, true},
		{"long stream later", 2750 * time.Millisecond, 20 * time.Second, false},
		{"short call later", 3 * time.Second, 3 * time.Second, true},
		{"ends exactly in time", 4600 * time.Millisecond, 3 * time.Second, true},
		{"ends too late", 4601 * time.Millisecond, 3 * time.Second, false},
	} {
		if got := stop.Takes(begunAt.Add(test.after), test.timeout); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
