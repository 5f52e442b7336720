package dispatch

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// TestCountedRuns guards against targets that count more than once or although they have ended, and against silent ones that
// do not count.
func TestCountedRuns(t *testing.T) {
	a, b, later := fleet.Target{ID: "a", Born: 1}, fleet.Target{ID: "b", Born: 1}, fleet.Target{ID: "a", Born: 2}
	ended := func(id entity.TargetID) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) { f.RecordEnded(start, id, 1) }
	}
	for _, test := range []struct {
		name   string
		ran    []fleet.Target
		happen func(f *fleet.Fleet)
		want   int
	}{
		{"none", nil, nil, 0},
		{"two targets", []fleet.Target{a, b}, nil, 2},
		{"one target twice", []fleet.Target{a, a}, nil, 1},
		{"first one ended", []fleet.Target{a, b}, ended("a"), 1},
		{"both ended, one after the other", []fleet.Target{a, b}, func(f *fleet.Fleet) { ended("a")(f); ended("b")(f) }, 0},
		{"one silent", []fleet.Target{a, b}, func(f *fleet.Fleet) { f.RecordNoAnswer(start, "a", time.Minute) }, 2},
		{"silent, then ended", []fleet.Target{a, b}, func(f *fleet.Fleet) {
			f.RecordNoAnswer(start, "a", time.Minute)
			ended("a")(f)
		}, 1},
		{"restarted under the same id", []fleet.Target{a, later}, func(f *fleet.Fleet) { f.Put(later) }, 1},
	} {
		f := fleet.New()
		f.Put(a)
		f.Put(b)
		var runs Runs
		for _, target := range test.ran {
			runs.Add(target, false)
		}
		if test.happen != nil {
			test.happen(f)
		}
		if got := runs.Counted(f); got != test.want {
			t.Errorf("%s: %d count, want %d", test.name, got, test.want)
		}
	}
}

// TestCompleteResponseCounts guards against a further target for a request whose first one has run it in full and then ended, also
// if a later run there broke off.
func TestCompleteResponseCounts(t *testing.T) {
	f := fleet.New()
	var runs Runs
	target := fleet.Target{ID: "a", Born: 1}
	runs.Add(target, true)
	runs.Add(target, false)
	f.RecordEnded(start, "a", 1)
	if counted := runs.Counted(f); counted != 1 {
		t.Errorf("%d targets count, want 1", counted)
	}
}

// TestUnconfirmedRuns guards against targets that are asked whether they have ended although they have responded or are known
// to have ended, and against a further run on the same target that counts.
func TestUnconfirmedRuns(t *testing.T) {
	f := fleet.New()
	var runs Runs
	for _, id := range []entity.TargetID{"responded", "ended", "broken"} {
		runs.Add(fleet.Target{ID: id, Born: 1}, id == "responded")
	}
	f.RecordEnded(start, "ended", 1)
	if asked := runs.Unconfirmed(f); len(asked) != 1 || asked[0].ID != "broken" {
		t.Errorf("unconfirmed: %+v", asked)
	}
	if same := runs.With(fleet.Target{ID: "broken", Born: 1}).Counted(f); same != 2 {
		t.Errorf("%d count with a further run on the same target", same)
	}
	if other := runs.With(fleet.Target{ID: "other", Born: 1}).Counted(f); other != 3 {
		t.Errorf("%d count with a run on another target", other)
	}
}

// TestPathBeginsWithEngineOfRuns guards against paths that begin with an engine on which a generation has not run although it
// may run on no further one, and against other engines that are left out as later stages.
func TestPathBeginsWithEngineOfRuns(t *testing.T) {
	size := GenerationSize{Prompt: 800, Answer: 150}
	for _, test := range []struct {
		name  string
		ran   fleet.Target
		avoid entity.TargetID
		want  string
	}{
		{"engine of another zone", fleet.Target{ID: "b0", Born: 1}, "", "b0b1"},
		{"later stage elsewhere", fleet.Target{ID: "b0", Born: 1}, "b1", "b0a1"},
		{"later process under its id", fleet.Target{ID: "b0", Born: 7}, "", ""},
		{"engine at fault", fleet.Target{ID: "b0", Born: 1}, "b0", ""},
	} {
		d, service := testDispatcher(), testService()
		var runs Runs
		runs.Add(test.ran, false)
		got := ""
		if path := d.ChoosePathFrom(start, service, size, map[entity.TargetID]bool{test.avoid: true}, &runs); path != nil {
			got = pathTargets(path)
		}
		if got != test.want {
			t.Errorf("%s: path %q, want %q", test.name, got, test.want)
		}
	}
}
