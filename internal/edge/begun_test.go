package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// streamThatStalls sends a stream whose first engine stalls after a few events and waits until it has begun. The result
// follows when the stream has ended.
func (d *deployment) streamThatStalls(daemon *Daemon) (first *edgeplatform.Target, got chan result) {
	d.t.Helper()
	first, _ = d.findPath(daemon)
	first.SetFaults(edgeplatform.TargetFaults{StallAfter: 5})
	got = make(chan result, 1)
	go func() { got <- d.stream(daemon, "begun") }()
	d.waitUntil("the stream runs", func() bool { return len(d.runsOf("begun")) > 0 })
	return first, got
}

// TestBegunStreamOutlastsRefusals guards against streams that are broken off in the middle because engines refuse them a few
// times, for instance while they load layers, or all ask for time, although the caller still waits.
func TestBegunStreamOutlastsRefusals(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		faults edgeplatform.TargetFaults
		// refusals is how often the stream is refused before the engines take it again.
		refusals int
	}{
		"refused":          {edgeplatform.TargetFaults{Refuse: true}, 3},
		"refused for time": {edgeplatform.TargetFaults{RefuseFor: time.Second}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			_, got := d.streamThatStalls(daemon)
			for _, engine := range d.engines {
				engine.SetFaults(test.faults)
			}
			d.waitUntil("engines have refused the stream", func() bool { return d.arrivalsOf("begun") >= 1+test.refusals })
			time.Sleep(200 * time.Millisecond)
			for _, engine := range d.engines {
				engine.SetFaults(edgeplatform.TargetFaults{})
			}
			d.checkWholeStream(<-got)
		})
	}
}

// arrivalsOf returns how often a request has arrived at engines.
func (d *deployment) arrivalsOf(id string) (arrivals int) {
	for _, engine := range d.engines {
		for _, arrival := range engine.Arrivals() {
			if arrival.RequestID == id {
				arrivals++
			}
		}
	}
	return arrivals
}

// TestBegunStreamWaitsForEngines guards against streams that are broken off in the middle because for more than a second
// no engines have the layers, although the caller still waits.
func TestBegunStreamWaitsForEngines(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, got := d.streamThatStalls(daemon)
	var gone []*edgeplatform.Target
	for _, engine := range d.engines {
		from, to, _ := engine.Layers()
		if firstFrom, _, _ := first.Layers(); from == firstFrom && to > 0 {
			gone = append(gone, engine)
		}
	}
	for _, engine := range gone {
		d.register(engine, "draining")
	}
	d.waitUntil("the daemon knows that they leave", func() bool {
		return !slices.ContainsFunc(gone, func(engine *edgeplatform.Target) bool { return !daemon.target(engine.ID).Draining })
	})
	first.Close() // ends the attempt at once
	time.Sleep(1500 * time.Millisecond)
	for _, engine := range gone {
		if engine != first {
			d.register(engine, "ready")
		}
	}
	d.checkWholeStream(<-got)
}

// TestLastAttemptOfBegunStreamIsKept guards against begun streams that are closed because their engine is silent, although
// no other attempt may follow and the caller still waits.
func TestLastAttemptOfBegunStreamIsKept(t *testing.T) {
	t.Parallel()
	const silence = 2500 * time.Millisecond
	silent := edgeplatform.TargetFaults{SilentFor: silence, SilentAfter: 9}
	for name, test := range map[string]struct {
		noRetries bool
		first     edgeplatform.TargetFaults
	}{
		"retry limit used up": {noRetries: true, first: silent},
		"attempts used up":    {first: edgeplatform.TargetFaults{BreakAfter: 5, SilentFor: silence, SilentAfter: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addPlacedDaemon(test.noRetries)
			for _, engine := range d.engines {
				engine.SetFaults(test.first)
			}
			got := d.start(func() result { return d.stream(daemon, "begun") })
			d.waitUntil("the stream runs", func() bool { return len(d.runsOf("begun")) > 0 })
			for _, engine := range d.engines {
				engine.UpdateFaults(func(f *edgeplatform.TargetFaults) { f.BreakAfter = 0 })
			}
			d.checkWholeStream(<-got)
		})
	}
}

// TestSlowLastAttemptOfBegunStreamIsKept guards against begun streams that are closed because each attempt is cancelled
// before its first event, although the last one that their route allows would have served them.
func TestSlowLastAttemptOfBegunStreamIsKept(t *testing.T) {
	t.Parallel()
	const delay = 1400 * time.Millisecond // callers wait for longer
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{BreakAfter: 3, FirstEventDelay: delay})
	}
	got := d.start(func() result { return d.stream(daemon, "begun") })
	d.awaitRuns("begun", 1)
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{FirstEventDelay: delay})
	}
	d.checkWholeStream(<-got)
	if runs := len(d.runsOf("begun")); runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
}

// TestBegunStreamWaitsForRetry guards against begun streams that are closed because the retry limit is used up when their
// engine breaks off, although a retry is left a moment later.
func TestBegunStreamWaitsForRetry(t *testing.T) {
	t.Parallel()
	const ratio, others = 0.2, 10
	d := newDeployment(t)
	d.addDaemonAndAwaitPlacement()
	daemon := d.addDaemonWithRetryRatio("a", ratio)
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{BreakAfter: 5})
	}
	got := d.start(func() result { return d.stream(daemon, "begun") })
	d.waitUntil("the stream runs", func() bool { return len(d.runsOf("begun")) > 0 })
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{})
	}
	time.Sleep(500 * time.Millisecond)
	for i := range others {
		d.stream(daemon, fmt.Sprint("other-", i))
	}
	d.checkWholeStream(<-got)
}

// TestAttemptIsKeptWithoutOtherPath guards against an attempt that is cancelled for a silence of its engine although there is
// no other path.
func TestAttemptIsKeptWithoutOtherPath(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, second := d.findPath(daemon)
	d.drainOthers(daemon, first, second)
	first.SetFaults(edgeplatform.TargetFaults{SilentFor: 1500 * time.Millisecond, SilentAfter: 5})
	d.checkWholeStream(d.stream(daemon, "begun"))
	if runs := d.runsOf("begun"); len(runs) != 1 {
		t.Errorf("%d runs, the engine would have gone on with the first", len(runs))
	}
}

// drainOthers makes all engines but the given ones leave, waits until the daemon knows it, and returns them.
func (d *deployment) drainOthers(daemon *Daemon, staying ...*edgeplatform.Target) (leaving []*edgeplatform.Target) {
	d.t.Helper()
	for _, engine := range d.engines {
		if !slices.Contains(staying, engine) {
			d.register(engine, "draining")
			leaving = append(leaving, engine)
		}
	}
	d.waitUntil("the daemon knows who leaves", func() bool { return d.countDraining(daemon) == len(leaving) })
	return leaving
}

// countDraining returns how many engines leave according to the daemon.
func (d *deployment) countDraining(daemon *Daemon) (count int) {
	for _, engine := range d.engines {
		if daemon.target(engine.ID).Draining {
			count++
		}
	}
	return count
}
