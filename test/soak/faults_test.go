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

// faults injects faults that overlap.
type faultInjector struct {
	env     *environment
	random  *rand.Rand
	running sync.WaitGroup

	mu        sync.Mutex
	completed []string
	// busy holds the daemons and targets that a fault has in hand; faults of one kind do not meet on one victim.
	reserved map[any]bool
}

// kinds are the faults that step chooses from. Each lasts for a time that is drawn for it.
var faultKinds = []struct {
	name string
	do   func(f *faultInjector, random *rand.Rand, length time.Duration) string
}{
	{"store down", (*faultInjector).storeDown},
	{"store loses answers", (*faultInjector).storeLosesResponses},
	{"store forgets history", (*faultInjector).storeDropsHistory},
	{"store cut off", (*faultInjector).storeBlocked},
	{"store connections silent", (*faultInjector).storeSilent},
	{"target cut off", (*faultInjector).targetBlockedOrSlow},
	{"target connections reset", (*faultInjector).targetReset},
	{"target misbehaves", (*faultInjector).targetMisbehaves},
	{"target crashes", (*faultInjector).targetCrashes},
	{"target drains", (*faultInjector).targetDrains},
	{"daemon paused", (*faultInjector).daemonPaused},
	{"daemon killed", (*faultInjector).daemonKilled},
	{"daemon stopped", (*faultInjector).daemonStopped},
	{"daemon hangup", (*faultInjector).daemonHangup},
	{"configuration", (*faultInjector).changeConfiguration},
}

// step begins a fault and returns at once.
func (f *faultInjector) step() {
	kind := faultKinds[f.random.IntN(len(faultKinds))]
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	length := time.Duration(200+random.IntN(2500)) * time.Millisecond
	f.running.Go(func() {
		what := kind.do(f, random, length)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.completed = append(f.completed, fmt.Sprintf("%s %s: %s for %v", time.Now().Format("05.000"), kind.name, what, length))
	})
}

// take reserves a victim, or reports false if another fault has it in hand.
func (f *faultInjector) reserve(victim any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reserved[victim] {
		return false
	}
	f.reserved[victim] = true
	return true
}

func (f *faultInjector) release(victim any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, victim)
}

const skipped = "skipped, its victim is in hand"

// withStore sets a fault of the store for a time.
func (f *faultInjector) withStore(fault edgeplatform.StoreFaults, length time.Duration) string {
	if !f.reserve(f.env.store) {
		return skipped
	}
	defer f.release(f.env.store)
	f.env.store.SetFaults(fault)
	time.Sleep(length)
	f.env.store.SetFaults(edgeplatform.StoreFaults{})
	return "all daemons"
}

func (f *faultInjector) storeDown(_ *rand.Rand, length time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{Down: true}, length)
}

func (f *faultInjector) storeLosesResponses(_ *rand.Rand, length time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{LoseWriteResponses: true}, length)
}

func (f *faultInjector) storeDropsHistory(_ *rand.Rand, _ time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{HistoryFrom: 1 << 40}, 100*time.Millisecond)
}

func (f *faultInjector) storeBlocked(random *rand.Rand, length time.Duration) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	direction := faultproxy.Direction(random.IntN(2))
	d.storeProxy.SetRules(direction, faultproxy.Rules{Blocked: true})
	time.Sleep(length)
	d.storeProxy.SetRules(direction, faultproxy.Rules{})
	return fmt.Sprintf("%s, direction %d", d.name, direction)
}

func (f *faultInjector) storeSilent(random *rand.Rand, _ time.Duration) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	d.storeProxy.Blackhole()
	return d.name
}

func (f *faultInjector) randomTarget(random *rand.Rand) *target {
	return f.env.targets[random.IntN(len(f.env.targets))]
}

func (f *faultInjector) targetBlockedOrSlow(random *rand.Rand, length time.Duration) string {
	t := f.randomTarget(random)
	rules := faultproxy.Rules{Blocked: true}
	if random.IntN(3) == 0 {
		rules = faultproxy.Rules{Delay: 100 * time.Millisecond, Jitter: 200 * time.Millisecond}
	}
	direction := faultproxy.Direction(random.IntN(2))
	t.proxy.SetRules(direction, rules)
	time.Sleep(length)
	t.proxy.SetRules(direction, faultproxy.Rules{})
	return fmt.Sprintf("%s, direction %d, %+v", t.ID, direction, rules)
}

func (f *faultInjector) targetReset(random *rand.Rand, _ time.Duration) string {
	t := f.randomTarget(random)
	if random.IntN(2) == 0 {
		t.proxy.Blackhole()
		return t.ID + " silenced"
	}
	t.proxy.Reset()
	return t.ID
}

func (f *faultInjector) targetMisbehaves(random *rand.Rand, length time.Duration) string {
	t := f.randomTarget(random)
	ways := []edgeplatform.TargetFaults{
		{Hang: true}, {BreakAfter: 4}, {BreakAfter: 4, BreakMidEvent: true}, {StallAfter: 3}, {Refuse: true}, {LoseResponses: true},
		{Truncate: true}, {OmitStamp: true}, {FailStatus: 500}, {StallAfter: 3, WaitFor: f.randomTarget(random).Address()},
	}
	way := ways[random.IntN(len(ways))]
	if !f.reserve(t.Target) {
		return skipped
	}
	defer f.release(t.Target)
	t.SetFaults(way)
	time.Sleep(length)
	t.SetFaults(edgeplatform.TargetFaults{})
	return fmt.Sprintf("%s, %+v", t.ID, way)
}

// targetCrashes lets a target lose all state; its entry lapses if it is away for long.
func (f *faultInjector) targetCrashes(random *rand.Rand, length time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	t.proxy.RefuseNew(true)
	t.Restart()
	time.Sleep(min(length, entryTTL))
	if length > entryTTL {
		t.setState("")
		time.Sleep(length - entryTTL)
	}
	t.proxy.RefuseNew(false)
	t.setState("ready")
	return t.ID
}

// targetDrains lets a target leave and come back as a new process.
func (f *faultInjector) targetDrains(random *rand.Rand, length time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(t) {
		return skipped
	}
	defer f.release(t)
	t.setState("draining")
	time.Sleep(drainBound + length)
	t.setState("")
	t.Restart()
	t.setState("ready")
	return t.ID
}

func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// withDaemon reserves a daemon.
func (f *faultInjector) withDaemon(random *rand.Rand, do func(d *daemon)) string {
	d := f.env.daemons[random.IntN(len(f.env.daemons))]
	if !f.reserve(d) {
		return skipped
	}
	defer f.release(d)
	do(d)
	return d.name
}

func (f *faultInjector) daemonPaused(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.signal(syscall.SIGSTOP)
		time.Sleep(length)
		d.signal(syscall.SIGCONT)
	})
}

func (f *faultInjector) daemonKilled(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.terminate(syscall.SIGKILL)
		d.waitExit(stopGrace)
		time.Sleep(length / 4)
		d.start()
	})
}

// daemonStopped stops a daemon as planned: it must end by itself within its grace time.
func (f *faultInjector) daemonStopped(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.terminate(syscall.SIGTERM)
		if !d.waitExit(stopGrace + time.Second) {
			f.env.t.Errorf("%s does not stop within %v", d.name, stopGrace)
			d.signal(syscall.SIGKILL)
			d.waitExit(stopGrace)
		}
		d.start()
	})
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
