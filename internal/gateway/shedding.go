package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/shedding"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// minSheddingLogInterval is the shortest time between two log lines about a service that begins and stops to refuse
// generations in quick succession.
const minSheddingLogInterval = time.Second

// ownUpdateInterval is the time between two updates of an instance that no longer gets the counts of the others. It equals the
// shortest interval at which instances exchange loads.
const ownUpdateInterval = 250 * time.Millisecond

// shedder holds what an instance knows of the overload of one service. It is guarded by gateway.mu.
type shedder struct {
	// windows holds the counts of this instance by rank.
	windows    []shedding.Window
	controller shedding.Controller
	limits     map[callerGroup]*shedding.TimeLimits
	// updatedAt is when the controller was updated last, and utilization the part of KV cache in use from which it was.
	updatedAt   time.Time
	utilization float64
	// refuses reports whether the last log line said that the instance refuses generations; loggedAt is the time of that line.
	refuses  bool
	loggedAt time.Time
}

// callerGroup is the callers that are taken to begin with about the same time limit. An account that states long or short
// limits only affects its own callers.
type callerGroup struct {
	route   string
	account entity.AccountID
}

// shedder returns the state of a service with the given number of ranks and creates it if needed. The caller holds g.mu.
func (g *Gateway) shedder(service entity.ServiceID, ranks int) *shedder {
	s := g.shedders[service]
	if s == nil {
		s = &shedder{limits: make(map[callerGroup]*shedding.TimeLimits)}
		g.shedders[service] = s
	}
	for len(s.windows) < ranks {
		s.windows = append(s.windows, shedding.Window{})
	}
	return s
}

// counts returns the counts of this instance by rank.
func (s *shedder) counts(now time.Time) []shedding.Counts {
	counts := make([]shedding.Counts, len(s.windows))
	for rank := range s.windows {
		counts[rank] = s.windows[rank].Counts(now)
	}
	return counts
}

// returned reports whether a caller has probably been refused before.
func (s *shedder) returned(group callerGroup, limit time.Duration, now time.Time) bool {
	limits := s.limits[group]
	if limits == nil {
		limits = &shedding.TimeLimits{}
		s.limits[group] = limits
	}
	return limit > 0 && limits.Returned(now, limit)
}

// sheds reports whether a stream that has just arrived is refused because its service is overloaded. A caller that was
// refused before is admitted like one of the next more urgent rank, since it does not come back again.
func (s *stream) sheds() bool {
	rank, ranks := s.rank()
	if ranks < 2 || s.LastEventID >= 0 { // a refused resumption would waste what the engines have generated
		return false
	}
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	now := boottime.Now()
	overload := s.gateway.shedder(s.service.ID, ranks)
	s.offeredRank = rank
	overload.windows[rank].RecordOffered(now)
	s.gateway.updateFromOwnCounts(overload, now)
	if overload.returned(callerGroup{s.route.Name, s.account.ID}, s.Timeout, now) {
		rank = max(0, rank-1)
	}
	return overload.controller.Sheds(rank, rand.Float64())
}

// recordLate counts a stream whose first event was late, or that was refused for lack of capacity.
func (s *stream) recordLate() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.countLate()
}

// countLate is recordLate for callers that hold gateway.mu. Each stream counts once.
func (s *stream) countLate() {
	if s.offeredRank >= 0 && !s.lateCounted {
		s.lateCounted = true
		s.gateway.shedder(s.service.ID, s.offeredRank+1).windows[s.offeredRank].RecordLate(boottime.Now())
	}
}

// countOverdue counts the streams in progress whose first event is overdue, before it arrives. The caller holds g.mu.
func (g *Gateway) countOverdue() {
	now := time.Now()
	for s := range g.streams {
		if !s.eventForwarded.Load() && s.overdue(now.Sub(s.arrivedAt)) {
			s.countLate()
		}
	}
}

// overdue reports whether a first event after the given time misses the objective of the route.
func (s *stream) overdue(after time.Duration) bool {
	return s.route.Objective > 0 && after > s.route.Objective
}

// addCounts adds this instance's counts of late generations to the loads that it shares. The caller holds g.mu.
func (g *Gateway) addCounts(loads loadshare.Loads) {
	g.countOverdue()
	now := boottime.Now()
	for id, s := range g.shedders {
		loads.AddCounts(id, s.counts(now))
	}
}

// dropShedders drops the state of services that have left the configuration. The caller holds g.mu.
func (g *Gateway) dropShedders() {
	configuration := g.configuration.Load()
	for id := range g.shedders {
		if configuration.Services[id] == nil {
			delete(g.shedders, id)
		}
	}
}

// updateShedding adapts what is refused to the counts of all instances. The caller holds g.mu.
func (g *Gateway) updateShedding(others map[entity.ServiceID][]shedding.Counts) {
	now := boottime.Now()
	for id, s := range g.shedders {
		counts := s.counts(now)
		for rank, other := range others[id] {
			if rank < len(counts) {
				counts[rank] = counts[rank].Add(other)
			} else {
				counts = append(counts, other)
			}
		}
		s.updatedAt, s.utilization = now, g.utilization(now, id)
		s.controller.Update(now, counts, s.utilization)
		s.logChange(now, id, counts)
	}
}

// updateFromOwnCounts adapts what is refused to the counts of this instance if those of the others are out of date. An instance
// that is partitioned from its zone tries the other members one after the other before it collects loads itself, which takes 20 s with
// 20 members; until then it would refuse what it refused before. The caller holds g.mu.
func (g *Gateway) updateFromOwnCounts(s *shedder, now time.Time) {
	if _, valid := g.dispatcher.Fleet.SharedLoadAge(now); !valid && now.Sub(s.updatedAt) >= ownUpdateInterval {
		g.updateShedding(nil)
	}
}

// logChange logs that the instance has begun or stopped to refuse generations of a service. counts are those of all instances.
func (s *shedder) logChange(now time.Time, service entity.ServiceID, counts []shedding.Counts) {
	refuses := false
	for rank := range counts {
		refuses = refuses || s.controller.ShedShare(rank) > 0
	}
	if refuses == s.refuses || now.Sub(s.loggedAt) < minSheddingLogInterval {
		return
	}
	s.refuses, s.loggedAt = refuses, now
	log.Event("shedding changed", "service", service, "refuses", refuses, "excess", s.controller.Excess(),
		"utilization", s.utilization, "counts", formatCounts(counts))
}

// formatCounts returns the offered and late generations by rank, most urgent first, as they appear in logs.
func formatCounts(counts []shedding.Counts) string {
	texts := make([]string, len(counts))
	for rank, count := range counts {
		texts[rank] = fmt.Sprintf("%d/%d", count.Offered, count.Late)
	}
	return strings.Join(texts, ",")
}

// SheddingState is the input and the outcome of the last decision about a service.
type SheddingState struct {
	// Excess is the part of the load that is refused, Utilization the part of KV cache in use.
	Excess, Utilization float64
}

// Shedding returns the state of each service with routes of several priorities.
func (g *Gateway) Shedding() map[entity.ServiceID]SheddingState {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make(map[entity.ServiceID]SheddingState, len(g.shedders))
	for id, s := range g.shedders {
		states[id] = SheddingState{Excess: s.controller.Excess(), Utilization: s.utilization}
	}
	return states
}

// utilization returns the part of the KV cache in use at the fullest layer: in the zone of this instance, or in all zones if the
// zone lacks layers. The caller holds g.mu.
func (g *Gateway) utilization(now time.Time, id entity.ServiceID) float64 {
	service := g.configuration.Load().Services[id]
	if service == nil || service.Engine == nil {
		return 0
	}
	if own, complete := g.dispatcher.Utilization(now, service, g.options.Zone); complete {
		return own
	}
	all, _ := g.dispatcher.Utilization(now, service, "")
	return all
}

// leastUrgentPriority is the priority of the least urgent generations at engines.
const leastUrgentPriority = 9

// enginePriority returns the priority of the stream at engines.
func (s *stream) enginePriority() int {
	rank, ranks := s.rank()
	if ranks == 1 {
		return min(leastUrgentPriority, max(0, s.priority()))
	}
	return rank * (leastUrgentPriority + 1) / max(leastUrgentPriority+1, ranks)
}
