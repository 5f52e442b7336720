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
	rerouted  [][]Hop
	orderTime time.Duration
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

func (e *fakeEngines) Reroute(_ context.Context, _ fleet.Target, _ string, path []Hop) (Reroute, error) {
	time.Sleep(e.orderTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rerouted = append(e.rerouted, path)
	return Reroute{Outcome: Rerouted}, nil
}

// pathOver returns a path over engines, one layer each.
func pathOver(ids ...entity.TargetID) *dispatch.Path {
	path := &dispatch.Path{}
	for i, id := range ids {
		path.Stages = append(path.Stages, dispatch.Stage{
			Target: fleet.Target{ID: id, Born: 1}, Layers: entity.LayerRange{From: i, To: i + 1},
		})
	}
	return path
}

// addStream makes a stream known that made progress a time ago.
func addStream(g *Gateway, id string, progress time.Duration, path *dispatch.Path) *stream {
	s := &stream{request: &request{Call: &Call{ID: id}, gateway: g}, path: path}
	s.movedAt.Store(int64(g.age() - progress))
	g.streams[s] = struct{}{}
	return s
}

// TestSilentEngines guards that an early question goes only to engines through which no other stream makes progress: asking
// all engines of a path at each short pause would cost more than it saves.
func TestSilentEngines(t *testing.T) {
	g := New(Options{Engines: &fakeEngines{}})
	stalled := addStream(g, "s", time.Minute, pathOver("a", "b", "c", "d"))
	addStream(g, "recent", 0, pathOver("a", "x"))
	addStream(g, "old", 2*aliveWindow, pathOver("b"))
	addStream(g, "recent too", aliveWindow/2, pathOver("y", "d"))
	var got []entity.TargetID
	for _, target := range stalled.silent() {
		got = append(got, target.ID)
	}
	if !slices.Equal(got, []entity.TargetID{"b", "c"}) {
		t.Errorf("silent engines %v", got)
	}
}

// TestAlarmFollowsTheStream guards after which pause engines are asked: early for a stream whose events come quickly, so that
// a reroute ends the pause within the 200 ms that callers want, and late for one that has not begun or is slow anyway.
func TestAlarmFollowsTheStream(t *testing.T) {
	for _, test := range []struct {
		name string
		gap  time.Duration
		want time.Duration
	}{
		{"no event yet", 0, stallCheck},
		{"very quick", 10 * time.Millisecond, minEarlyCheck},
		{"usual", 45 * time.Millisecond, 112500 * time.Microsecond},
		{"slow", 150 * time.Millisecond, stallCheck},
	} {
		w := &watchdog{gap: test.gap}
		if _, alarm, _ := w.state(); alarm != test.want {
			t.Errorf("%s: %v, want %v", test.name, alarm, test.want)
		}
	}
}

// TestWatchdogReroutesAroundDeadEngines guards that the dead engine among those without progress is found and left, and that
// an attempt is given up only if it cannot be rerouted.
func TestWatchdogReroutesAroundDeadEngines(t *testing.T) {
	for _, reroutes := range []bool{true, false} {
		engines := &fakeEngines{dead: map[entity.TargetID]bool{"c": true}}
		g := New(Options{Engines: engines})
		stalled := addStream(g, "s", time.Minute, pathOver("a", "b", "c"))
		addStream(g, "other", 0, pathOver("a", "b"))
		var left []fleet.Target
		gaveUp := false
		w := &watchdog{
			inspector: g.inspector, gap: 10 * time.Millisecond, progress: time.Now().Add(-minEarlyCheck - time.Millisecond),
			timer: time.NewTimer(time.Hour),
			attempt: watched{
				requestID: "s", targets: stalled.targets, silent: stalled.silent,
				patience: func() time.Duration { return time.Minute },
				reroute: func(_ context.Context, faults []fleet.Target) bool {
					left = faults
					return reroutes
				},
				giveUp: func() { gaveUp = true },
			},
		}
		w.check(context.Background())
		if len(left) != 1 || left[0].ID != "c" || gaveUp == reroutes {
			t.Errorf("reroutes %v: left %v, gave up %v", reroutes, left, gaveUp)
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
	engines := &fakeEngines{orderTime: 20 * time.Millisecond}
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
	s := addStream(g, "s", 0, pathOver("a", "b", "c"))
	s.service, s.route = service, &routing.Route{}
	for i := range s.path.Stages {
		s.path.Stages[i].Target.Zone = "a"
	}
	var leaving sync.WaitGroup
	for _, id := range []entity.TargetID{"b", "c"} {
		leaving.Go(func() {
			if !s.leave(context.Background(), []fleet.Target{{ID: id}}, false) {
				t.Errorf("the stream does not leave %s", id)
			}
		})
	}
	leaving.Wait()
	var got []entity.TargetID
	for _, target := range s.targets() {
		got = append(got, target.ID)
	}
	if want := []entity.TargetID{"a", "b2", "c2"}; !slices.Equal(got, want) {
		t.Errorf("the stream is on %v, want %v", got, want)
	}
	if last := engines.rerouted[len(engines.rerouted)-1]; last[1].Target != "b2" || last[2].Target != "c2" {
		t.Errorf("the engine is on %v", last)
	}
	if s.leave(context.Background(), []fleet.Target{{ID: "b"}}, false); len(engines.rerouted) != 2 {
		t.Errorf("%d orders, want 2", len(engines.rerouted))
	}
}
