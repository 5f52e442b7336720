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

// fakeEngines gives reports for the engines that are not dead and counts the questions.
type fakeEngines struct {
	mu    sync.Mutex
	dead  map[entity.TargetID]bool
	asked []entity.TargetID
	// rerouted holds the paths that were ordered; each order takes orderTime.
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

// pathOver returns a path over engines, one layer each.
func pathThrough(ids ...entity.TargetID) *dispatch.Path {
	path := &dispatch.Path{}
	for i, id := range ids {
		path.Stages = append(path.Stages, dispatch.Stage{
			Target: fleet.Target{ID: id, Born: 1}, Layers: entity.LayerRange{From: i, To: i + 1},
		})
	}
	return path
}

// addStream makes a stream known that made progress a time ago.
func addStream(g *Gateway, id string, sinceProgress time.Duration, path *dispatch.Path) *stream {
	s := &stream{request: &request{Call: &Call{ID: id}, gateway: g}, path: path}
	s.forwardedAt.Store(int64(g.age() - sinceProgress))
	g.streams[s] = struct{}{}
	return s
}

// TestSilentEngines guards that an early question goes only to engines through which no other stream makes progress: asking
// all engines of a path at each short pause would cost more than it saves.
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
		t.Errorf("silent engines %v", got)
	}
}

// TestAlarmFollowsTheStream guards after which pause engines are asked: early for a stream whose events come quickly, so that
// a reroute ends the pause within the 200 ms that callers want, and late for one that has not begun or is slow anyway.
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
		if _, alarm, _ := w.state(); alarm != test.want {
			t.Errorf("%s: %v, want %v", test.name, alarm, test.want)
		}
	}
}

// TestWatchdogReroutesAroundDeadEngines guards that the dead engine among those without progress is found and left, and that
// an attempt is given up only if it cannot be rerouted.
func TestWatchdogReroutesAroundDeadEngines(t *testing.T) {
	for _, canReroute := range []bool{true, false} {
		engines := &fakeEngines{dead: map[entity.TargetID]bool{"c": true}}
		g := New(Options{Engines: engines})
		stalled := addStream(g, "s", time.Minute, pathThrough("a", "b", "c"))
		addStream(g, "other", 0, pathThrough("a", "b"))
		var faulty []fleet.Target
		cancelled := false
		w := &watchdog{
			inspector: g.inspector, meanGap: 10 * time.Millisecond, lastArrival: time.Now().Add(-minEarlyCheckDelay - time.Millisecond),
			timer: time.NewTimer(time.Hour),
			attempt: watchedAttempt{
				requestID: "s", targets: stalled.targets, targetsWithoutProgress: stalled.targetsWithoutProgress,
				stallTimeout: func() time.Duration { return time.Minute },
				reroute: func(_ context.Context, targets []fleet.Target) bool {
					faulty = targets
					return canReroute
				},
				cancel: func() { cancelled = true },
			},
		}
		w.check(context.Background())
		if len(faulty) != 1 || faulty[0].ID != "c" || cancelled == canReroute {
			t.Errorf("reroutes %v: left %v, gave up %v", canReroute, faulty, cancelled)
		}
		if !slices.Equal(engines.asked, []entity.TargetID{"c"}) {
			t.Errorf("asked %v", engines.asked)
		}
		w.stop()
	}
}

// TestReroutesOneAtATime guards that a stream that is to leave two engines at the same moment, one that is lost and one that
// gives up layers, ends on a path without both. Orders that overlapped would leave the engine on one path and this instance
// with the other.
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
				t.Errorf("the stream does not leave %s", id)
			}
		})
	}
	wg.Wait()
	var got []entity.TargetID
	for _, target := range s.targets() {
		got = append(got, target.ID)
	}
	if want := []entity.TargetID{"a", "b2", "c2"}; !slices.Equal(got, want) {
		t.Errorf("the stream is on %v, want %v", got, want)
	}
	if last := engines.orderedPaths[len(engines.orderedPaths)-1]; last[1].Target != "b2" || last[2].Target != "c2" {
		t.Errorf("the engine is on %v", last)
	}
	if s.rerouteAround(context.Background(), []fleet.Target{{ID: "b"}}, false); len(engines.orderedPaths) != 2 {
		t.Errorf("%d orders, want 2", len(engines.orderedPaths))
	}
}
