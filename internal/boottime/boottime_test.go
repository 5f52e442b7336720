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

// TestStoppedProcessIsNotSuspended guards against deadlines that are moved earlier by a time that timers have counted.
func TestStoppedProcessIsNotSuspended(t *testing.T) {
	const stopped = 2 * time.Second
	if p := pauseBetween(checkPeriod+stopped, checkPeriod+stopped); p.Length != stopped || p.Suspended != 0 {
		t.Errorf("stopped process: %+v", p)
	}
	if p := pauseBetween(checkPeriod+stopped, checkPeriod); p.Length != stopped || p.Suspended != stopped {
		t.Errorf("suspended machine: %+v", p)
	}
}
