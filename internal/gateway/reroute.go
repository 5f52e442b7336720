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
	evacuationSpread = 600 * time.Millisecond
	// lateEvacuation is the time after which those that are left may cross zones: they are few, so the pipe between zones
	// bears them, and the engine serves nobody before they are gone.
	lateEvacuation = 1200 * time.Millisecond
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
type Reroute struct {
	Outcome RerouteOutcome
	// Blocking is the address of the engine that blocks, if the outcome is RerouteBlocked and the engine names one.
	Blocking string
}

// reroute has other engines take the layers of those at fault, on the connection of the attempt. It reports false if the
// attempt cannot go on so.
func (s *stream) reroute(ctx context.Context, faults []fleet.Target) bool {
	if !s.leave(ctx, faults, false) {
		return false
	}
	for _, target := range faults {
		s.gateway.failed(target.ID, s.ID, "no progress, the stream was rerouted")
	}
	return true
}

// leave has other engines take the layers of some, on the connection of the attempt; crossing allows engines of any zone.
// One change of path is made at a time, so that the engine and this instance agree on the last one.
func (s *stream) leave(ctx context.Context, targets []fleet.Target, crossing bool) bool {
	s.rerouting.Lock()
	defer s.rerouting.Unlock()
	if s.reroutes.Load() >= maxReroutes {
		return false
	}
	left := make(map[entity.TargetID]bool, len(targets))
	for _, target := range targets {
		left[target.ID] = true
	}
	avoid := make(map[entity.TargetID]bool)
	for range maxRerouteOrders {
		if !slices.ContainsFunc(s.targets(), func(target fleet.Target) bool { return left[target.ID] }) {
			return ctx.Err() == nil // an earlier change has left them, or the attempt has ended
		}
		old, changed := s.chooseReroute(left, avoid, crossing)
		if changed == nil {
			log.Event("no other engines for a stream", "request", s.ID, "left", len(left), "avoided", len(avoid))
			return false
		}
		answer, again := s.orderReroute(ctx, old, changed)
		if answer.Outcome == Rerouted {
			return true
		}
		if !again {
			return false
		}
		if blocking, found := changed.TargetByAddress(answer.Blocking); found {
			avoid[blocking.ID] = true
			left[blocking.ID] = true // if it was on the old path already
		}
	}
	return false
}

// Evacuate reroutes the streams that run layers on an engine that gives these up. The engine loads others only when no
// stream passes through it any more, which takes as long as the longest stream. Each stream leaves at a moment of its own
// within evacuationSpread, since the engines that take over read all its tokens.
func (g *Gateway) Evacuate(target fleet.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		if !s.path.RunsLayersOutside(target.ID, target.Layers) {
			continue
		}
		ctx := s.attempt
		time.AfterFunc(rand.N(evacuationSpread), func() { s.evacuate(ctx, target, false) })
		time.AfterFunc(lateEvacuation+rand.N(evacuationSpread), func() { s.evacuate(ctx, target, true) })
	}
}

// evacuate reroutes an attempt around an engine if it still uses that one.
func (s *stream) evacuate(ctx context.Context, target fleet.Target, crossing bool) {
	if ctx.Err() == nil {
		s.leave(ctx, []fleet.Target{target}, crossing)
	}
}

// chooseReroute returns the path of the attempt and the one to replace it, nil if there is none. The latter is reserved.
func (s *stream) chooseReroute(fault, avoid map[entity.TargetID]bool, crossing bool) (old, changed *dispatch.Path) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.path == nil {
		return nil, nil
	}
	for id := range s.avoid {
		avoid[id] = true
	}
	// A stream that may start anew does so rather than fill the pipe between zones.
	window, now, instances := s.gateway.repetitions(s.service.ID)
	crossing = crossing || !s.resumable || !window.Allows(now, instances)
	return s.path, s.gateway.dispatcher.Reroute(boottime.Now(), s.service, s.path, fault, avoid, crossing)
}

// orderReroute orders one change of path. again says that another path may be tried.
func (s *stream) orderReroute(ctx context.Context, old, changed *dispatch.Path) (answer Reroute, again bool) {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	first := changed.Stages[0].Target
	answer, err := s.gateway.options.Engines.Reroute(ctx, first, s.ID, hopsOf(changed))
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	kept := s.settleReroute(old, changed, answer.Outcome)
	log.Event("reroute ordered", "request", s.ID, "outcome", answer.Outcome.String(), "kept", kept, "path", pathName(changed),
		"blocking", answer.Blocking, "error", reason)
	return answer, kept && answer.Outcome == RerouteBlocked && answer.Blocking != ""
}

// settleReroute puts the new path in place of the old one or drops it. It reports false if the attempt has ended meanwhile.
func (s *stream) settleReroute(old, changed *dispatch.Path, outcome RerouteOutcome) bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	current := s.path == old
	if current && outcome == Rerouted {
		s.path = changed
		s.reroutes.Add(1)
		s.gateway.dispatcher.Release(old)
		return true
	}
	s.gateway.dispatcher.Release(changed)
	if outcome == RerouteUnknown {
		// The order may be carried out later, on a new attempt at the same engine.
		s.avoid[changed.Stages[0].Target.ID] = true
	}
	return current
}
