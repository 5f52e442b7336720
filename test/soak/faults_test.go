package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

const (
	// minSilence and maxSilence bound how long a target is silent.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
)

// faultInjector injects faults that overlap.
type faultInjector struct {
	env     *environment
	callers *callers
	random  *rand.Rand
	// kinds are the faults that step chooses from.
	kinds   []faultKind
	running sync.WaitGroup

	mu        sync.Mutex
	completed []string
	// reserved holds the daemons, targets, emulated servers of targets, silences of targets and the store that a fault has
	// reserved. A second fault that needs the same one is skipped. Faults of connections and changes of the configuration
	// reserve nothing.
	reserved map[any]bool
}

// faultKind is a kind of fault.
type faultKind struct {
	name   string
	inject func(f *faultInjector, random *rand.Rand, duration time.Duration) string
}

// faultKinds are the faults of TestRandomisedSoak. The duration of each fault is random. New ones are appended, so that
// the seeds of regressions keep their faults.
var faultKinds = []faultKind{
	{"store down", (*faultInjector).storeDown},
	{"store loses responses", (*faultInjector).storeLosesResponses},
	{"store drops history", (*faultInjector).storeDropsHistory},
	{"store connections blocked", (*faultInjector).storeBlocked},
	{"store connections silent", (*faultInjector).storeSilent},
	{"target connections blocked or slow", (*faultInjector).targetBlockedOrSlow},
	{"target connections reset or silent", (*faultInjector).targetResetOrSilent},
	{"target misbehaves", (*faultInjector).targetMisbehaves},
	{"target crashes", (*faultInjector).targetCrashes},
	{"target drains", (*faultInjector).targetDrains},
	{"daemon paused", (*faultInjector).daemonPaused},
	{"daemon killed", (*faultInjector).daemonKilled},
	{"daemon stopped", (*faultInjector).daemonStopped},
	{"daemon hangup", (*faultInjector).daemonHangup},
	{"configuration", (*faultInjector).changeConfiguration},
	{"target silent", (*faultInjector).targetSilent},
	{"daemons stopped in series", (*faultInjector).daemonsStoppedInSeries},
	{"store restored", (*faultInjector).storeRestored},
	{"target leaves", (*faultInjector).targetLeaves},
	{"target asks for time", (*faultInjector).targetAsksForTime},
	{"target leaves by response", (*faultInjector).targetLeavesByResponse},
	groupsSilentKind,
	copiesKind,
	entryKinds[0],
	entryKinds[1],
}

// step starts a random fault and returns at once.
func (f *faultInjector) step() {
	kind := f.kinds[f.random.IntN(len(f.kinds))]
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	duration := time.Duration(200+random.IntN(2500)) * time.Millisecond
	f.running.Go(func() {
		detail := kind.inject(f, random, duration)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.completed = append(f.completed, fmt.Sprintf("%s %s: %s for %v", time.Now().Format("05.000"), kind.name, detail, duration))
	})
}

// reserve reserves a component. It reports false if another fault has reserved it.
func (f *faultInjector) reserve(component any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reserved[component] {
		return false
	}
	f.reserved[component] = true
	return true
}

func (f *faultInjector) release(component any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, component)
}

const skipped = "skipped, another fault has reserved the component"

// injectStoreFaults injects faults of the store for the given duration.
func (f *faultInjector) injectStoreFaults(fault edgeplatform.StoreFaults, duration time.Duration) string {
	if !f.reserve(f.env.store) {
		return skipped
	}
	defer f.release(f.env.store)
	if fault.Down {
		defer f.env.storeFaults.record(time.Now())
	}
	f.env.store.SetFaults(fault)
	time.Sleep(duration)
	f.env.store.SetFaults(edgeplatform.StoreFaults{})
	return "all daemons"
}

func (f *faultInjector) storeDown(_ *rand.Rand, duration time.Duration) string {
	return f.injectStoreFaults(edgeplatform.StoreFaults{Down: true}, duration)
}

func (f *faultInjector) storeLosesResponses(_ *rand.Rand, duration time.Duration) string {
	return f.injectStoreFaults(edgeplatform.StoreFaults{LoseWriteResponses: true}, duration)
}

func (f *faultInjector) storeDropsHistory(_ *rand.Rand, _ time.Duration) string {
	return f.injectStoreFaults(edgeplatform.StoreFaults{HistoryFrom: 1 << 40}, 100*time.Millisecond)
}

func (f *faultInjector) storeBlocked(random *rand.Rand, duration time.Duration) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	direction := faultproxy.Direction(random.IntN(2))
	defer d.storeFaults.record(time.Now())
	d.storeProxy.SetRules(direction, faultproxy.Rules{Blocked: true})
	time.Sleep(duration)
	d.storeProxy.SetRules(direction, faultproxy.Rules{})
	return fmt.Sprintf("%s, direction %d", d.name, direction)
}

func (f *faultInjector) storeSilent(random *rand.Rand, _ time.Duration) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	defer d.storeFaults.record(time.Now())
	d.storeProxy.Blackhole()
	return d.name
}

func (f *faultInjector) randomTarget(random *rand.Rand) *target {
	return f.env.targets[random.IntN(len(f.env.targets))]
}

func (f *faultInjector) targetBlockedOrSlow(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	defer t.faults.record(time.Now())
	rules := faultproxy.Rules{Blocked: true}
	if random.IntN(3) == 0 {
		rules = faultproxy.Rules{Delay: 100 * time.Millisecond, Jitter: 200 * time.Millisecond}
	}
	defer t.delays.record(time.Now())
	direction := faultproxy.Direction(random.IntN(2))
	t.proxy.SetRules(direction, rules)
	time.Sleep(duration)
	t.proxy.SetRules(direction, faultproxy.Rules{})
	return fmt.Sprintf("%s, direction %d, %+v", t.ID, direction, rules)
}

func (f *faultInjector) targetResetOrSilent(random *rand.Rand, _ time.Duration) string {
	t := f.randomTarget(random)
	defer t.faults.record(time.Now())
	if random.IntN(2) == 0 {
		t.proxy.Blackhole()
		return t.ID + " silenced"
	}
	t.proxy.Reset()
	return t.ID
}

func (f *faultInjector) targetMisbehaves(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	variants := []edgeplatform.TargetFaults{
		{Hang: true}, {BreakAfter: 4}, {BreakAfter: 4, BreakMidEvent: true}, {StallAfter: 3}, {Refuse: true}, {LoseResponses: true},
		{Truncate: true}, {OmitStamp: true}, {FailStatus: 500}, {StallAfter: 3, WaitFor: f.randomTarget(random).Address()},
	}
	variant := variants[random.IntN(len(variants))]
	if !f.reserve(t.Target) {
		return skipped
	}
	defer f.release(t.Target)
	defer t.faults.record(time.Now())
	t.setMisbehaviour(variant)
	time.Sleep(duration)
	t.setMisbehaviour(edgeplatform.TargetFaults{})
	return fmt.Sprintf("%s, %+v", t.ID, variant)
}

// setMisbehaviour replaces the faults of a target except for its silence and its late copies.
func (t *target) setMisbehaviour(faults edgeplatform.TargetFaults) {
	t.UpdateFaults(func(current *edgeplatform.TargetFaults) {
		faults.SilentFor, faults.SilentAfter, faults.LateCopies = current.SilentFor, current.SilentAfter, current.LateCopies
		*current = faults
	})
}

// targetSilent makes a target fall silent once, at its next request or after some events of a stream, if one comes in the
// given duration.
func (f *faultInjector) targetSilent(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	silence := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
	after := 0
	if t.Card != "" {
		after = random.IntN(streamEvents)
	}
	if !f.reserve(silenceOf{t}) {
		return skipped
	}
	defer f.release(silenceOf{t})
	defer t.recordSilence(time.Now())
	t.UpdateFaults(func(faults *edgeplatform.TargetFaults) { faults.SilentFor, faults.SilentAfter = silence, after })
	time.Sleep(duration)
	t.UpdateFaults(func(faults *edgeplatform.TargetFaults) { faults.SilentFor = 0 })
	time.Sleep(silence)
	return fmt.Sprintf("%s, silent for %v after %d events", t.ID, silence, after)
}

// targetCrashes restarts a target without its state. Its entry expires if the target is unreachable for more than
// entryTTL.
func (f *faultInjector) targetCrashes(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	defer t.faults.record(time.Now())
	t.proxy.RefuseNew(true)
	t.Restart()
	time.Sleep(min(duration, entryTTL))
	if duration > entryTTL {
		t.setState("")
		time.Sleep(duration - entryTTL)
	}
	t.proxy.RefuseNew(false)
	t.setState("ready")
	return t.ID
}

// targetDrains drains a target, removes its entry and brings it back as a new process.
func (f *faultInjector) targetDrains(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	t.leave(drainBound+duration, 0)
	return t.ID
}

func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// withDaemon calls do with a random daemon, which stays reserved during the call.
func (f *faultInjector) withDaemon(random *rand.Rand, do func(d *daemon)) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	if !f.reserve(d) {
		return skipped
	}
	defer f.release(d)
	do(d)
	return d.name
}

func (f *faultInjector) daemonPaused(random *rand.Rand, duration time.Duration) string {
	return f.withDaemon(random, func(d *daemon) { d.suspend(duration) })
}

func (f *faultInjector) daemonKilled(random *rand.Rand, duration time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.terminate(syscall.SIGKILL)
		d.waitExit(stopGrace)
		time.Sleep(duration / 4)
		d.start()
	})
}

func (f *faultInjector) daemonStopped(random *rand.Rand, _ time.Duration) string {
	return f.withDaemon(random, func(d *daemon) { f.stop(d, random) })
}

// stop shuts a daemon down gracefully: it must exit within its grace time, whether further signals arrive or not.
func (f *faultInjector) stop(d *daemon, random *rand.Rand) {
	d.terminate(syscall.SIGTERM)
	if random.IntN(2) == 0 {
		d.waitExit(time.Duration(random.Int64N(int64(stopGrace))))
		d.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	d.mu.Lock()
	end := d.stopTimes[len(d.stopTimes)-1].Add(stopGrace + time.Second)
	d.mu.Unlock()
	if !d.waitExit(time.Until(end)) {
		f.env.t.Errorf("%s did not exit within %v of SIGTERM", d.name, stopGrace)
		d.terminate(syscall.SIGKILL)
		d.waitExit(stopGrace)
	}
	d.start()
}

// daemonsStoppedInSeries stops all daemons in random order, the next one before or after the last one has ended. It leaves
// out those that another fault has reserved.
func (f *faultInjector) daemonsStoppedInSeries(random *rand.Rand, duration time.Duration) string {
	interval := duration / 2
	var stopping sync.WaitGroup
	var stopped []string
	for _, i := range random.Perm(len(f.env.daemons)) {
		d := f.env.daemons[i]
		r := rand.New(rand.NewPCG(random.Uint64(), 1))
		if !f.reserve(d) {
			continue
		}
		stopped = append(stopped, d.name)
		stopping.Go(func() {
			defer f.release(d)
			f.stop(d, r)
		})
		time.Sleep(interval)
	}
	stopping.Wait()
	return fmt.Sprintf("%v, one every %v,", stopped, interval)
}

func (f *faultInjector) daemonHangup(random *rand.Rand, _ time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.writeSettings()
		d.mu.Lock()
		d.hangupAt = time.Now()
		d.mu.Unlock()
		d.signal(syscall.SIGHUP)
	})
}

func (f *faultInjector) changeConfiguration(random *rand.Rand, _ time.Duration) string {
	key := fmt.Sprintf("key-%d", random.Uint64())
	f.env.configure(key)
	return key
}
