package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// backingOffEngines respond to report requests by asking for time.
type backingOffEngines struct{ fakeEngines }

func (e *backingOffEngines) Report(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	_, _ = e.fakeEngines.Report(ctx, target)
	return fleet.Report{}, &fleet.BackoffError{For: time.Minute}
}

// TestBackedOffEngineIsNotInspected guards against report requests to an engine that asked for time, and against an engine
// that counts as faulty or crashed because it was not asked or asked for time instead of giving a report.
func TestBackedOffEngineIsNotInspected(t *testing.T) {
	engines := &backingOffEngines{}
	g := New(Options{Engines: engines})
	target := fleet.Target{ID: "a", Card: "card", Born: 1}
	g.WithFleet(func(f *fleet.Fleet) { f.Put(target) })
	for range 3 {
		if faulty, _ := g.inspector.faultyTargets(context.Background(), "r", []fleet.Target{target}); len(faulty) > 0 {
			t.Errorf("faulty: %v", faulty)
		}
		if silent, _ := g.inspector.unresponsiveTargets(context.Background(), []fleet.Target{target}); len(silent) > 0 {
			t.Errorf("unresponsive: %v", silent)
		}
		if g.inspector.hasCrashed(context.Background(), target) {
			t.Error("counts as crashed")
		}
	}
	if len(engines.asked) != 1 {
		t.Errorf("asked %d times for its report, want only the first time", len(engines.asked))
	}
	if targets, _ := g.Backoffs(); targets != 1 {
		t.Errorf("%d targets are counted, want 1", targets)
	}
	g.WithFleet(func(f *fleet.Fleet) {
		if state := f.Get("a"); !state.BacksOff(boottime.Now()) || state.Down(boottime.Now()) {
			t.Error("the engine does not back off, or counts as down")
		}
	})
}

// TestNoRerouteOrderInBackoff guards against reroute orders to a first engine that asked for time.
func TestNoRerouteOrderInBackoff(t *testing.T) {
	engines := &fakeEngines{}
	g := New(Options{Engines: engines})
	g.WithFleet(func(f *fleet.Fleet) { f.Put(fleet.Target{ID: "a", Born: 1}) })
	s := addStream(g, "s", 0, pathThrough("a", "b"))
	s.avoid = make(map[entity.TargetID]bool)
	g.recordBackoff(fleet.Target{ID: "a", Born: 1}, time.Minute)
	if s.reroute(context.Background(), []fleet.Target{{ID: "b", Born: 1}}) || len(engines.orderedPaths) > 0 {
		t.Errorf("ordered: %v", engines.orderedPaths)
	}
}

// TestBackedOffRequestIsNotSent guards against an error that lets a request count as sent although it was held back.
func TestBackedOffRequestIsNotSent(t *testing.T) {
	if !errors.Is(errBackedOff, errNotSent) {
		t.Error("errBackedOff does not say that the request was not sent")
	}
}
