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
	removalGracePeriod = 2 * time.Second
	// outageMemory is how long after an outage a removal may still be a consequence of it.
	outageAftermath = 2 * time.Second
	// minSuspicion and maxSuspicion bound the time for which a target that failed gets no new work. It doubles with
	// each failure in a row, so that a target that is gone costs few attempts.
	minSuspicionTime = 500 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
	// sharedLife is how long the load of other instances is believed without news.
	sharedLoadTTL = 2 * time.Second
	// assumedInstances is the assumed ratio of all instances' calls at an engine to those of this one while nothing is
	// known of the others.
	assumedLoadRatio = 3.0
	// slowLife is how long a report of an engine's speed is believed. Slow engines are asked again before.
	slowdownTTL = 3 * time.Second
	// slowFrom is the slowdown from which an engine counts as slow.
	slowThreshold = 2.0
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
	OtherSequences   int
	OtherCache       float64
	CallsSinceShared int
	// Slowdown multiplies the times of an engine; it is 0 while nobody had a reason to ask. SlowAt is when this instance
	// last asked. OtherSlowdown is what the others know.
	Slowdown      float64
	SlowdownAt    time.Time
	OtherSlowdown float64
	// OtherSuspicion says that another instance suspects the engine.
	OtherSuspected bool
	// Latency is the smoothed time of a plain call.
	Latency time.Duration

	consecutiveFailures int
	suspectUntil        time.Time
	limit               concurrencyLimit
	reachability        reachability
	// goneAt is when a target that left the list during an outage stops being used; zero for listed targets.
	removeAt time.Time
}

// Usable says whether the target may get new work at the time now.
func (s *State) Usable(now time.Time) bool {
	return s.InService(now) && !now.Before(s.suspectUntil) && !s.Down(now)
}

// Listed says whether the target may be used at all, even if it is suspected.
func (s *State) InService(now time.Time) bool {
	return !s.Draining && (s.removeAt.IsZero() || now.Before(s.removeAt))
}

// Fleet is the table of targets of one instance.
type Fleet struct {
	targets          *table.Table[entity.TargetID, State]
	lastStoreFailure time.Time
	// shared is when the other instances last shared their load, instances their number in the own zone with this one.
	loadsSharedAt time.Time
	zoneInstances int
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
	state.removeAt = time.Time{}
	if restarted {
		state.consecutiveFailures, state.suspectUntil, state.limit, state.reachability = 0, time.Time{}, concurrencyLimit{}, reachability{}
	}
}

// Remove takes the removal of an entry. During and shortly after an outage of the store the target is used for a short
// time longer, since its entry may only have lapsed.
func (f *Fleet) Remove(now time.Time, id entity.TargetID) {
	state := f.targets.Get(id)
	if state == nil {
		return
	}
	if f.lastStoreFailure.IsZero() || now.Sub(f.lastStoreFailure) > outageAftermath {
		f.targets.Delete(id)
		return
	}
	if state.removeAt.IsZero() {
		state.removeAt = now.Add(removalGracePeriod)
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
func (f *Fleet) RecordStoreFailure(now time.Time) { f.lastStoreFailure = now }

// Tick drops the targets whose grace time has passed.
func (f *Fleet) Tick(now time.Time) {
	for id, state := range f.targets.All {
		if !state.removeAt.IsZero() && !now.Before(state.removeAt) {
			f.targets.Delete(id)
		}
	}
}

// Failed notes that a target failed to serve and returns until when it gets no new work.
func (f *Fleet) RecordFailure(now time.Time, id entity.TargetID) time.Time {
	state := f.targets.Get(id)
	if state == nil {
		return time.Time{}
	}
	suspicion := min(maxSuspicionTime, minSuspicionTime<<min(state.consecutiveFailures, 4))
	state.consecutiveFailures++
	state.suspectUntil = now.Add(suspicion)
	return state.suspectUntil
}

// SetOtherLoads takes the load of all other instances on engines at the time now; instances is the number of instances in
// the own zone. Engines without an entry have no other load.
func (f *Fleet) SetOtherLoads(now time.Time, loads loadshare.Loads, instances int) {
	f.loadsSharedAt, f.zoneInstances = now, instances
	for id, state := range f.targets.All {
		load := loads[id]
		state.OtherSequences, state.OtherCache = int(load.Sequences), float64(load.Cache)
		state.OtherSlowdown, state.OtherSuspected = float64(load.Slowdown), load.Suspected
		state.CallsSinceShared = 0
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
func (s *State) SlowdownFactor(now time.Time) float64 {
	return max(1, s.OtherSlowdown, s.ownSlowdown(now))
}

// ownSlowdown returns what the engine last told this instance of its speed, or 0 if that is too long ago.
func (s *State) ownSlowdown(now time.Time) float64 {
	if now.Sub(s.SlowdownAt) >= slowdownTTL {
		return 0
	}
	return s.Slowdown
}

// Reported takes a report of an engine at the time now. It says whether the belief about its speed has changed.
func (f *Fleet) RecordReport(now time.Time, id entity.TargetID, report Report) bool {
	state := f.targets.Get(id)
	if state == nil || (report.Born != 0 && report.Born != state.Born) {
		return false
	}
	state.reachability = reachability{}
	wasSlow := state.Slowdown >= slowThreshold
	state.Slowdown, state.SlowdownAt = report.Slowdown, now
	return wasSlow != (report.Slowdown >= slowThreshold)
}

// Slow returns the engines that this instance has found to be slow.
func (f *Fleet) SlowTargets(now time.Time) (slow []Target) {
	for _, state := range f.targets.All {
		if state.ownSlowdown(now) >= slowThreshold {
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
	if f.loadsSharedAt.IsZero() || now.Sub(f.loadsSharedAt) > sharedLoadTTL {
		return own * assumedLoadRatio, ownCache * assumedLoadRatio
	}
	begunElsewhere := float64(s.CallsSinceShared * (f.zoneInstances - 1))
	perCall := ownCache / max(1, own)
	return own + float64(s.OtherSequences) + begunElsewhere, ownCache + s.OtherCache + begunElsewhere*perCall
}

// Succeeded notes that a target served a call.
func (f *Fleet) RecordSuccess(id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.consecutiveFailures, state.suspectUntil = 0, time.Time{}
	}
}
