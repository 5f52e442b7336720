package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// fakeEngines returns reports for the engines that are not dead, and records which engines were asked for one.
type fakeEngines struct {
	mu    sync.Mutex
	dead  map[entity.TargetID]bool
	asked []entity.TargetID
	// orderedPaths holds the paths of all reroute orders; each order takes orderDelay.
	orderedPaths [][]Hop
	orderDelay   time.Duration
}

func (e *fakeEngines) Report(_ context.Context, target fleet.Target) (fleet.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, target.ID)
	if e.dead[target.ID] {
		return fleet.Report{}, errors.New("no answer")
	}
	return fleet.Report{Born: target.Born}, nil
}

func (e *fakeEngines) Reroute(_ context.Context, _ fleet.Target, _ string, path []Hop) (RerouteResult, error) {
	time.Sleep(e.orderDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderedPaths = append(e.orderedPaths, path)
	return RerouteResult{Outcome: Rerouted}, nil
}

// pathThrough returns a path through the given engines, with one layer on each.
func pathThrough(ids ...entity.TargetID) *dispatch.Path {
	path := &dispatch.Path{}
	for i, id := range ids {
		path.Stages = append(path.Stages, dispatch.Stage{
			Target: fleet.Target{ID: id, Born: 1}, Layers: entity.LayerRange{From: i, To: i + 1},
		})
	}
	return path
}

// addStream adds a stream that last made progress the given time ago.
func addStream(g *Gateway, id string, sinceProgress time.Duration, path *dispatch.Path) *stream {
	s := &stream{request: &request{Call: &Call{ID: id}, gateway: g}, path: path}
	s.forwardedAt.Store(int64(g.age() - sinceProgress))
	g.streams[s] = struct{}{}
	return s
}

// TestTargetsWithoutProgress guards against early checks of engines through which other streams make progress: reading
// the reports of all engines of a path at each short gap would cost more than it saves.
func TestTargetsWithoutProgress(t *testing.T) {
	g := New(Options{Engines: &fakeEngines{}})
	stalled := addStream(g, "s", time.Minute, pathThrough("a", "b", "c", "d"))
	addStream(g, "recent", 0, pathThrough("a", "x"))
	addStream(g, "old", 2*aliveWindow, pathThrough("b"))
	addStream(g, "recent too", aliveWindow/2, pathThrough("y", "d"))
	var got []entity.TargetID
	for _, target := range stalled.targetsWithoutProgress() {
		got = append(got, target.ID)
	}
	if !slices.Equal(got, []entity.TargetID{"b", "c"}) {
		t.Errorf("engines without progress: %v, want b and c", got)
	}
}

// TestCheckDelayFollowsEventGap guards against checks that come too late for a stream with short gaps between events,
// where a reroute has to end the gap within the 200 ms that callers expect, and against early checks of a stream that
// has no events yet or is slow anyway.
func TestCheckDelayFollowsEventGap(t *testing.T) {
	for _, test := range []struct {
		name string
		gap  time.Duration
		want time.Duration
	}{
		{"no event yet", 0, stallCheckDelay},
		{"very quick", 10 * time.Millisecond, minEarlyCheckDelay},
		{"usual", 45 * time.Millisecond, 112500 * time.Microsecond},
		{"slow", 150 * time.Millisecond, stallCheckDelay},
	} {
		w := &watchdog{meanGap: test.gap}
		if _, checkDelay, _ := w.state(); checkDelay != test.want {
			t.Errorf("%s: check delay %v, want %v", test.name, checkDelay, test.want)
		}
	}
}

// TestWatchdogReroutesAroundDeadEngines guards against a watchdog that misses the dead engine among those without
// progress, and against one that cancels an attempt that can be rerouted.
func TestWatchdogReroutesAroundDeadEngines(t *testing.T) {
	for _, canReroute := range []bool{true, false} {
		engines := &fakeEngines{dead: map[entity.TargetID]bool{"c": true}}
		g := New(Options{Engines: engines})
		stalled := addStream(g, "s", time.Minute, pathThrough("a", "b", "c"))
		addStream(g, "other", 0, pathThrough("a", "b"))
		var faulty []fleet.Target
		cancelled := false
		w := &watchdog{
			inspector: g.inspector, meanGap: 10 * time.Millisecond,
			lastArrival: time.Now().Add(-minEarlyCheckDelay - time.Millisecond),
			timer:       time.NewTimer(time.Hour),
			attempt: watchedAttempt{
				requestID: "s", targets: stalled.targets, targetsWithoutProgress: stalled.targetsWithoutProgress,
				stallTimeout: func() time.Duration { return time.Minute }, replaceable: func() bool { return true },
				reserveNext: func([]fleet.Target, bool) bool { return true },
				reroute: func(_ context.Context, targets []fleet.Target) bool {
					faulty = targets
					return canReroute
				},
				cancel: func() { cancelled = true }, begun: func() bool { return true },
			},
		}
		w.check(context.Background())
		if len(faulty) != 1 || faulty[0].ID != "c" || cancelled == canReroute {
			t.Errorf("can reroute %v: found faulty %v, cancelled %v", canReroute, faulty, cancelled)
		}
		if !slices.Equal(engines.asked, []entity.TargetID{"c"}) {
			t.Errorf("reports read of engines %v, want c only", engines.asked)
		}
		w.stop()
	}
}

// TestSilentEngineWithoutRetryIsWaitedFor guards against a stream that is cut because it was to be retried and other
// streams took the last retry.
func TestSilentEngineWithoutRetryIsWaitedFor(t *testing.T) {
	for _, retryLeft := range []bool{true, false} {
		g := New(Options{Engines: &fakeEngines{}})
		cancelled := false
		w := &watchdog{
			inspector: g.inspector, lastArrival: time.Now().Add(-time.Second), timer: time.NewTimer(time.Hour),
			attempt: watchedAttempt{
				requestID: "s", stallTimeout: func() time.Duration { return time.Minute },
				replaceable: func() bool { return true }, reserveNext: func([]fleet.Target, bool) bool { return retryLeft },
				cancel: func() { cancelled = true }, begun: func() bool { return true },
			},
		}
		w.cancelOrWait(context.Background(), []fleet.Target{{ID: "silent"}}, false)
		if cancelled != retryLeft {
			t.Errorf("retry left %v: cancelled %v", retryLeft, cancelled)
		}
		w.stop()
	}
}

// TestLastAttemptIsKeptAfterSilence guards against a request that has got nothing yet and whose last attempt is given up on a
// report from before the end of a silence.
func TestLastAttemptIsKeptAfterSilence(t *testing.T) {
	for _, silent := range []bool{true, false} {
		engines := &fakeEngines{dead: map[entity.TargetID]bool{"e": true}}
		g := New(Options{Engines: engines})
		engine := fleet.Target{ID: "e", Born: 1}
		if _, err := g.inspector.inspect(context.Background(), engine); err == nil {
			t.Fatal("the silent engine gave a report")
		}
		engines.dead["e"] = silent
		cancelled := false
		w := &watchdog{
			inspector: g.inspector, lastArrival: time.Now().Add(-fleet.SilenceLimit), timer: time.NewTimer(time.Hour),
			attempt: watchedAttempt{
				requestID: "s", targets: func() []fleet.Target { return []fleet.Target{engine} },
				stallTimeout: func() time.Duration { return time.Minute }, replaceable: func() bool { return false },
				reroute: func(context.Context, []fleet.Target) bool { return false }, begun: func() bool { return false },
				cancel: func() { cancelled = true },
			},
		}
		w.check(context.Background())
		if cancelled != silent {
			t.Errorf("engine silent %v: cancelled %v", silent, cancelled)
		}
		w.stop()
	}
}

// TestSlowCallerIsNotStalledEngine guards against a stream that is cancelled because its caller does not read.
func TestSlowCallerIsNotStalledEngine(t *testing.T) {
	w := &watchdog{lastArrival: time.Now()}
	w.beginWrite()
	w.lastArrival, w.writingSince = w.lastArrival.Add(-time.Minute), w.writingSince.Add(-time.Minute)
	if idle, _, _ := w.state(); idle != 0 {
		t.Errorf("while an event is written the stream counts as idle for %v", idle)
	}
	w.endWrite()
	if idle, _, _ := w.state(); idle > time.Second {
		t.Errorf("after an event was written the stream counts as idle for %v", idle)
	}
}

// TestReroutesOneAtATime guards against overlapping reroutes of a stream. They occur if two engines of its path have to
// be replaced at once, one that is lost and one that unloads layers, and would leave the first engine and this instance
// with different paths. The stream has to end on a path without both engines.
func TestReroutesOneAtATime(t *testing.T) {
	engines := &fakeEngines{orderDelay: 20 * time.Millisecond}
	g := New(Options{Engines: engines, Zone: "a"})
	service := &routing.Service{ID: "llm", Engine: &routing.Engine{
		Layers: 3, LayerBytes: 1e9, KVBytesPerToken: 3000, PrefillRate: 1000, StepTime: time.Millisecond, MaxSequences: 100,
		Cards: map[string]routing.Card{"card": {MemoryBytes: 4e9, DecodeFactor: 1, PrefillFactor: 1}},
	}}
	for i, id := range []entity.TargetID{"a", "b", "c", "b2", "c2"} {
		from := (i-1)%2 + 1
		if i == 0 {
			from = 0
		}
		g.dispatcher.Fleet.Put(fleet.Target{
			ID: id, Service: "llm", Zone: "a", Card: "card", Born: 1, Layers: entity.LayerRange{From: from, To: from + 1},
		})
	}
	s := addStream(g, "s", 0, pathThrough("a", "b", "c"))
	s.service, s.route = service, &routing.Route{}
	for i := range s.path.Stages {
		s.path.Stages[i].Target.Zone = "a"
	}
	var wg sync.WaitGroup
	for _, id := range []entity.TargetID{"b", "c"} {
		wg.Go(func() {
			if !s.rerouteAround(context.Background(), []fleet.Target{{ID: id}}, false) {
				t.Errorf("stream was not rerouted around %s", id)
			}
		})
	}
	wg.Wait()
	var got []entity.TargetID
	for _, target := range s.targets() {
		got = append(got, target.ID)
	}
	if want := []entity.TargetID{"a", "b2", "c2"}; !slices.Equal(got, want) {
		t.Errorf("stream is on %v, want %v", got, want)
	}
	if last := engines.orderedPaths[len(engines.orderedPaths)-1]; last[1].Target != "b2" || last[2].Target != "c2" {
		t.Errorf("last reroute order was for path %v, want b2 and c2 on it", last)
	}
	if s.rerouteAround(context.Background(), []fleet.Target{{ID: "b"}}, false); len(engines.orderedPaths) != 2 {
		t.Errorf("%d reroute orders, want 2", len(engines.orderedPaths))
	}
}
