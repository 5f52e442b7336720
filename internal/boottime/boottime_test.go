package boottime

import (
	"testing"
	"time"
)

// TestNow guards against a clock that does not advance at the rate of the elapsed time.
func TestNow(t *testing.T) {
	before, start := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, elapsed := Now().Sub(before), time.Since(start)
	if passed < 20*time.Millisecond || passed > elapsed+10*time.Millisecond {
		t.Errorf("the clock advanced by %v in %v", passed, elapsed)
	}
}
