package benchtest

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/virtualtime"
)

// epoch is the start of virtual time.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock that runs events in order of time; events at the same time run in the order in which they
// were scheduled.
type clock struct {
	scheduler virtualtime.Scheduler
}

func (c *clock) after(delay time.Duration, run func()) { c.scheduler.After(max(delay, 0), run) }

func (c *clock) runUntil(end time.Duration) { c.scheduler.RunUntil(end) }

func (c *clock) now() time.Duration { return c.scheduler.Now() }

func (c *clock) time() time.Time { return epoch.Add(c.now()) }
