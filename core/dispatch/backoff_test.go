package dispatch

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

const asked = 3 * time.Second

// TestBackedOffEngineIsNoFirstEngine checks that an engine that asked for time begins no path while it can still be a
// later stage, even with layers that include the first one.
func TestBackedOffEngineIsNoFirstEngine(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := GenerationSize{Prompt: 800, Answer: 150}
	d.Fleet.RecordBackoff(start, "a0", 1, asked)
	d.Fleet.RecordBackoff(start, "a1", 1, asked)
	for range 10 {
		path := d.ChoosePath(start, service, size, nil)
		if path == nil || path.Stages[0].Target.ID != "b0" {
			t.Fatalf("path %+v", path)
		}
		d.Release(path)
	}
	if d.SavedAttempts != 10 {
		t.Errorf("%d attempts counted as saved, want 10", d.SavedAttempts)
	}
	d.Fleet.Get("b1").Draining = true
	if path := d.ChoosePath(start, service, size, nil); path == nil || pathTargets(path) != "b0a1" {
		t.Errorf("engine that asked for time is no later stage: %+v", path)
	}
	if _, all := d.AllBackOff(start, service, true); all {
		t.Error("b0 accepts attempts")
	}
	d.Fleet.RecordBackoff(start, "b0", 1, asked-time.Second)
	if path := d.ChoosePath(start, service, size, nil); path != nil {
		t.Errorf("path %s while all first engines asked for time", pathTargets(path))
	}
	if left, all := d.AllBackOff(start.Add(time.Second), service, true); !all || left != asked-2*time.Second {
		t.Errorf("all first engines asked: %v, %v", left, all)
	}
}

// TestOneAttemptAfterBackoff checks that after the time that an engine asked for one generation at a time is sent to it,
// also if that generation is rerouted in the meantime, until it responds.
func TestOneAttemptAfterBackoff(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := GenerationSize{Prompt: 800, Answer: 150}
	d.Fleet.RecordBackoff(start, "a0", 1, asked)
	end := start.Add(asked)
	first := d.ChoosePath(end, service, size, nil)
	if first.Stages[0].Target.ID != "a0" {
		t.Fatalf("first attempt after the time takes %s", pathTargets(first))
	}
	expectOther := func(when string) {
		t.Helper()
		path := d.ChoosePath(end, service, size, nil)
		if path.Stages[0].Target.ID == "a0" {
			t.Errorf("second attempt %s", when)
		}
		d.Release(path)
	}
	expectOther("while the first is in progress")
	rerouted := d.Reroute(end, service, first, map[entity.TargetID]bool{"a1": true}, nil, true)
	if rerouted == nil {
		t.Fatal("not rerouted")
	}
	d.ReplacePath(first, rerouted)
	expectOther("while the first goes on along another path")
	d.Release(rerouted)
	next := d.ChoosePath(end, service, size, nil)
	if next.Stages[0].Target.ID != "a0" {
		t.Errorf("no attempt follows one without a response: %s", pathTargets(next))
	}
	d.Fleet.RecordResponse("a0", 1, end)
	if path := d.ChoosePath(end, service, size, nil); path.Stages[0].Target.ID != "a0" {
		t.Errorf("attempt after a response takes %s", pathTargets(path))
	}
}

// TestPlainBackoff checks the same for targets of a plain service.
func TestPlainBackoff(t *testing.T) {
	d, service := &Dispatcher{Zone: "a", Fleet: fleet.New()}, testService()
	d.Fleet.Put(fleet.Target{ID: "t1", Service: service.ID, Zone: "a", Slots: 4, Born: 1})
	d.Fleet.RecordBackoff(start, "t1", 1, asked)
	if d.ChooseTarget(start, service.ID, nil) != nil {
		t.Error("target is chosen in the time that it asked for")
	}
	if left, all := d.AllBackOff(start, service, false); !all || left != asked {
		t.Errorf("all targets asked: %v, %v", left, all)
	}
	end := start.Add(asked)
	first := d.ChooseTarget(end, service.ID, nil)
	if first == nil || d.ChooseTarget(end, service.ID, nil) != nil {
		t.Error("not one attempt at a time after the end")
	}
	d.ReleaseTarget(first, 0)
	if d.ChooseTarget(end, service.ID, nil) == nil {
		t.Error("no attempt follows one without a response")
	}
}
