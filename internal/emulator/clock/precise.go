package clock

import (
	"context"
	"syscall"
	"time"
)

// preciseTail is the last part of a wait, which SleepPrecisely spends in the nanosleep system call.
const preciseTail = 2 * time.Millisecond

// SleepPrecisely is like c.Sleep, with the timer precision of the operating system. Go runtime timers fired up to 1 ms
// late in an idle process, because the network poller waits in whole milliseconds. Each call blocks an OS thread for up
// to 2 ms.
func SleepPrecisely(ctx context.Context, c Clock, d time.Duration) error {
	factor := 1.0
	switch c := c.(type) {
	case System:
	case *Scaled:
		factor = c.factor
	default:
		return c.Sleep(ctx, d)
	}
	end := time.Now().Add(time.Duration(float64(d) / factor))
	if err := (System{}).Sleep(ctx, time.Until(end)-preciseTail); err != nil {
		return err
	}
	// Signals sent by the Go scheduler interrupt the system call, which then returns up to a millisecond early.
	for rest := time.Until(end); rest > 0; rest = time.Until(end) {
		wait := syscall.NsecToTimespec(rest.Nanoseconds())
		_ = syscall.Nanosleep(&wait, nil)
	}
	return ctx.Err()
}
