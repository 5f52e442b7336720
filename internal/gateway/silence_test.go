package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// silentEngines returns no report of an engine until the query times out, while it is silent.
type silentEngines struct {
	fakeEngines
	silent  atomic.Pointer[entity.TargetID]
	queries atomic.Int32
}

func (e *silentEngines) Report(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	if id := e.silent.Load(); id != nil && *id == target.ID {
		e.queries.Add(1)
		<-ctx.Done()
		return fleet.Report{}, ctx.Err()
	}
	return fleet.Report{Born: target.Born}, nil
}

// newSilenceGateway returns a gateway with four engines, of which "e" is silent.
func newSilenceGateway(t *testing.T) (g *Gateway, engines *silentEngines) {
	t.Helper()
	engines = &silentEngines{}
	g = New(Options{Engines: engines})
	g.WithFleet(func(f *fleet.Fleet) {
		for _, id := range []entity.TargetID{"e", "f", "g", "h"} {
			f.Put(fleet.Target{ID: id, Zone: "a", Card: "card", Born: 1, Layers: entity.LayerRange{To: 1}})
		}
	})
	go g.ProbeDownEngines(t.Context())
	id := entity.TargetID("e")
	engines.silent.Store(&id)
	return g, engines
}

// awaitEngine returns the time until a condition of the engine "e" holds, or the limit.
func awaitEngine(g *Gateway, limit time.Duration, condition func(f *fleet.Fleet, now time.Time) bool) time.Duration {
	for begin := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		holds := false
		g.WithFleet(func(f *fleet.Fleet) { holds = condition(f, boottime.Now()) })
		if elapsed := time.Since(begin); holds || elapsed >= limit {
			return min(elapsed, limit)
		}
	}
}

func usable(f *fleet.Fleet, now time.Time) bool { return f.Get("e").Usable(now) }

// TestEngineIsUsedSoonAfterSilence guards against a sound engine that is out of use for a second after it answers again.
func TestEngineIsUsedSoonAfterSilence(t *testing.T) {
	const limit = 550 * time.Millisecond
	for name, prepare := range map[string]func(*Gateway){
		"collector": func(g *Gateway) { g.SetOtherLoads(loadshare.Loads{}, loadshare.Instances{Zone: 3, All: 9}, true) },
		"streams wait": func(g *Gateway) {
			g.SetOtherLoads(loadshare.Loads{}, loadshare.Instances{Zone: 3, All: 9}, false)
			addStream(g, "s", 0, pathThrough("f", "e"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, engines := newSilenceGateway(t)
			prepare(g)
			if _, err := g.inspector.inspect(t.Context(), fleet.Target{ID: "e", Born: 1}); err == nil {
				t.Fatal("silent engine gives a report")
			}
			time.Sleep(1100 * time.Millisecond)
			engines.silent.Store(nil)
			if took := awaitEngine(g, 2*time.Second, usable); took > limit {
				t.Errorf("out of use for %v after the silence, want at most %v", took, limit)
			}
		})
	}
}

// TestSilentEngineKeepsItsLayers guards against layers that are placed elsewhere because a sound engine is silent for 1.6 s.
func TestSilentEngineKeepsItsLayers(t *testing.T) {
	t.Parallel()
	const silence, end = 1600 * time.Millisecond, 2700 * time.Millisecond
	g, engines := newSilenceGateway(t)
	g.SetOtherLoads(loadshare.Loads{"e": {Unresponsive: true}}, loadshare.Instances{Zone: 3, All: 9}, true)
	time.AfterFunc(silence, func() { engines.silent.Store(nil) })
	go func() { _, _ = g.inspector.inspect(t.Context(), fleet.Target{ID: "e", Born: 1}) }()
	lost := func(f *fleet.Fleet, now time.Time) bool { return f.LostTargets(now)["e"] }
	if after := awaitEngine(g, end, lost); after < end {
		t.Errorf("lost after %v", after)
	}
}

// TestZoneNoticesDeadEngine guards against layers of an engine that is gone which are placed elsewhere late.
func TestZoneNoticesDeadEngine(t *testing.T) {
	t.Parallel()
	g, engines := newSilenceGateway(t)
	g.SetOtherLoads(loadshare.Loads{"e": {Unresponsive: true}}, loadshare.Instances{Zone: 3, All: 9}, true)
	const slack = 50 * time.Millisecond
	const limit = minDownProbeInterval + reportTimeout + fleet.SilenceLimit + slack
	lost := func(f *fleet.Fleet, now time.Time) bool { return f.LostTargets(now)["e"] }
	took := awaitEngine(g, 2*limit, lost)
	if took > limit {
		t.Errorf("lost after %v, want at most %v", took, limit)
	}
	t.Logf("lost after %v and %d queries", took, engines.queries.Load())
}
