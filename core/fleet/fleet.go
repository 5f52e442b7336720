// Package fleet is the table of targets that an instance knows, with what it believes about each of them: whether it
// may be used, and how busy it is.
//
// It is pure: changes and the time of a monotonic clock are passed in. A Fleet is not safe for concurrent use.
package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/table"
)

const (
	// returnGrace is how long a target that left the list during an outage of the store is still used: entries that
	// lapsed meanwhile are written again within two seconds of the store's return.
	returnGrace = 2 * time.Second
	// outageMemory is how long after an outage a removal may still be a consequence of it.
	outageMemory = 2 * time.Second
	// minSuspicion and maxSuspicion bound the time for which a target that failed gets no new work. It doubles with
	// each failure in a row, so that a target that is gone costs few attempts.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// sharedLife is how long the load of other instances is believed without news.
	sharedLife = 2 * time.Second
	// assumedInstances is the assumed ratio of all instances' calls at an engine to those of this one while nothing is
	// known of the others.
	assumedInstances = 3.0
	// slowLife is how long a report of an engine's speed is believed. Slow engines are asked again before.
	slowLife = 3 * time.Second
	// slowFrom is the slowdown from which an engine counts as slow.
	slowFrom = 2.0
)

// Target is an entry of the list of targets.
type Target struct {
	ID      entity.TargetID
	Service entity.ServiceID
	Address string
	Zone    entity.ZoneID
	// Slots is the number of calls that the target runs at once.
	Slots    int
	Draining bool
	// Born is the start of the target's process in Unix milliseconds; 0 if it is unknown. A target that starts again
	// may keep its id but has lost all state.
	Born int64
	// Card is the accelerator type of an engine.
	Card string
	// Layers is what an engine holds of its model.
	Layers entity.LayerRange
	// Changing says that an order is under way at the engine.
	Changing bool
}

// State is what an instance believes about a target.
type State struct {
	Target
	// InProgress counts this instance's calls at the target.
	InProgress int
	// CacheInUse is the KV cache that this instance's calls occupy, in tokens times layers.
	CacheInUse float64
	// OtherSequences and OtherCache are the load of all other instances when they last shared it, in the units of
	// InProgress and CacheInUse. SinceSharing counts this instance's calls begun since then.
	OtherSequences int
	OtherCache     float64
	SinceSharing   int
	// Slowdown multiplies the times of an engine; it is 0 while nobody had a reason to ask. SlowAt is when this instance
	// last asked. OtherSlowdown is what the others know.
	Slowdown      float64
	SlowAt        time.Time
	OtherSlowdown float64
	// OtherSuspicion says that another instance suspects the engine.
	OtherSuspicion bool
	// Latency is the smoothed time of a plain call.
	Latency time.Duration

	failures     int
	suspectUntil time.Time
	limit        limit
	reach        reach
	// goneAt is when a target that left the list during an outage stops being used; zero for listed targets.
	goneAt time.Time
}

// Usable says whether the target may get new work at the time now.
func (s *State) Usable(now time.Time) bool {
	return s.Listed(now) && !now.Before(s.suspectUntil) && !s.Down(now)
}

// Listed says whether the target may be used at all, even if it is suspected.
func (s *State) Listed(now time.Time) bool {
	return !s.Draining && (s.goneAt.IsZero() || now.Before(s.goneAt))
}

// Fleet is the table of targets of one instance.
type Fleet struct {
	targets *table.Table[entity.TargetID, State]
	outage  time.Time
	// shared is when the other instances last shared their load, instances their number in the own zone with this one.
	shared    time.Time
	instances int
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{targets: table.New[entity.TargetID, State]()}
}

// Get returns the state of a target, or nil.
func (f *Fleet) Get(id entity.TargetID) *State { return f.targets.Get(id) }

// All iterates over all targets in the order in which they joined.
func (f *Fleet) All(yield func(entity.TargetID, *State) bool) { f.targets.All(yield) }

// Put takes a new or changed entry. A target that has started again begins with a clean record.
func (f *Fleet) Put(target Target) {
	state := f.targets.Get(target.ID)
	if state == nil {
		f.targets.Put(target.ID, &State{Target: target})
		return
	}
	restarted := state.Born != target.Born
	state.Target = target
	state.goneAt = time.Time{}
	if restarted {
		state.failures, state.suspectUntil, state.limit, state.reach = 0, time.Time{}, limit{}, reach{}
	}
}

// Remove takes the removal of an entry. During and shortly after an outage of the store the target is used for a short
// time longer, since its entry may only have lapsed.
func (f *Fleet) Remove(now time.Time, id entity.TargetID) {
	state := f.targets.Get(id)
	if state == nil {
		return
	}
	if f.outage.IsZero() || now.Sub(f.outage) > outageMemory {
		f.targets.Delete(id)
		return
	}
	if state.goneAt.IsZero() {
		state.goneAt = now.Add(returnGrace)
	}
}

// Retain removes all targets that are not in listed.
func (f *Fleet) Retain(now time.Time, listed map[entity.TargetID]bool) {
	for id := range f.targets.All {
		if !listed[id] {
			f.Remove(now, id)
		}
	}
}

// StoreFailed notes that the store did not answer at the time now.
func (f *Fleet) StoreFailed(now time.Time) { f.outage = now }

// Tick drops the targets whose grace time has passed.
func (f *Fleet) Tick(now time.Time) {
	for id, state := range f.targets.All {
		if !state.goneAt.IsZero() && !now.Before(state.goneAt) {
			f.targets.Delete(id)
		}
	}
}

// Failed notes that a target failed to serve and returns until when it gets no new work.
func (f *Fleet) Failed(now time.Time, id entity.TargetID) time.Time {
	state := f.targets.Get(id)
	if state == nil {
		return time.Time{}
	}
	suspicion := min(maxSuspicion, minSuspicion<<min(state.failures, 4))
	state.failures++
	state.suspectUntil = now.Add(suspicion)
	return state.suspectUntil
}

// SetOtherLoads takes the load of all other instances on engines at the time now; instances is the number of instances in
// the own zone. Engines without an entry have no other load.
func (f *Fleet) SetOtherLoads(now time.Time, loads loadshare.Loads, instances int) {
	f.shared, f.instances = now, instances
	for id, state := range f.targets.All {
		load := loads[id]
		state.OtherSequences, state.OtherCache = int(load.Sequences), float64(load.Cache)
		state.OtherSlowdown, state.OtherSuspicion = float64(load.Slowdown), load.Suspected
		state.SinceSharing = 0
	}
}

// OwnLoads returns this instance's load on engines and what it knows of their health.
func (f *Fleet) OwnLoads(now time.Time) loadshare.Loads {
	loads := loadshare.Loads{}
	for id, state := range f.targets.All {
		load := loadshare.Load{Suspected: now.Before(state.suspectUntil) || state.Down(now)}
		if state.CacheInUse > 0 {
			load.Sequences, load.Cache = int32(state.InProgress), float32(state.CacheInUse)
		}
		if slowdown := state.ownSlowdown(now); slowdown > 1 {
			load.Slowdown = float32(slowdown)
		}
		if load != (loadshare.Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// SlowBy returns the factor by which an engine is known to be slower than its figures, at least 1.
func (s *State) SlowBy(now time.Time) float64 {
	return max(1, s.OtherSlowdown, s.ownSlowdown(now))
}

// ownSlowdown returns what the engine last told this instance of its speed, or 0 if that is too long ago.
func (s *State) ownSlowdown(now time.Time) float64 {
	if now.Sub(s.SlowAt) >= slowLife {
		return 0
	}
	return s.Slowdown
}

// Reported takes a report of an engine at the time now. It says whether the belief about its speed has changed.
func (f *Fleet) Reported(now time.Time, id entity.TargetID, report Report) bool {
	state := f.targets.Get(id)
	if state == nil || (report.Born != 0 && report.Born != state.Born) {
		return false
	}
	state.reach = reach{}
	before := state.Slowdown >= slowFrom
	state.Slowdown, state.SlowAt = report.Slowdown, now
	return before != (report.Slowdown >= slowFrom)
}

// Slow returns the engines that this instance has found to be slow.
func (f *Fleet) Slow(now time.Time) (slow []Target) {
	for _, state := range f.targets.All {
		if state.ownSlowdown(now) >= slowFrom {
			slow = append(slow, state.Target)
		}
	}
	return slow
}

// Load returns the expected load of all instances on an engine: generations and KV cache in tokens times layers. Since the
// others last shared their load, they are taken to have begun as much as this instance. Without news from others the load
// is that of this instance times assumedInstances.
func (f *Fleet) Load(now time.Time, s *State) (sequences, cache float64) {
	own, ownCache := float64(s.InProgress), s.CacheInUse
	if f.shared.IsZero() || now.Sub(f.shared) > sharedLife {
		return own * assumedInstances, ownCache * assumedInstances
	}
	begun := float64(s.SinceSharing * (f.instances - 1))
	perCall := ownCache / max(1, own)
	return own + float64(s.OtherSequences) + begun, ownCache + s.OtherCache + begun*perCall
}

// Succeeded notes that a target served a call.
func (f *Fleet) Succeeded(id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.failures, state.suspectUntil = 0, time.Time{}
	}
}
