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
type faults struct {
	w       *world
	random  *rand.Rand
	running sync.WaitGroup

	mu      sync.Mutex
	actions []string
	// busy holds the daemons and targets that a fault has in hand; faults of one kind do not meet on one victim.
	busy map[any]bool
}

// kinds are the faults that step chooses from. Each lasts for a time that is drawn for it.
var kinds = []struct {
	name string
	do   func(f *faults, random *rand.Rand, length time.Duration) string
}{
	{"store down", (*faults).storeDown},
	{"store loses answers", (*faults).storeLoses},
	{"store forgets history", (*faults).storeForgets},
	{"store cut off", (*faults).storeCut},
	{"store connections silent", (*faults).storeSilent},
	{"target cut off", (*faults).targetCut},
	{"target connections reset", (*faults).targetReset},
	{"target misbehaves", (*faults).targetMisbehaves},
	{"target crashes", (*faults).targetCrashes},
	{"target drains", (*faults).targetDrains},
	{"daemon paused", (*faults).daemonPaused},
	{"daemon killed", (*faults).daemonKilled},
	{"daemon stopped", (*faults).daemonStopped},
	{"daemon hangup", (*faults).daemonHangup},
	{"configuration", (*faults).configuration},
}

// step begins a fault and returns at once.
func (f *faults) step() {
	kind := kinds[f.random.IntN(len(kinds))]
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	length := time.Duration(200+random.IntN(2500)) * time.Millisecond
	f.running.Go(func() {
		what := kind.do(f, random, length)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.actions = append(f.actions, fmt.Sprintf("%s %s: %s for %v", time.Now().Format("05.000"), kind.name, what, length))
	})
}

// take reserves a victim, or reports false if another fault has it in hand.
func (f *faults) take(victim any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[victim] {
		return false
	}
	f.busy[victim] = true
	return true
}

func (f *faults) release(victim any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, victim)
}

const skipped = "skipped, its victim is in hand"

// withStore sets a fault of the store for a time.
func (f *faults) withStore(fault edgeplatform.StoreFaults, length time.Duration) string {
	if !f.take(f.w.store) {
		return skipped
	}
	defer f.release(f.w.store)
	f.w.store.SetFaults(fault)
	time.Sleep(length)
	f.w.store.SetFaults(edgeplatform.StoreFaults{})
	return "all daemons"
}

func (f *faults) storeDown(_ *rand.Rand, length time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{Down: true}, length)
}

func (f *faults) storeLoses(_ *rand.Rand, length time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{LoseWriteResponses: true}, length)
}

func (f *faults) storeForgets(_ *rand.Rand, _ time.Duration) string {
	return f.withStore(edgeplatform.StoreFaults{HistoryFrom: 1 << 40}, 100*time.Millisecond)
}

func (f *faults) storeCut(random *rand.Rand, length time.Duration) string {
	d := f.w.daemons[random.IntN(len(f.w.daemons))]
	direction := faultproxy.Direction(random.IntN(2))
	d.store.SetRules(direction, faultproxy.Rules{Blocked: true})
	time.Sleep(length)
	d.store.SetRules(direction, faultproxy.Rules{})
	return fmt.Sprintf("%s, direction %d", d.name, direction)
}

func (f *faults) storeSilent(random *rand.Rand, _ time.Duration) string {
	d := f.w.daemons[random.IntN(len(f.w.daemons))]
	d.store.Blackhole()
	return d.name
}

func (f *faults) aTarget(random *rand.Rand) *target {
	return f.w.targets[random.IntN(len(f.w.targets))]
}

func (f *faults) targetCut(random *rand.Rand, length time.Duration) string {
	t := f.aTarget(random)
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

func (f *faults) targetReset(random *rand.Rand, _ time.Duration) string {
	t := f.aTarget(random)
	if random.IntN(2) == 0 {
		t.proxy.Blackhole()
		return t.ID + " silenced"
	}
	t.proxy.Reset()
	return t.ID
}

func (f *faults) targetMisbehaves(random *rand.Rand, length time.Duration) string {
	t := f.aTarget(random)
	ways := []edgeplatform.TargetFaults{
		{Hang: true}, {BreakAfter: 4}, {BreakAfter: 4, BreakMidEvent: true}, {StallAfter: 3}, {Refuse: true}, {LoseResponses: true},
		{Truncate: true}, {OmitStamp: true}, {FailStatus: 500}, {StallAfter: 3, WaitFor: f.aTarget(random).Address()},
	}
	way := ways[random.IntN(len(ways))]
	if !f.take(t.Target) {
		return skipped
	}
	defer f.release(t.Target)
	t.SetFaults(way)
	time.Sleep(length)
	t.SetFaults(edgeplatform.TargetFaults{})
	return fmt.Sprintf("%s, %+v", t.ID, way)
}

// targetCrashes lets a target lose all state; its entry lapses if it is away for long.
func (f *faults) targetCrashes(random *rand.Rand, length time.Duration) string {
	t := f.aTarget(random)
	if !f.take(t) {
		return skipped
	}
	defer f.release(t)
	t.proxy.RefuseNew(true)
	t.Restart()
	time.Sleep(min(length, lapse))
	if length > lapse {
		t.setState("")
		time.Sleep(length - lapse)
	}
	t.proxy.RefuseNew(false)
	t.setState("ready")
	return t.ID
}

// targetDrains lets a target leave and come back as a new process.
func (f *faults) targetDrains(random *rand.Rand, length time.Duration) string {
	t := f.aTarget(random)
	if !f.take(t) {
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
func (f *faults) withDaemon(random *rand.Rand, do func(d *daemon)) string {
	d := f.w.daemons[random.IntN(len(f.w.daemons))]
	if !f.take(d) {
		return skipped
	}
	defer f.release(d)
	do(d)
	return d.name
}

func (f *faults) daemonPaused(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.signal(syscall.SIGSTOP)
		time.Sleep(length)
		d.signal(syscall.SIGCONT)
	})
}

func (f *faults) daemonKilled(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.end(syscall.SIGKILL)
		d.wait(stopGrace)
		time.Sleep(length / 4)
		d.start()
	})
}

// daemonStopped stops a daemon as planned: it must end by itself within its grace time.
func (f *faults) daemonStopped(random *rand.Rand, length time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.end(syscall.SIGTERM)
		if !d.wait(stopGrace + time.Second) {
			f.w.t.Errorf("%s does not stop within %v", d.name, stopGrace)
			d.signal(syscall.SIGKILL)
			d.wait(stopGrace)
		}
		d.start()
	})
}

func (f *faults) daemonHangup(random *rand.Rand, _ time.Duration) string {
	return f.withDaemon(random, func(d *daemon) {
		d.writeSettings()
		d.mu.Lock()
		d.hungUp = time.Now()
		d.mu.Unlock()
		d.signal(syscall.SIGHUP)
	})
}

func (f *faults) configuration(random *rand.Rand, _ time.Duration) string {
	key := fmt.Sprintf("key-%d", random.Uint64())
	f.w.configure(key)
	return key
}
