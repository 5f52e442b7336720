package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// maxReroutes is the maximum number of reroutes of one stream.
	maxReroutes = 4
	// maxRerouteOrders is the maximum number of new paths tried for one reroute: an engine of a new path may be down
	// too.
	maxRerouteOrders = 3
	// rerouteTimeout bounds one reroute order. A caller disconnects after two seconds without an event, and there must
	// be time left for a new attempt.
	rerouteTimeout = 200 * time.Millisecond
	// unloadRerouteSpread is the period over which the reroutes of streams away from an engine that unloads layers are
	// spread. About fifty streams pass through it, and the engines that replace it take about 10 ms to prefill each.
	unloadRerouteSpread = 600 * time.Millisecond
	// unloadCrossZoneDelay is the time after which the remaining streams may be rerouted to other zones. These are few,
	// so the link between zones can carry their tokens, and the engine serves no new streams until they have gone.
	unloadCrossZoneDelay = 1200 * time.Millisecond
)

// RerouteOutcome is the outcome of an order to move a request to another path.
type RerouteOutcome int

// Outcomes of a reroute order. After RerouteUnknown the engine may still carry the order out later.
const (
	RerouteUnknown RerouteOutcome = iota
	Rerouted
	// RerouteBlocked means that an engine of the new path cannot run its layers for the request.
	RerouteBlocked
	// RerouteRefused means that the first engine rejects the order, for example because the request has ended.
	RerouteRefused
)

// String returns the name of the outcome in logs.
func (o RerouteOutcome) String() string {
	return [...]string{"unknown", "rerouted", "blocked", "refused"}[o]
}

// RerouteResult is the response of the first engine of a path to a reroute order.
type RerouteResult struct {
	Outcome RerouteOutcome
	// Blocking is the address of the engine that cannot run its layers, if the outcome is RerouteBlocked and the first
	// engine names it.
	Blocking string
}

// reroute replaces the faulty engines of the attempt's path while the connection to the first engine stays open. It
// returns false if that is not possible.
func (s *stream) reroute(ctx context.Context, faulty []fleet.Target) bool {
	if !s.rerouteAround(ctx, faulty, false) {
		return false
	}
	for _, target := range faulty {
		s.gateway.recordFailure(target.ID, s.ID, "no progress, stream was rerouted")
	}
	return true
}

// rerouteAround replaces the given engines of the attempt's path while the connection to the first engine stays open.
// crossZone allows replacements in any zone. Only one reroute of a stream is in progress at a time, so that the first
// engine and this instance agree on the path.
func (s *stream) rerouteAround(ctx context.Context, targets []fleet.Target, crossZone bool) bool {
	s.rerouteMu.Lock()
	defer s.rerouteMu.Unlock()
	if s.reroutes.Load() >= maxReroutes {
		return false
	}
	toReplace := make(map[entity.TargetID]bool, len(targets))
	for _, target := range targets {
		toReplace[target.ID] = true
	}
	avoid := make(map[entity.TargetID]bool)
	for range maxRerouteOrders {
		if !slices.ContainsFunc(s.targets(), func(target fleet.Target) bool { return toReplace[target.ID] }) {
			return ctx.Err() == nil // an earlier reroute has replaced them, or the attempt has ended
		}
		oldPath, newPath := s.chooseReroute(toReplace, avoid, crossZone)
		if newPath == nil {
			log.Event("no other engines for a stream", "request", s.ID, "left", len(toReplace), "avoided", len(avoid))
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
			toReplace[blocking.ID] = true // in case it is on the old path too
		}
	}
	return false
}

// RerouteFromUnloadingEngine reroutes the streams that use layers that an engine no longer offers. The engine loads
// other layers only when no stream passes through it any more, which without rerouting would take as long as the
// longest stream. The reroutes are spread randomly over unloadRerouteSpread, since the replacement engines prefill all
// tokens of each stream.
func (g *Gateway) RerouteFromUnloadingEngine(target fleet.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		if !s.path.RunsLayersOutside(target.ID, target.Layers) {
			continue
		}
		ctx := s.attemptCtx
		time.AfterFunc(rand.N(unloadRerouteSpread), func() { s.rerouteIfActive(ctx, target, false) })
		time.AfterFunc(unloadCrossZoneDelay+rand.N(unloadRerouteSpread), func() { s.rerouteIfActive(ctx, target, true) })
	}
}

// rerouteIfActive reroutes an attempt around an engine if it is still in progress and still uses that engine.
func (s *stream) rerouteIfActive(ctx context.Context, target fleet.Target, crossZone bool) {
	if ctx.Err() == nil {
		s.rerouteAround(ctx, []fleet.Target{target}, crossZone)
	}
}

// chooseReroute returns the path of the attempt and a reserved new path on which engines that are not in avoid take the
// place of those in toReplace. newPath is nil if there is none.
func (s *stream) chooseReroute(toReplace, avoid map[entity.TargetID]bool,
	crossZone bool) (oldPath, newPath *dispatch.Path) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.path == nil || s.gateway.targetBacksOff(s.path.Stages[0].Target.ID) {
		return nil, nil
	}
	for id := range s.avoid {
		avoid[id] = true
	}
	// A stream that can be retried is retried rather than rerouted across zones, which would saturate the link between
	// them.
	window, now, instances := s.gateway.retryState(s.service.ID)
	crossZone = crossZone || !s.route.Repeatable() || s.firstEngines() != nil || !window.Allows(now, instances)
	return s.path, s.gateway.dispatcher.Reroute(boottime.Now(), s.service, s.path, toReplace, avoid, crossZone)
}

// orderReroute orders the first engine to use the new path. retry reports whether another path may be tried.
func (s *stream) orderReroute(ctx context.Context, oldPath, newPath *dispatch.Path) (result RerouteResult, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	first := newPath.Stages[0].Target
	result, err := s.gateway.options.Engines.Reroute(ctx, first, s.ID, hopsOf(newPath))
	var refused *fleet.BackoffError
	if errors.As(err, &refused) {
		s.gateway.recordBackoff(first, refused.For)
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	kept := s.applyReroute(oldPath, newPath, result.Outcome)
	log.Event("reroute ordered", "request", s.ID, "outcome", result.Outcome.String(), "kept", kept,
		"path", formatPath(newPath), "blocking", result.Blocking, "error", reason)
	return result, kept && result.Outcome == RerouteBlocked && result.Blocking != ""
}

// applyReroute replaces the old path by the new one, or releases the new one if the reroute failed. It returns false if
// the attempt has ended in the meantime.
func (s *stream) applyReroute(oldPath, newPath *dispatch.Path, outcome RerouteOutcome) bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	current := s.path == oldPath
	if current && outcome == Rerouted {
		s.path = newPath
		s.reroutes.Add(1)
		s.gateway.dispatcher.ReplacePath(oldPath, newPath)
		return true
	}
	s.gateway.dispatcher.Release(newPath)
	if outcome == RerouteUnknown {
		// The engine may carry the order out later, on a new attempt of this stream, so that attempt has to avoid it.
		s.avoid[newPath.Stages[0].Target.ID] = true
	}
	return current
}
