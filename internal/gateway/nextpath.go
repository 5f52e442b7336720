package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

// awaitPath returns a reserved path, or nil if it finds none for as long as waitsForPath says. Engines may be missing, full, or
// have just refused the stream.
func (s *stream) awaitPath(ctx context.Context) *dispatch.Path {
	for waited := time.Duration(0); ; waited += waitInterval {
		if path := s.choosePath(); path != nil || ctx.Err() != nil || s.mayRelay() || !s.waitsForPath(waited) {
			return path
		}
		// An engine that refused may have capacity again, and there may be no other.
		s.gateway.mu.Lock()
		clear(s.avoid)
		s.gateway.mu.Unlock()
		s.checkFirstEngines(ctx)
		timing.Sleep(ctx, waitInterval)
	}
}

// waitsForPath reports whether to wait on for a path. A stream that has not begun does not wait for first engines that all
// asked for time, and only shortly for engines that are there but full: those that arrive later would be late too.
func (s *stream) waitsForPath(waited time.Duration) bool {
	switch {
	case s.headWritten.Load():
		return waited < s.resumeWait()
	case s.allBackOff():
		return false
	default:
		return waited < fullTimeout || waited < pathTimeout && !s.enginesFull()
	}
}

// enginesFull reports whether the engines of a zone cover all layers, so that a stream that gets no path is refused for lack
// of room.
func (s *stream) enginesFull() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.gateway.dispatcher.Covered(boottime.Now(), s.service, s.size)
}

// checkFirstEngines checks in the background whether the engines with which the next path must begin have ended: others may
// then take their place.
func (s *stream) checkFirstEngines(ctx context.Context) {
	s.gateway.mu.Lock()
	var unconfirmed []fleet.Target
	if firsts := s.firstEngines(); firsts != nil {
		unconfirmed = firsts.Unconfirmed(s.gateway.dispatcher.Fleet)
	}
	s.gateway.mu.Unlock()
	s.gateway.checkEnded(ctx, unconfirmed, time.Now().Add(-reportTTL))
}

// choosePath returns the path of an attempt: the one that reserveNext has reserved, or one that it chooses and reserves.
func (s *stream) choosePath() *dispatch.Path {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.next != nil {
		s.path, s.next = s.next, nil
		return s.path
	}
	s.path = s.gateway.dispatcher.ChoosePathFrom(boottime.Now(), s.service, s.size, s.avoid, s.firstEngines())
	return s.path
}

// firstEngines returns the engines with which the path of a further attempt may begin, nil for all. A stream that has begun
// goes on at engines on which it may have run once as many as its route allows count. The caller holds gateway.mu.
func (s *stream) firstEngines() *dispatch.Runs {
	ran := &s.ran
	if s.path != nil {
		ran = ran.With(s.path.Stages[0].Target)
	}
	counted := s.counted(ran)
	if counted == 0 || counted < s.route.MaxAttempts {
		return nil
	}
	return ran
}

// reserveNext takes a retry and a path for the attempt that is to follow the one in progress, whose context is attempt, and
// reports whether there were both. It is called before the attempt in progress is cancelled: a silent engine of its path
// may go on, which is better than no path. usable excludes paths with suspected engines.
func (s *stream) reserveNext(attempt context.Context, faulty []fleet.Target, usable bool) bool {
	g := s.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if attempt.Err() != nil || s.retryReserved || s.next != nil || s.path == nil {
		return false
	}
	window, now, instances := g.retryState(s.service.ID)
	if !window.Allows(now, instances) {
		return false
	}
	s.next = s.chooseNext(faulty, usable)
	s.retryReserved = s.next != nil && window.TryAcquire(now, instances)
	return s.retryReserved
}

// chooseNext chooses and reserves a path without the faulty engines, or, if none is known to be faulty, one without any
// engine of the path in progress if there is such a path. The caller holds gateway.mu.
func (s *stream) chooseNext(faulty []fleet.Target, usable bool) *dispatch.Path {
	required := make(map[entity.TargetID]bool)
	preferred := maps.Clone(s.avoid)
	for _, target := range faulty {
		required[target.ID], preferred[target.ID] = true, true
	}
	if len(faulty) == 0 {
		for _, stage := range s.path.Stages {
			preferred[stage.Target.ID] = true
		}
	}
	now, d, firsts := boottime.Now(), s.gateway.dispatcher, s.firstEngines()
	if path := d.ChooseNextPath(now, s.service, s.path, preferred, firsts, usable); path != nil {
		return path
	}
	return d.ChooseNextPath(now, s.service, s.path, required, firsts, usable)
}

// hasNext reports whether a path is reserved for the next attempt.
func (s *stream) hasNext() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.next != nil
}

// releaseNext ends the reservation of a path for an attempt that was not made.
func (s *stream) releaseNext() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	if s.next != nil {
		s.gateway.dispatcher.Release(s.next)
		s.next = nil
	}
}
