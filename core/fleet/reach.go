package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// SilenceLimit is how long a target that sends nothing may be sound: sound ones fall silent for a second or so. After
	// it an engine counts as lost, so that its layers are placed elsewhere, and a stream without any event that waits for it
	// is given up, so that its caller, who disconnects after two seconds without an event, can retry. The list of targets
	// drops an engine only after three missed heartbeats.
	SilenceLimit = 1800 * time.Millisecond
	// lostAfterQueries is the time between the first and the last unanswered query after which an engine can count as lost.
	// Without it, one that answers again before SilenceLimit would be lost until the next query. A query is sent some
	// 350 ms after the one before, so the last one within SilenceLimit is recorded after this time.
	lostAfterQueries = SilenceLimit - 100*time.Millisecond
	// maxLostShare is the largest share of a zone's engines that can count as lost. If more are unresponsive, the zone
	// is assumed to be partitioned from this instance, and its engines still hold their layers.
	maxLostShare = 0.5
	// responsiveTTL is how long after its last report an engine is reported to other instances as responsive.
	responsiveTTL = time.Second
	// recentSilence is how long an engine that does not answer is queried retryProbeDelay after each query, since it may be
	// sound and answer again at any time. It is longer than SilenceLimit, so that this also shows whether it is lost.
	recentSilence   = 3 * time.Second
	retryProbeDelay = 20 * time.Millisecond
	// crossCheckDelay is the time between two queries of an engine of which another instance says otherwise.
	crossCheckDelay = 300 * time.Millisecond
	// maxZoneProbeInterval is the longest time between two queries of an engine that is down by the instance that queries
	// for its zone.
	maxZoneProbeInterval = time.Second
)

// reachability records whether an engine answers this instance. The zero value means that it does.
type reachability struct {
	// unansweredSince is when the first of the consecutive unanswered queries was recorded, and unansweredAt when the
	// last one was; the engine counts as down until downUntil.
	unansweredSince, unansweredAt, downUntil time.Time
	// answeredAt is when the engine last answered a query; zero after an unanswered one.
	answeredAt time.Time
}

// RecordNoAnswer records that an engine did not answer a query of this instance at time now. The engine then counts as
// down for ttl. RecordNoAnswer reports whether the engine was not down before.
func (f *Fleet) RecordNoAnswer(now time.Time, id entity.TargetID, ttl time.Duration) (changed bool) {
	state := f.targets.Get(id)
	if state == nil {
		return false
	}
	changed = !state.Down(now)
	if changed {
		state.reachability.unansweredSince = now
	}
	state.reachability.unansweredAt, state.reachability.downUntil = now, now.Add(ttl)
	state.reachability.answeredAt = time.Time{}
	return changed
}

// Down reports whether the engine does not answer this instance. Such an engine gets no requests, since each would fail
// and use up a retry.
func (s *State) Down(now time.Time) bool { return now.Before(s.reachability.downUntil) }

// ProbePolicy decides which engines an instance queries without having a request for them.
type ProbePolicy struct {
	// Interval is the time between two queries of an engine that is down.
	Interval time.Duration
	// ForZone reports whether this instance queries engines for the other instances of its zone.
	ForZone bool
	// InUse, if set, reports whether streams of this instance pass through an engine.
	InUse func(entity.TargetID) bool
}

// DueProbes returns the engines to query now. Engines that asked to get no requests are left out.
func (f *Fleet) DueProbes(now time.Time, policy ProbePolicy) (due []Target) {
	for _, state := range f.targets.All {
		if state.Card != "" && !state.BacksOff(now) && state.probeDue(now, policy) {
			due = append(due, state.Target)
		}
	}
	return due
}

// probeDue reports whether to query the engine now. One that is down is queried after the interval, and soon if another
// instance got an answer from it: one instance that queries often is enough. An instance that queries for its zone, or
// whose streams wait for the engine, queries it often for recentSilence. The former also queries the engines that left
// others without an answer, since it decides whether their layers are placed elsewhere.
func (s *State) probeDue(now time.Time, policy ProbePolicy) bool {
	sinceAnswer, sinceNoAnswer := now.Sub(s.reachability.answeredAt), now.Sub(s.reachability.unansweredAt)
	if !s.Down(now) {
		return policy.ForZone && s.OtherUnresponsive && sinceAnswer >= crossCheckDelay
	}
	recent := now.Sub(s.reachability.unansweredSince) < recentSilence
	switch {
	case recent && (policy.ForZone || policy.InUse != nil && policy.InUse(s.ID)):
		return sinceNoAnswer >= retryProbeDelay
	case s.OtherResponsive:
		return sinceNoAnswer >= crossCheckDelay
	case policy.ForZone:
		return sinceNoAnswer >= min(policy.Interval, maxZoneProbeInterval)
	default:
		return sinceNoAnswer >= policy.Interval
	}
}

// LostTargets returns the engines whose layers must be placed elsewhere: those that are not in service, and those that
// have been down for SilenceLimit, shown by queries, while at least half of the engines of their zone are not.
func (f *Fleet) LostTargets(now time.Time) map[entity.TargetID]bool {
	type count struct{ engines, down int }
	zones := make(map[entity.ZoneID]*count)
	for _, state := range f.targets.All {
		if state.Card == "" {
			continue
		}
		zone := zones[state.Zone]
		if zone == nil {
			zone = &count{}
			zones[state.Zone] = zone
		}
		zone.engines++
		if state.Down(now) {
			zone.down++
		}
	}
	lost := make(map[entity.TargetID]bool)
	for id, state := range f.targets.All {
		zone := zones[state.Zone]
		unresponsive := state.Card != "" && state.silentTooLong(now) && !f.isolatedFrom(state) &&
			float64(zone.down) <= maxLostShare*float64(zone.engines)
		if unresponsive || !state.InService(now) {
			lost[id] = true
		}
	}
	return lost
}

// silentTooLong reports whether the engine has been down for SilenceLimit, and has left queries unanswered for almost as
// long.
func (s *State) silentTooLong(now time.Time) bool {
	r := s.reachability
	return s.Down(now) && now.Sub(r.unansweredSince) >= SilenceLimit && r.unansweredAt.Sub(r.unansweredSince) >= lostAfterQueries
}
