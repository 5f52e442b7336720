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
)

// fakeEngines gives reports for the engines that are not dead and counts the questions.
type fakeEngines struct {
	mu    sync.Mutex
	dead  map[entity.TargetID]bool
	asked []entity.TargetID
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

func (e *fakeEngines) Reroute(context.Context, fleet.Target, string, []Hop) (Reroute, error) {
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
