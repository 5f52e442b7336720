package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
)

// restartedEngines returns reports of a later process than the one that requests were sent to.
type restartedEngines struct{ fakeEngines }

func (*restartedEngines) Report(_ context.Context, target fleet.Target) (fleet.Report, error) {
	return fleet.Report{Born: target.Born + 1}, nil
}

// TestBrokenConnectionIsNoCrash guards against prompts that are blamed for answers that broke off at an engine that
// lives or is cut off from this instance, against crashes that go unnoticed because of a report from before, and against blame
// for what this instance cancelled.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	closed := fmt.Errorf("read event: %w", io.ErrUnexpectedEOF)
	dead := func() Engines { return &fakeEngines{dead: map[entity.TargetID]bool{"e": true}} }
	for name, test := range map[string]struct {
		engines Engines
		err     error
		events  int
		want    bool
		// refused holds the addresses of engines that refuse connections.
		refused []string
	}{
		"engine is gone":        {engines: dead(), err: closed, want: true, refused: []string{"e:1"}},
		"engine is silent":      {engines: dead(), err: closed, want: true},
		"zone is cut off":       {engines: dead(), err: closed, refused: []string{"e:1", "f:1"}},
		"engine started again":  {engines: &restartedEngines{}, err: closed, want: true},
		"engine lives":          {engines: &fakeEngines{}, err: closed},
		"after an event":        {engines: dead(), err: closed, events: 1},
		"cancelled here":        {engines: dead(), err: net.ErrClosed},
		"no answer in time":     {engines: dead(), err: context.DeadlineExceeded},
		"event cut short":       {engines: dead(), err: errTruncatedEvent, want: true},
		"request was not valid": {engines: dead(), err: errors.New("malformed")},
	} {
		g := New(Options{Engines: test.engines, Pool: refusingDials(test.refused...)})
		for _, id := range []entity.TargetID{"e", "f"} {
			g.dispatcher.Fleet.Put(fleet.Target{ID: id, Address: string(id) + ":1", Born: 1, Card: "card"})
		}
		s := addStream(g, "r", 0, pathThrough("e", "f"))
		s.PromptParts = []string{"first", "middle", "last"}
		s.events = test.events
		s.recordCrash(t.Context(), test.err)
		if got := len(g.CrashEvidence()) > 0; got != test.want {
			t.Errorf("%s: evidence %v, want %v", name, got, test.want)
		}
	}
}

// TestCrashIsCheckedAnew guards against a crash that is overlooked because the engine has reported shortly before.
func TestCrashIsCheckedAnew(t *testing.T) {
	engines := &fakeEngines{dead: make(map[entity.TargetID]bool)}
	g := New(Options{Engines: engines, Pool: refusingDials()})
	engine := fleet.Target{ID: "e", Address: "e:1", Born: 1}
	g.dispatcher.Fleet.Put(fleet.Target{ID: "f", Address: "f:1", Born: 1})
	if g.inspector.hasCrashed(t.Context(), engine) {
		t.Fatal("an engine that answers counts as crashed")
	}
	engines.mu.Lock()
	engines.dead["e"] = true
	engines.mu.Unlock()
	if !g.inspector.hasCrashed(t.Context(), engine) {
		t.Error("the report from before the crash was used")
	}
}

// TestQuarantineCancelsAttempts guards against attempts that crash further engines although the part that does so is
// known by then, and against the loss of streams that have got events.
func TestQuarantineCancelsAttempts(t *testing.T) {
	g := New(Options{Engines: &fakeEngines{}})
	cancelled := make(map[string]bool)
	add := func(id string, events bool, parts ...string) {
		s := addStream(g, id, 0, pathThrough("e", "f"))
		s.PromptParts = parts
		s.eventForwarded.Store(events)
		s.cancelAttempt = func() { cancelled[id] = true }
	}
	add("waiting", false, "first", "deadly", "last")
	add("running", true, "first", "deadly", "last")
	add("sound", false, "first", "middle", "last")
	evidence := quarantine.Evidence{Part: "deadly"}
	for i := range 3 {
		evidence.Crashes = append(evidence.Crashes, quarantine.CrashReport{
			Engine: fmt.Sprint("engine-", i), Age: time.Duration(3-i) * time.Second,
		})
	}
	g.MergeCrashEvidence([]quarantine.Evidence{evidence})
	if !cancelled["waiting"] || cancelled["running"] || cancelled["sound"] {
		t.Errorf("cancelled %v", cancelled)
	}
}
