package dispatch

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestChoosePathWithLeavingEngines guards against new streams through engines that have said in a response that they
// leave, unless no other engines hold their layers and half of the drain bound has not passed.
func TestChoosePathWithLeavingEngines(t *testing.T) {
	const drainBound = 2 * time.Second
	size := GenerationSize{Prompt: 800, Answer: 150}
	for _, test := range []struct {
		name      string
		leaving   []entity.TargetID
		suspected entity.TargetID
		after     time.Duration
		want      map[string]bool // acceptable paths; none if the generation must be refused
	}{
		{"one", []entity.TargetID{"a1"}, "", 0, map[string]bool{"a0b1": true, "b0b1": true}},
		{"one, the other one suspected", []entity.TargetID{"a1"}, "b1", 0, map[string]bool{"a0b1": true, "b0b1": true}},
		{"all with the same layers, at once", []entity.TargetID{"a1", "b1"}, "", 0, map[string]bool{"a0a1": true}},
		{"all with the same layers, later", []entity.TargetID{"a1", "b1"}, "", drainBound / 2, nil},
		{"all, at once", []entity.TargetID{"a0", "a1", "b0", "b1"}, "", drainBound/2 - 1, map[string]bool{"a0a1": true}},
		{"all, later", []entity.TargetID{"a0", "a1", "b0", "b1"}, "", drainBound / 2, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, service := testDispatcher(), testService()
			d.Fleet.DrainBound = drainBound
			for _, id := range test.leaving {
				d.Fleet.RecordLeaving(start, id, 1)
			}
			d.Fleet.RecordFailure(start, test.suspected)
			path := d.ChoosePath(start.Add(test.after), service, size, nil)
			switch {
			case path == nil && test.want != nil:
				t.Error("no path")
			case path != nil && !test.want[pathTargets(path)]:
				t.Errorf("path %s", pathTargets(path))
			}
		})
	}
}

// TestRerouteAvoidsLeavingEngines guards against a stream that is moved to an engine that leaves.
func TestRerouteAvoidsLeavingEngines(t *testing.T) {
	d, service := testDispatcher(), testService()
	d.Fleet.DrainBound = time.Hour
	path := d.ChoosePath(start, service, GenerationSize{Prompt: 800, Answer: 150}, nil)
	d.Fleet.RecordLeaving(start, "b1", 1)
	faulty := map[entity.TargetID]bool{path.Stages[1].Target.ID: true}
	if rerouted := d.Reroute(start, service, path, faulty, nil, true); rerouted != nil {
		t.Errorf("rerouted to %s", pathTargets(rerouted))
	}
}
