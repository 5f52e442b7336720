// Package fleet keeps the table of targets known to an instance, with the health and load of each as this instance sees
// them.
//
// The package does no I/O: changes and the time of a monotonic clock are passed in. A Fleet is not safe for concurrent
// use.
package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/table"
)

const (
	// minSuspicionTime and maxSuspicionTime bound the time for which a failed target is suspected and gets new work
	// only if there is no other target. It doubles with each consecutive failure, so that few attempts are wasted on a
	// target that is gone.
	minSuspicionTime = 500 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
	// sharedLoadTTL is how long the last load received from other instances stays valid.
	sharedLoadTTL = 2 * time.Second
	// assumedLoadRatio is the assumed ratio of all instances' load on an engine to that of this instance while the load
	// of the others is unknown.
	assumedLoadRatio = 3.0
	// slowdownTTL is how long the reported slowdown of an engine stays valid. Slow engines are queried again before it
	// expires.
	slowdownTTL = 3 * time.Second
	// slowThreshold is the slowdown from which an engine counts as slow.
	slowThreshold = 2.0
)

// Target is an entry in the list of targets.
type Target struct {
	ID      entity.TargetID
	Service entity.ServiceID
	Address string
	Zone    entity.ZoneID
	// Slots is the number of calls that the target runs concurrently.
	Slots    int
	Draining bool
	// Born is the start time of the target's process in Unix milliseconds, or 0 if unknown. A restarted target may keep
	// its ID but has lost all state.
	Born int64
	// Revision rises with each entry that the process writes; 0 if unknown.
	Revision int64
	// Card is the accelerator type of an engine.
	Card string
	// Layers is the range of model layers that an engine holds.
	Layers entity.LayerRange
	// Changing reports whether the engine is carrying out an order.
	Changing bool
}

// State is the health and load of a target as this instance sees them.
type State struct {
	Target
	// InProgress counts this instance's calls at the target.
	InProgress int
	// CacheInUse is the KV cache used by this instance's calls, in tokens times layers.
	CacheInUse float64
	// OtherSequences and OtherCache are the load of all other instances as last shared, in the units of InProgress and
	// CacheInUse. CallsSinceShared counts the calls that this instance has started since then.
	OtherSequences   int
	OtherCache       float64
	CallsSinceShared int
	// Slowdown is the factor that the engine last reported (see Report), or 0 while this instance has had no reason to
	// query it. SlowdownAt is the time of that report. OtherSlowdown is the factor known to the other instances.
	Slowdown      float64
	SlowdownAt    time.Time
	OtherSlowdown float64
	// OtherSuspected reports whether another instance suspects the engine of having failed. OtherResponsive and
	// OtherUnresponsive report whether the engine has recently answered another instance, or left one without an
	// answer.
	OtherSuspected, OtherResponsive, OtherUnresponsive bool
	// Latency is the moving average of the duration of plain calls.
	Latency time.Duration

	consecutiveFailures int
	suspectUntil        time.Time
	// suspectedSilent reports whether the suspicion rests only on failures while the engine did not answer.
	suspectedSilent bool
	limit           concurrencyLimit
	reachability    reachability
	backoff         backoff
	// removeAt is when a target whose entry may have lapsed in an outage of the store is dropped; zero for listed targets.
	removeAt time.Time
	// late records the entries that are older than this one.
	late lateEntries
	// leavingSince is when the target's process first said in a response that it leaves; zero if it has not.
	leavingSince time.Time
	// absentUntil is when a target that was known to be gone, and is in the list again, counts as alive unless a later entry shows it
	// before; zero for others.
	absentUntil time.Time
}

// Usable reports whether the target is in service and neither suspected nor down at time now.
func (s *State) Usable(now time.Time) bool {
	return s.InService(now) && !now.Before(s.suspectUntil) && !s.Down(now)
}

// InService reports whether the target is listed, or its entry may have lapsed only, and neither leaving nor known to be
// gone. It may still be suspected or down.
func (s *State) InService(now time.Time) bool {
	return s.listedAsReady(now) && s.leavingSince.IsZero()
}

// listedAsReady is InService without regard to what the target says in its responses.
func (s *State) listedAsReady(now time.Time) bool {
	return !s.Draining && (s.removeAt.IsZero() || now.Before(s.removeAt)) && !now.Before(s.absentUntil)
}

// Fleet is the table of targets of one instance.
type Fleet struct {
	// DrainBound is the longest time after which a request may be sent to a target that has announced in a response that it
	// is leaving, or whose entry has been removed.
	DrainBound time.Duration
	// Isolated, if set, reports whether this instance has lost its links to all targets of a service.
	Isolated func(entity.ServiceID) bool

	targets *table.Table[entity.TargetID, State]
	// loadsSharedAt is when the other instances last shared their load; zoneInstances is the number of instances in the
	// zone of this instance, including itself.
	loadsSharedAt time.Time
	zoneInstances int
	// departed remembers the targets that were dropped, and departedBefore those dropped before the store was last
	// restored from a copy, at restoredAt.
	departed, departedBefore departures
	restoredAt               time.Time
	// now is the time of the last call of Tick, Remove or Retain. Tick is called every second, which is enough to tell late writes.
	now time.Time
	// leaving holds the processes that have said in a response that they leave.
	leaving map[process]*leavingProcess
	// ended holds the processes that are known to have ended, with the time at which that was last seen.
	ended map[process]time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		targets: table.New[entity.TargetID, State](), departed: make(departures), departedBefore: make(departures),
		leaving: make(map[process]*leavingProcess), ended: make(map[process]time.Time),
	}
}

// Get returns the state of a target, or nil if it is unknown.
func (f *Fleet) Get(id entity.TargetID) *State { return f.targets.Get(id) }

// All iterates over all targets in the order in which they were added.
func (f *Fleet) All(yield func(entity.TargetID, *State) bool) { f.targets.All(yield) }

// Put adds or updates a target and reports true. It reports false if the given entry is older than what is known of the target: the
// store has performed its write late, or was restored from a copy. The recorded failures and limits of a restarted target are
// reset.
func (f *Fleet) Put(target Target) bool {
	state := f.targets.Get(target.ID)
	if state == nil {
		if departed, known := f.departed[target.ID]; known && departed.late.ignores(f.now, target.version(), departed.version) {
			return false
		}
		f.targets.Put(target.ID, &State{
			Target: target, absentUntil: f.absentUntil(target), leavingSince: f.leavingSince(target),
			backoff: f.departedBackoff(target),
		})
		return true
	}
	if state.late.ignores(f.now, target.version(), state.version()) {
		return false
	}
	restarted := state.Born != target.Born
	if restarted || target.Revision > state.Revision {
		state.absentUntil = time.Time{}
	}
	state.Target, state.late, state.removeAt, state.leavingSince = target, lateEntries{}, time.Time{}, f.leavingSince(target)
	if restarted {
		state.consecutiveFailures, state.suspectUntil, state.limit, state.reachability =
			0, time.Time{}, concurrencyLimit{}, reachability{}
		state.suspectedSilent = false
		state.backoff = backoff{}
	}
	return true
}

// Tick drops the targets whose entries have not come back in time, and forgets targets that were dropped long ago.
func (f *Fleet) Tick(now time.Time) {
	f.now = now
	for _, state := range f.targets.All {
		if !state.removeAt.IsZero() && !now.Before(state.removeAt) {
			f.drop(now, state, false)
		}
	}
	f.departed.prune(now)
	f.departedBefore.prune(now)
	f.pruneLeaving(now)
	f.pruneEnded(now)
}

// RecordFailure records that a target failed to serve a call and returns the time until which it is suspected.
func (f *Fleet) RecordFailure(now time.Time, id entity.TargetID) time.Time {
	state := f.targets.Get(id)
	if state == nil {
		return time.Time{}
	}
	silent, suspected := state.Down(now), now.Before(state.suspectUntil)
	state.suspectedSilent = silent && (state.suspectedSilent || !suspected)
	// Attempts that were in progress together fail together, and reports show whether an engine is still there.
	if !suspected || state.Card == "" {
		state.consecutiveFailures++
	}
	suspicion := min(maxSuspicionTime, minSuspicionTime<<min(state.consecutiveFailures-1, 4))
	if until := now.Add(suspicion); until.After(state.suspectUntil) {
		state.suspectUntil = until
	}
	return state.suspectUntil
}

// SetOtherLoads sets the load of all other instances on the engines as of time now. Engines without an entry have no
// load from others. instances is the number of instances in the zone of this instance, including itself.
func (f *Fleet) SetOtherLoads(now time.Time, loads loadshare.Loads, instances int) {
	f.loadsSharedAt, f.zoneInstances = now, instances
	for id, state := range f.targets.All {
		load := loads[id]
		state.OtherSequences, state.OtherCache = int(load.Sequences), float64(load.Cache)
		state.OtherSlowdown, state.OtherSuspected = float64(load.Slowdown), load.Suspected
		state.OtherResponsive, state.OtherUnresponsive = load.Responsive, load.Unresponsive
		state.CallsSinceShared = 0
	}
}

// OwnLoads returns this instance's load on the engines and its view of their health, which says nothing while the instance is
// isolated from them.
func (f *Fleet) OwnLoads(now time.Time) loadshare.Loads {
	loads := loadshare.Loads{}
	for id, state := range f.targets.All {
		var load loadshare.Load
		if !f.isolatedFrom(state) {
			load = loadshare.Load{
				Suspected:    now.Before(state.suspectUntil) || state.Down(now),
				Responsive:   now.Sub(state.reachability.answeredAt) < responsiveTTL,
				Unresponsive: state.Down(now),
			}
		}
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

// SlowdownFactor returns the factor, at least 1, by which the engine is known to be slower than its published
// performance.
func (s *State) SlowdownFactor(now time.Time) float64 {
	return max(1, s.OtherSlowdown, s.ownSlowdown(now))
}

// ownSlowdown returns the slowdown that the engine last reported to this instance, or 0 if the report has expired.
func (s *State) ownSlowdown(now time.Time) float64 {
	if now.Sub(s.SlowdownAt) >= slowdownTTL {
		return 0
	}
	return s.Slowdown
}

// RecordReport records a load report that an engine gave at time now. It reports whether the engine has become slow or
// stopped being slow. A report from a different process of the engine is ignored.
func (f *Fleet) RecordReport(now time.Time, id entity.TargetID, report Report) bool {
	state := f.targets.Get(id)
	if state == nil || (report.Born != 0 && report.Born != state.Born) {
		return false
	}
	state.reachability = reachability{answeredAt: now}
	delete(f.ended, process{id: id, born: state.Born})
	if state.suspectedSilent {
		state.consecutiveFailures, state.suspectUntil, state.suspectedSilent = 0, time.Time{}, false
	}
	wasSlow := state.Slowdown >= slowThreshold
	state.Slowdown, state.SlowdownAt = report.Slowdown, now
	return wasSlow != (report.Slowdown >= slowThreshold)
}

// SlowTargets returns the engines that reported to this instance that they are slow, without those that asked to get no
// requests.
func (f *Fleet) SlowTargets(now time.Time) (slow []Target) {
	for _, state := range f.targets.All {
		if state.ownSlowdown(now) >= slowThreshold && !state.BacksOff(now) {
			slow = append(slow, state.Target)
		}
	}
	return slow
}

// Load returns the expected load of all instances on an engine: the number of generations, and their KV cache in tokens
// times layers. Each other instance of the zone is assumed to have started as many calls as this one since the loads
// were last shared. Without a valid shared load, the result is the load of this instance times assumedLoadRatio.
func (f *Fleet) Load(now time.Time, s *State) (sequences, cache float64) {
	own, ownCache := float64(s.InProgress), s.CacheInUse
	if _, valid := f.SharedLoadAge(now); !valid {
		return own * assumedLoadRatio, ownCache * assumedLoadRatio
	}
	begunElsewhere := float64(s.CallsSinceShared * (f.zoneInstances - 1))
	perCall := ownCache / max(1, own)
	return own + float64(s.OtherSequences) + begunElsewhere, ownCache + s.OtherCache + begunElsewhere*perCall
}

// RecordSuccess records that a target served a call, which ends its suspicion.
func (f *Fleet) RecordSuccess(id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.consecutiveFailures, state.suspectUntil, state.suspectedSilent = 0, time.Time{}, false
	}
}
