package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// maxReroutes bounds the engines' losses that one attempt survives on its connection.
	maxReroutes = 4
	// maxRerouteOrders bounds the paths that are tried for one loss: an engine of a new path may turn out to be lost too.
	maxRerouteOrders = 3
	// rerouteTimeout bounds one order. A caller leaves after a pause of two seconds, and a new attempt must still fit.
	rerouteTimeout = 200 * time.Millisecond
	// evacuationSpread is the time within which streams leave an engine that gives up layers: some fifty streams, of which
	// the engines that take over read one in about 10 ms.
	engineDrainSpread = 600 * time.Millisecond
	// lateEvacuation is the time after which those that are left may cross zones: they are few, so the pipe between zones
	// bears them, and the engine serves nobody before they are gone.
	crossZoneDrainDelay = 1200 * time.Millisecond
)

// RerouteOutcome is the result of an order to send a request along another path.
type RerouteOutcome int

// The outcomes. After RerouteUnknown the order may be carried out later.
const (
	RerouteUnknown RerouteOutcome = iota
	Rerouted
	// RerouteBlocked says that an engine of the new path cannot take its part.
	RerouteBlocked
	// RerouteRefused says that the first engine does not carry the order out, for example because the request has ended.
	RerouteRefused
)

// String returns the outcome for logs.
func (o RerouteOutcome) String() string {
	return [...]string{"unknown", "rerouted", "blocked", "refused"}[o]
}

// Reroute is the answer of a first engine to such an order.
type RerouteResult struct {
	Outcome RerouteOutcome
	// Blocking is the address of the engine that blocks, if the outcome is RerouteBlocked and the engine names one.
	Blocking string
}

// reroute has other engines take the layers of those at fault, on the connection of the attempt. It reports false if the
// attempt cannot go on so.
func (s *stream) reroute(ctx context.Context, faulty []fleet.Target) bool {
	if !s.rerouteAround(ctx, faulty, false) {
		return false
	}
	for _, target := range faulty {
		s.gateway.recordFailure(target.ID, s.ID, "no progress, the stream was rerouted")
	}
	return true
}

// leave has other engines take the layers of some, on the connection of the attempt; crossing allows engines of any zone.
// One change of path is made at a time, so that the engine and this instance agree on the last one.
func (s *stream) rerouteAround(ctx context.Context, targets []fleet.Target, crossZone bool) bool {
	s.rerouteMu.Lock()
	defer s.rerouteMu.Unlock()
	if s.reroutes.Load() >= maxReroutes {
		return false
	}
	excluded := make(map[entity.TargetID]bool, len(targets))
	for _, target := range targets {
		excluded[target.ID] = true
	}
	avoid := make(map[entity.TargetID]bool)
	for range maxRerouteOrders {
		if !slices.ContainsFunc(s.targets(), func(target fleet.Target) bool { return excluded[target.ID] }) {
			return ctx.Err() == nil // an earlier change has left them, or the attempt has ended
		}
		oldPath, newPath := s.chooseReroute(excluded, avoid, crossZone)
		if newPath == nil {
			log.Event("no other engines for a stream", "request", s.ID, "left", len(excluded), "avoided", len(avoid))
			return false
		}
		result, retry := s.orderReroute(ctx, oldPath, newPath)
		if result.Outcome == Rerouted {
			return true
		}
		if !retry {
			return false
		}
		if blocking, found := newPath.TargetByAddress(result.Blocking); found {
			avoid[blocking.ID] = true
			excluded[blocking.ID] = true // if it was on the old path already
		}
	}
	return false
}

// Evacuate reroutes the streams that run layers on an engine that gives these up. The engine loads others only when no
// stream passes through it any more, which takes as long as the longest stream. Each stream leaves at a moment of its own
// within evacuationSpread, since the engines that take over read all its tokens.
func (g *Gateway) DrainEngine(target fleet.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		if !s.path.RunsLayersOutside(target.ID, target.Layers) {
			continue
		}
		ctx := s.attemptCtx
		time.AfterFunc(rand.N(engineDrainSpread), func() { s.drainFrom(ctx, target, false) })
		time.AfterFunc(crossZoneDrainDelay+rand.N(engineDrainSpread), func() { s.drainFrom(ctx, target, true) })
	}
}

// evacuate reroutes an attempt around an engine if it still uses that one.
func (s *stream) drainFrom(ctx context.Context, target fleet.Target, crossZone bool) {
	if ctx.Err() == nil {
		s.rerouteAround(ctx, []fleet.Target{target}, crossZone)
	}
}

// chooseReroute returns the path of the attempt and the one to replace it, nil if there is none. The latter is reserved.
func (s *stream) chooseReroute(faulty, avoid map[entity.TargetID]bool, crossZone bool) (oldPath, newPath *dispatch.Path) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.path == nil {
		return nil, nil
	}
	for id := range s.avoid {
		avoid[id] = true
	}
	// A stream that may start anew does so rather than fill the pipe between zones.
	window, now, instances := s.gateway.retryState(s.service.ID)
	crossZone = crossZone || !s.resumable || !window.Allows(now, instances)
	return s.path, s.gateway.dispatcher.Reroute(boottime.Now(), s.service, s.path, faulty, avoid, crossZone)
}

// orderReroute orders one change of path. again says that another path may be tried.
func (s *stream) orderReroute(ctx context.Context, oldPath, newPath *dispatch.Path) (result RerouteResult, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	first := newPath.Stages[0].Target
	result, err := s.gateway.options.Engines.Reroute(ctx, first, s.ID, hopsOf(newPath))
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	kept := s.applyReroute(oldPath, newPath, result.Outcome)
	log.Event("reroute ordered", "request", s.ID, "outcome", result.Outcome.String(), "kept", kept, "path", formatPath(newPath),
		"blocking", result.Blocking, "error", reason)
	return result, kept && result.Outcome == RerouteBlocked && result.Blocking != ""
}

// settleReroute puts the new path in place of the old one or drops it. It reports false if the attempt has ended meanwhile.
func (s *stream) applyReroute(oldPath, newPath *dispatch.Path, outcome RerouteOutcome) bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	current := s.path == oldPath
	if current && outcome == Rerouted {
		s.path = newPath
		s.reroutes.Add(1)
		s.gateway.dispatcher.Release(oldPath)
		return true
	}
	s.gateway.dispatcher.Release(newPath)
	if outcome == RerouteUnknown {
		// The order may be carried out later, on a new attempt at the same engine.
		s.avoid[newPath.Stages[0].Target.ID] = true
	}
	return current
}
