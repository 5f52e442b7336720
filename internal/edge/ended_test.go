package edge

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// awaitRuns waits until a request has run the given number of times, and returns the engine of the last run.
func (d *deployment) awaitRuns(id string, count int) *edgeplatform.Target {
	d.t.Helper()
	d.waitUntil("the request runs", func() bool { return len(d.runsOf(id)) >= count })
	var last *edgeplatform.Target
	var at time.Time
	for _, target := range append(d.engines, d.plain...) {
		for _, run := range target.Runs() {
			if run.RequestID == id && run.At.After(at) {
				last, at = target, run.At
			}
		}
	}
	return last
}

// addFirstEngine starts an engine that holds the same layers as the first one of a path.
func (d *deployment) addFirstEngine(daemon *Daemon, like *edgeplatform.Target) {
	spare := d.addSpare(daemon, 8, "a", like)
	d.engines = append(d.engines, spare)
}

// TestEndedEnginesUseUpNoAttempts guards against begun streams that are closed because the attempts on engines that have ended
// count towards the two that the route allows.
func TestEndedEnginesUseUpNoAttempts(t *testing.T) {
	t.Parallel()
	stall := edgeplatform.TargetFaults{StallAfter: 3}
	for name, end := range map[string]func(d *deployment, engine *edgeplatform.Target){
		"ended": func(_ *deployment, engine *edgeplatform.Target) { engine.Close() },
		"restarted under its id": func(d *deployment, engine *edgeplatform.Target) {
			engine.Restart()
			d.register(engine, "draining")
		},
		"silent, then ended": func(_ *deployment, engine *edgeplatform.Target) {
			engine.Silence(300 * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			engine.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			first, _ := d.findPath(daemon)
			d.addFirstEngine(daemon, first)
			for _, engine := range d.engines {
				engine.SetFaults(stall)
			}
			got := d.start(func() result { return d.stream(daemon, "begun") })
			end(d, d.awaitRuns("begun", 1))
			second := d.awaitRuns("begun", 2)
			for _, engine := range d.engines {
				engine.SetFaults(edgeplatform.TargetFaults{})
			}
			end(d, second)
			d.checkWholeStream(<-got)
		})
	}
}

// TestEndedTargetUsesUpNoAttempt guards against calls that may be repeated and fail because the attempt on a target that has
// ended counts towards the two that the route allows.
func TestEndedTargetUsesUpNoAttempt(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	third := edgeplatform.NewTarget("plain-2", "ledger", "a", "", 0)
	d.plain = append(d.plain, third)
	t.Cleanup(third.Close)
	d.register(third, "ready")
	daemon := d.addDaemon("a")
	d.waitUntil("the daemon knows the targets", func() bool { return daemon.plainTargetsInService() == "plain-0 plain-1 plain-2" })
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	got := d.start(func() result { return d.call(daemon, http.MethodGet, "/read/1", "look", "key-1", "") })
	d.awaitRuns("look", 1).Close()
	second := d.awaitRuns("look", 2)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{})
	}
	second.Close()
	if answer := <-got; answer.status != http.StatusOK {
		t.Errorf("answer %+v", answer)
	}
}

// TestEndedTargetIsNoReasonToRunTwice guards against postings that run again because their target has ended.
func TestEndedTargetIsNoReasonToRunTwice(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	got := d.start(func() result { return d.call(daemon, http.MethodPost, "/post/1", "post", "key-1", "body") })
	d.awaitRuns("post", 1).Close()
	if answer := <-got; answer.status != http.StatusBadGateway {
		t.Errorf("answer %+v", answer)
	}
	if runs := d.runsOf("post"); len(runs) != 1 {
		t.Errorf("%d runs", len(runs))
	}
}

// TestBegunStreamGoesOnAtItsEngines guards against begun streams that are closed because two sound engines have broken them
// off, and against ones that go on at a third engine, which their route does not allow.
func TestBegunStreamGoesOnAtItsEngines(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]edgeplatform.TargetFaults{
		"reset":   {BreakAfter: 3},
		"stalled": {StallAfter: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			first, _ := d.findPath(daemon)
			d.addFirstEngine(daemon, first)
			for _, engine := range d.engines {
				engine.SetFaults(broken)
			}
			got := d.start(func() result { return d.stream(daemon, "begun") })
			d.awaitRuns("begun", 3)
			for _, engine := range d.engines {
				engine.SetFaults(edgeplatform.TargetFaults{})
			}
			d.checkWholeStream(<-got)
			if count := d.countFirstEngines("begun"); count > 2 {
				t.Errorf("the stream ran on %d first engines, its route allows 2", count)
			}
		})
	}
}

// countFirstEngines returns the number of engines at which a stream has run.
func (d *deployment) countFirstEngines(id string) (count int) {
	for _, engine := range d.engines {
		if slices.ContainsFunc(engine.Runs(), func(run edgeplatform.Run) bool { return run.RequestID == id }) {
			count++
		}
	}
	return count
}

// TestBegunStreamWaitsForSilentEngine guards against begun streams that are closed because an engine ends while only silent
// engines are left, although these soon answer again.
func TestBegunStreamWaitsForSilentEngine(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, _ := d.findPath(daemon)
	d.addFirstEngine(daemon, first)
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{StallAfter: 3})
	}
	got := d.start(func() result { return d.stream(daemon, "begun") })
	running := d.awaitRuns("begun", 1)
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{})
		if engine != running {
			engine.Silence(time.Second)
		}
	}
	running.Close()
	d.checkWholeStream(<-got)
}

// TestStreamWithoutEventCrashesNoThirdEngine guards against a generation that crashes one engine after the other because those
// that have ended do not count.
func TestStreamWithoutEventCrashesNoThirdEngine(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, _ := d.findPath(daemon)
	d.addFirstEngine(daemon, first)
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{FirstEventDelay: waitLimit})
	}
	got := d.start(func() result { return d.stream(daemon, "deadly") })
	d.awaitRuns("deadly", 1).Close()
	d.awaitRuns("deadly", 2).Close()
	if answer := <-got; answer.status != http.StatusBadGateway {
		t.Errorf("answer %+v", answer)
	}
	if runs := d.runsOf("deadly"); len(runs) != 2 {
		t.Errorf("%d runs", len(runs))
	}
}

// TestStreamIsClosedSoonAfterItsAttempts guards against begun streams that wait, after as many attempts as their route allows
// targets, until their callers leave, who could have resumed them with requests of their own.
func TestStreamIsClosedSoonAfterItsAttempts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{StallAfter: 3})
	}
	got := d.start(func() result { return d.stream(daemon, "begun") })
	d.awaitRuns("begun", 1).Close()
	second := d.awaitRuns("begun", 2)
	ended := time.Now()
	second.Close()
	if answer := <-got; answer.err == nil {
		t.Error("the stream was complete without an engine for the first layers")
	}
	if took := time.Since(ended); took > 1500*time.Millisecond {
		t.Errorf("the stream was closed after %v", took)
	}
}
