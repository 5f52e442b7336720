package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// targetAsksForTime makes a target refuse all requests and ask to get none for the given duration.
func (f *faultInjector) targetAsksForTime(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t.Target) {
		return skipped
	}
	defer f.release(t.Target)
	defer t.faults.record(time.Now())
	t.setMisbehaviour(edgeplatform.TargetFaults{RefuseFor: duration})
	time.Sleep(duration)
	t.setMisbehaviour(edgeplatform.TargetFaults{})
	return t.ID
}

// targetLeavesByResponse makes a target say in its responses that it leaves, while its entry says that it is ready, and
// brings it back as a new process.
func (f *faultInjector) targetLeavesByResponse(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	if !f.reserve(t.Target) {
		return skipped
	}
	defer f.release(t.Target)
	defer t.faults.record(time.Now())
	t.setMisbehaviour(edgeplatform.TargetFaults{Leaving: true})
	time.Sleep(drainBound + duration)
	t.setState("")
	t.Restart()
	t.setMisbehaviour(edgeplatform.TargetFaults{})
	t.setState("ready")
	return fmt.Sprintf("%s, for %v", t.ID, drainBound+duration)
}
