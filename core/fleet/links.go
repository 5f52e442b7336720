package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// SampleTargets returns up to limit targets of a service that are in service, chosen at random in turn from each zone: the links
// to one zone may be cut alone. random returns a number in [0, n).
func (f *Fleet) SampleTargets(now time.Time, service entity.ServiceID, limit int, random func(n int) int) (sample []Target) {
	byZone := make(map[entity.ZoneID][]Target)
	var zones []entity.ZoneID
	for _, state := range f.targets.All {
		if state.Service != service || !state.InService(now) {
			continue
		}
		if byZone[state.Zone] == nil {
			zones = append(zones, state.Zone)
		}
		byZone[state.Zone] = append(byZone[state.Zone], state.Target)
	}
	for len(sample) < limit && len(zones) > 0 {
		remaining := zones[:0]
		for _, zone := range zones {
			targets := byZone[zone]
			chosen := random(len(targets))
			if len(sample) < limit {
				sample = append(sample, targets[chosen])
			}
			targets[chosen] = targets[len(targets)-1]
			if byZone[zone] = targets[:len(targets)-1]; len(targets) > 1 {
				remaining = append(remaining, zone)
			}
		}
		zones = remaining
	}
	return sample
}

// isolatedFrom reports whether this instance is isolated from the service of a target.
func (f *Fleet) isolatedFrom(state *State) bool {
	return f.Isolated != nil && f.Isolated(state.Service)
}

// ForgetFailures ends the suspicion of all targets of a service and counts them as responsive: what was recorded while this
// instance had lost its links to them says nothing about their health.
func (f *Fleet) ForgetFailures(now time.Time, service entity.ServiceID) {
	for _, state := range f.targets.All {
		if state.Service != service {
			continue
		}
		state.consecutiveFailures, state.suspectUntil, state.suspectedSilent = 0, time.Time{}, false
		state.reachability.downUntil = now
	}
}
