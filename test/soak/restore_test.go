package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

const (
	// minOutage and maxOutage bound how long the store is down before it comes back from a copy, minCopyAge and maxCopyAge
	// how old the copy is when the store goes down.
	minOutage  = 200 * time.Millisecond
	maxOutage  = 2 * time.Second
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 9 * time.Second
	// copyInterval is the time between two copies of the store.
	copyInterval = 250 * time.Millisecond
	// rewriteTime is the time after a restore within which each target writes its entry again.
	rewriteTime = 1200 * time.Millisecond
	// removalDelay is how long after a restore the platform removes the entries of targets that have left.
	removalDelay = 3600 * time.Millisecond
	// maxAwayTime is how long a target stays away at most after it has drained.
	maxAwayTime = 6 * time.Second
)

// storeCopy is a copy of the store that was made at a time.
type storeCopy struct {
	at      time.Time
	content edgeplatform.StoreCopy
}

// stateUnknown is the state in the entry of a target after a restore, until it is written again.
const stateUnknown = "unknown"

// writtenEntry is the state of a target's entry in the store since a time.
type writtenEntry struct {
	at    time.Time
	state string
}

// keepCopies makes copies of the store until ctx ends.
func (env *environment) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		env.mu.Lock()
		now := time.Now()
		env.copies = append(env.copies, storeCopy{now, env.store.Copy()})
		if oldest := env.copies[0]; now.Sub(oldest.at) > maxCopyAge+maxOutage {
			env.copies = env.copies[1:]
		}
		env.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// storeRestored takes the store down and brings it back from a copy. The operator writes its last configuration again
// at once.
func (f *faultInjector) storeRestored(random *rand.Rand, _ time.Duration) string {
	if !f.reserve(f.env.store) {
		return skipped
	}
	defer f.release(f.env.store)
	outage := minOutage + time.Duration(random.Int64N(int64(maxOutage-minOutage)))
	age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
	from := time.Now()
	f.env.store.SetFaults(edgeplatform.StoreFaults{Down: true})
	for _, d := range f.env.daemons {
		d.storeProxy.Reset()
	}
	time.Sleep(outage)
	made := f.env.restore(from.Add(-age), random)
	f.env.storeFaults.record(from)
	return fmt.Sprintf("down for %v, back from a copy of %s,", outage, made.Format("05.000"))
}

// restore restores the store from the newest copy made at or before the given time, or else the oldest one, and ends its
// outage. It returns when the copy was made.
func (env *environment) restore(at time.Time, random *rand.Rand) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	chosen := env.copies[0]
	for _, c := range env.copies {
		if !c.at.After(at) {
			chosen = c
		}
	}
	env.store.Restore(chosen.content)
	for _, t := range env.targets {
		t.forgetEntry(random)
	}
	// The copies of the time that is lost cannot be restored any more.
	env.copies = []storeCopy{chosen}
	env.store.SetFaults(edgeplatform.StoreFaults{})
	env.writeConfiguration()
	return chosen.at
}

// forgetEntry records that the store may have an older entry of the target, or one although the target has left, until
// the target writes it or the platform removes it.
func (t *target) forgetEntry(random *rand.Rand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.rewriteAt = now.Add(time.Duration(random.Int64N(int64(rewriteTime - heartbeatInterval))))
	if t.state == "" {
		t.rewriteAt = now.Add(removalDelay)
	}
	t.entries = append(t.entries, writtenEntry{now, stateUnknown})
}

// leave drains the target for the given time, removes its entry and brings it back as a new process.
func (t *target) leave(drainTime, away time.Duration) {
	defer t.faults.record(time.Now())
	t.setState("draining")
	time.Sleep(drainTime)
	t.setState("")
	if away > 0 {
		t.Restart()
		time.Sleep(away)
	}
	t.Restart()
	t.setState("ready")
}

// targetLeaves drains a target, removes its entry and brings it back some time later as a new process.
func (f *faultInjector) targetLeaves(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	away := time.Duration(random.Int64N(int64(maxAwayTime)))
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	t.leave(drainBound+duration, away)
	return fmt.Sprintf("%s, away for %v", t.ID, away)
}
