package edge

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

// leavingBound is the drain bound in the settings of the daemons of tests.
const leavingBound = 2 * time.Second

// setLeaving makes targets announce in their responses that they are leaving, or stops this.
func setLeaving(leaving bool, targets ...*edgeplatform.Target) {
	for _, target := range targets {
		target.UpdateFaults(func(faults *edgeplatform.TargetFaults) { faults.Leaving = leaving })
	}
}

// leavesByResponse reports whether a daemon knows from responses alone that a target leaves.
func (d *Daemon) leavesByResponse(id string) (leaves bool) {
	d.gateway.WithFleet(func(f *fleet.Fleet) {
		state := f.Get(entity.TargetID(id))
		leaves = state != nil && !state.Draining && !state.InService(boottime.Now())
	})
	return leaves
}

// lookUp sends a call to the service without layers and returns its result.
func (d *deployment) lookUp(daemon *Daemon, id string) result {
	d.t.Helper()
	return d.call(daemon, http.MethodGet, "/read/1", id, "key-1", "")
}

// TestLeavingPlainTargetGetsNoRequests guards against requests to a target of a plain service that has said in a response
// that it leaves, be it one that has served or refused, while its entries go on to say that it is ready.
func TestLeavingPlainTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]edgeplatform.TargetFaults{
		"serves":  {Leaving: true},
		"refuses": {Leaving: true, Refuse: true},
		"fails":   {Leaving: true, FailStatus: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemon("a")
			leaving := d.plain[0]
			leaving.SetFaults(faults)
			d.waitUntil("the target has said that it leaves", func() bool {
				d.lookUp(daemon, fmt.Sprint("before", time.Now().UnixNano()))
				return daemon.leavesByResponse(leaving.ID)
			})
			before := len(leaving.Arrivals())
			for end := time.Now().Add(2 * leavingBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				d.register(leaving, "ready")
				if got := d.lookUp(daemon, fmt.Sprint("after", time.Now().UnixNano())); got.status != http.StatusOK {
					t.Fatalf("lookup: %+v", got)
				}
			}
			if after := len(leaving.Arrivals()); after != before {
				t.Errorf("%d requests reached the leaving target", after-before)
			}
		})
	}
}

// TestLeavingEngineGetsNoStreams guards against streams through an engine that has said in the head of a stream that it
// leaves, and against the end of those that run there.
func TestLeavingEngineGetsNoStreams(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, _ := d.findPath(daemon)
	d.engines = append(d.engines, d.addSpare(daemon, 8, "a", first))
	setLeaving(true, first)
	var results [10]result
	var running sync.WaitGroup
	for n := range results {
		running.Go(func() { results[n] = d.stream(daemon, fmt.Sprint("running", n)) })
	}
	running.Wait()
	for n, got := range results {
		runs := d.runsOf(fmt.Sprint("running", n))
		if got.status != http.StatusOK || got.err != nil || len(runs) != 1 {
			t.Errorf("stream that has begun: %+v, %d runs", got, len(runs))
		}
	}
	d.waitUntil("the engine has said that it leaves", func() bool {
		d.stream(daemon, fmt.Sprint("before", time.Now().UnixNano()))
		return daemon.leavesByResponse(first.ID)
	})
	for end := time.Now().Add(2 * leavingBound); time.Now().Before(end); {
		id := fmt.Sprint("after", time.Now().UnixNano())
		d.checkWholeStream(d.stream(daemon, id))
		if runs := d.runsThrough(first, id); len(runs) > 0 {
			t.Fatalf("a stream was sent through the leaving engine: %s", runs[0].Hops)
		}
	}
}

// TestEngineLeavesByItsReport guards against an engine that says in its report that it leaves and still gets streams.
func TestEngineLeavesByItsReport(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, second := d.findPath(daemon)
	d.addSpare(daemon, 8, "a", second)
	setLeaving(true, second)
	first.SetFaults(edgeplatform.TargetFaults{StallAfter: 5, WaitFor: second.Address()}) // so that its report is read
	d.checkWholeStream(d.stream(daemon, "stalled"))
	d.waitUntil("the engine is known to leave", func() bool { return daemon.leavesByResponse(second.ID) })
}

// TestSuccessorOfLeavingTargetIsUsed guards against a new process that gets no requests because an earlier one under its
// id and address has left.
func TestSuccessorOfLeavingTargetIsUsed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	target := d.plain[0]
	setLeaving(true, target)
	d.waitUntil("the target has said that it leaves", func() bool {
		d.lookUp(daemon, fmt.Sprint("before", time.Now().UnixNano()))
		return daemon.leavesByResponse(target.ID)
	})
	setLeaving(false, target)
	target.Restart()
	d.register(target, "ready")
	d.store.Remove("servers", d.plain[1].ID) // so that there is no other
	before := len(target.Arrivals())
	d.waitUntil("the new process is used", func() bool {
		d.lookUp(daemon, fmt.Sprint("after", time.Now().UnixNano()))
		return len(target.Arrivals()) > before
	})
	if daemon.leavesByResponse(target.ID) {
		t.Error("the new process is taken for one that leaves")
	}
}

// TestSuccessorIsNotBlamedOnOldConnection guards against a new process that is taken for a leaving one because a request
// to it was sent on a connection to the process that had its address before, which still answers there.
func TestSuccessorIsNotBlamedOnOldConnection(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		sameID bool
		// inProgress makes the old process serve a request while the successor becomes known.
		inProgress bool
	}{
		{"same id", true, false},
		{"other id", false, false},
		{"same id, request in progress", true, true},
		{"other id, request in progress", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			old, other := d.plain[0], d.plain[1]
			address, err := faultproxy.New(faultproxy.Options{Target: old.Address()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(address.Close)
			old.Advertise(address.Address())
			d.register(old, "ready")
			d.store.Remove("servers", other.ID)
			if test.inProgress {
				old.Latency = time.Second
			}
			daemon := d.addDaemon("a")
			first := make(chan result, 1)
			go func() { first <- d.lookUp(daemon, "first") }()
			d.waitUntil("the old process serves", func() bool { return len(old.Runs()) > 0 })
			if !test.inProgress {
				if got := <-first; got.status != http.StatusOK {
					t.Fatalf("lookup: %+v", got)
				}
			}
			id := "plain-9"
			if test.sameID {
				id = old.ID
			}
			successor := edgeplatform.NewTarget(id, "ledger", "a", "", 0)
			t.Cleanup(successor.Close)
			address.SetTarget(successor.Address())
			setLeaving(true, old)
			successor.Advertise(address.Address())
			successor.Restart() // counts another start than that of the old process
			if !test.sameID {
				d.store.Remove("servers", old.ID)
			}
			d.register(successor, "ready")
			const successorBorn = 2
			d.waitUntil("the successor is known", func() bool { return daemon.target(id).Born == successorBorn })
			if test.inProgress {
				if got := <-first; got.status != http.StatusOK {
					t.Fatalf("lookup in progress: %+v", got)
				}
			}
			before := len(old.Runs())
			d.waitUntil("the successor serves", func() bool {
				d.lookUp(daemon, fmt.Sprint("next", time.Now().UnixNano()))
				return len(successor.Runs()) > 0
			})
			for n := range 20 {
				if got := d.lookUp(daemon, fmt.Sprint("last", n)); got.status != http.StatusOK {
					t.Fatalf("lookup: %+v", got)
				}
			}
			if after := len(old.Runs()); after != before {
				t.Errorf("%d requests ran on the process that was replaced", after-before)
			}
			if daemon.leavesByResponse(id) {
				t.Error("the successor is taken for one that leaves")
			}
		})
	}
}

// TestLeavingTargetsAreLastResort guards against callers that are refused at once when all targets of a service leave,
// and against requests to these when half of the drain bound has passed.
func TestLeavingTargetsAreLastResort(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		targets func(*deployment) []*edgeplatform.Target
		send    func(*deployment, *Daemon, string) result
	}{
		"plain":   {func(d *deployment) []*edgeplatform.Target { return d.plain }, (*deployment).lookUp},
		"engines": {func(d *deployment) []*edgeplatform.Target { return d.engines }, (*deployment).stream},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			targets := test.targets(d)
			setLeaving(true, targets...)
			known := time.Now()
			for _, target := range targets {
				daemon.gateway.RecordLeaving(daemon.target(target.ID))
			}
			served := 0
			for time.Since(known) < leavingBound/2-200*time.Millisecond {
				got := test.send(d, daemon, fmt.Sprint("soon", served))
				if got.status != http.StatusOK && time.Since(known) >= leavingBound/2 {
					break // the request may have arrived too late
				}
				if got.status != http.StatusOK {
					t.Fatalf("as a last resort: %+v", got)
				}
				served++
			}
			if served == 0 {
				t.Fatal("no request was sent in time")
			}
			time.Sleep(time.Until(known.Add(leavingBound)))
			for n := range 3 {
				id := fmt.Sprint("late", n)
				got := test.send(d, daemon, id)
				if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "no_capacity") {
					t.Errorf("after the bound: %+v", got)
				}
				if runs := d.runsOf(id); len(runs) > 0 {
					t.Errorf("after the bound it ran as %+v", runs)
				}
			}
			if gauge := daemon.scrapeLeaving(); gauge != fmt.Sprint(len(targets)) {
				t.Errorf("the gauge shows %q leaving targets, want %d", gauge, len(targets))
			}
		})
	}
}

// target returns the entry of a target as the daemon knows it, or the zero value.
func (d *Daemon) target(id string) (target fleet.Target) {
	d.gateway.WithFleet(func(f *fleet.Fleet) {
		if state := f.Get(entity.TargetID(id)); state != nil {
			target = state.Target
		}
	})
	return target
}

// scrapeLeaving returns the value of the gauge of the targets that leave by their responses.
func (d *Daemon) scrapeLeaving() string {
	recorder := httptest.NewRecorder()
	d.metrics.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range bytes.Lines(recorder.Body.Bytes()) {
		if value, found := strings.CutPrefix(string(line), `hyssophoist_edge_leaving_targets{source="response"} `); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
