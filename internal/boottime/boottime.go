// Package boottime provides a clock that, unlike the monotonic clock of package time, includes the time for which the
// machine was suspended and that, unlike the wall clock, never jumps.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// epoch is an arbitrary reference time; only differences between readings are meaningful.
var epoch = time.Unix(0, 0)

// Now returns the current reading of the clock. Compare readings only with each other.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has this clock
	}
	return epoch.Add(time.Duration(now.Nano()))
}

const (
	// checkPeriod is the time between two readings of the clock.
	checkPeriod = 200 * time.Millisecond
	// minPause is the shortest excess over checkPeriod that counts as a pause.
	minPause = 300 * time.Millisecond
)

// Pause is a time in which the process did not run.
type Pause struct {
	// Length is how long the process did not run, whether the machine was suspended or the process was stopped.
	Length time.Duration
	// Suspended is the part of Length that the monotonic clock of package time, and so timers, did not count.
	Suspended time.Duration
}

// WatchPauses calls paused after each pause of the process until ctx ends.
func WatchPauses(ctx context.Context, paused func(p Pause)) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	last, lastMonotonic := Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now, monotonic := Now(), time.Now()
			if p := pauseBetween(now.Sub(last), monotonic.Sub(lastMonotonic)); p.Length >= minPause {
				paused(p)
			}
			last, lastMonotonic = now, monotonic
		}
	}
}

// pauseBetween returns the pause between two checks that are elapsed apart, and counted on the monotonic clock.
func pauseBetween(elapsed, counted time.Duration) Pause {
	return Pause{Length: elapsed - checkPeriod, Suspended: max(0, elapsed-counted)}
}
