package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/edgeapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
)

// isolatedDeployment is a deployment with instances whose links to targets can be cut.
type isolatedDeployment struct {
	*deployment
	links []*targetLinks
}

// newIsolatedDeployment starts instances in zone a and waits until each knows all targets and the others.
func newIsolatedDeployment(t *testing.T, count int) *isolatedDeployment {
	d := &isolatedDeployment{deployment: newDeployment(t)}
	for range count {
		links := newTargetLinks(t)
		d.links = append(d.links, links)
		d.addDaemonWithLinks(links)
	}
	for _, group := range [][]*edgeplatform.Target{d.engines[:2], d.engines[2:]} {
		d.waitUntil("zone holds the model", func() bool { return countHeldLayers(group) == modelLayers })
	}
	for _, engine := range d.engines {
		d.register(engine, "ready")
	}
	for _, daemon := range d.daemons {
		d.waitUntil("the daemon knows all targets and instances", func() bool {
			return daemon.knownLayers() == 2*modelLayers && len(daemon.sharer.RelayPeers()) == count-1
		})
	}
	return d
}

// isolate cuts the links of an instance and waits until it knows that no service is reached.
func (d *isolatedDeployment) isolate(index int, mode cutMode, f func(*faultproxy.Proxy)) {
	d.t.Helper()
	d.links[index].cut(mode, f)
	d.waitUntil("the daemon is isolated", func() bool {
		d.call(d.daemons[index], http.MethodPost, "/post/1", "find-out", "key-1", "")
		d.stream(d.daemons[index], "find-out-stream")
		return d.daemons[index].gateway.IsolatedServices() == 2
	})
}

// TestIsolatedInstancesRefuseAtOnce guards against requests that wait, go in a circle or are said to have run although no instance
// reaches a target.
func TestIsolatedInstancesRefuseAtOnce(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 3)
	for index := range d.daemons {
		d.isolate(index, linksHang, (*faultproxy.Proxy).Blackhole)
	}
	for n, test := range []struct{ method, path string }{
		{http.MethodGet, "/read/1"}, {http.MethodPost, "/post/1"}, {http.MethodPost, "/gen/1"},
	} {
		id, begun := fmt.Sprint("refused-", n), time.Now()
		got := d.call(d.daemons[0], test.method, test.path, id, "key-1", "")
		if got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
			t.Errorf("%s: %+v", test.path, got)
		}
		if took := time.Since(begun); took > 300*time.Millisecond {
			t.Errorf("%s: refused after %v", test.path, took)
		}
		if runs := d.runsOf(id); len(runs) > 0 {
			t.Errorf("%s: ran as %+v", test.path, runs)
		}
	}
}

// TestRelayedPostingRunsOnce guards against a posting that is relayed again, or refused as not run, after the instance that has taken
// it ends.
func TestRelayedPostingRunsOnce(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 3)
	d.isolate(0, linksRefuse, (*faultproxy.Proxy).Reset)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	got := d.start(func() result { return d.call(d.daemons[0], http.MethodPost, "/post/1", "posting", "key-1", "body") })
	d.awaitRuns("posting", 1)
	for index := range d.daemons[1:] {
		if d.daemons[index+1].gateway.RelayedInProgress() > 0 {
			d.stops[index+1]()
		}
	}
	if answer := <-got; answer.status != http.StatusBadGateway {
		t.Errorf("answer %+v", answer)
	}
	if runs := d.runsOf("posting"); len(runs) != 1 {
		t.Errorf("%d runs", len(runs))
	}
}

// TestRelayedCallKeepsItsLimit guards against a call that runs on more targets than its route allows because the instance that takes it
// begins to count anew.
func TestRelayedCallKeepsItsLimit(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	third := edgeplatform.NewTarget("plain-2", "ledger", "a", "", 0)
	d.plain = append(d.plain, third)
	t.Cleanup(third.Close)
	d.register(third, "ready")
	for _, daemon := range d.daemons {
		d.waitUntil("the daemon knows the targets", func() bool { return daemon.plainTargetsInService() == "plain-0 plain-1 plain-2" })
	}
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	got := d.start(func() result { return d.call(d.daemons[0], http.MethodGet, "/read/1", "look", "key-1", "") })
	d.awaitRuns("look", 1)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{FailStatus: http.StatusInternalServerError})
	}
	d.links[0].cut(linksRefuse, (*faultproxy.Proxy).Reset)
	if answer := <-got; answer.status != http.StatusInternalServerError {
		t.Errorf("answer %+v", answer)
	}
	ran := 0
	for _, target := range d.plain {
		for _, run := range target.Runs() {
			if run.RequestID == "look" {
				ran++
			}
		}
	}
	if ran != 2 {
		t.Errorf("%d runs, want 2", ran)
	}
}

// TestBegunStreamGoesOnAtOtherInstance guards against begun streams that are closed, or repeat or miss events, because their instance
// loses its links.
func TestBegunStreamGoesOnAtOtherInstance(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(*targetLinks){
		"reset":   func(l *targetLinks) { l.cut(linksRefuse, (*faultproxy.Proxy).Reset) },
		"hanging": func(l *targetLinks) { l.cut(linksHang, (*faultproxy.Proxy).Blackhole) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newIsolatedDeployment(t, 2)
			for _, engine := range d.engines {
				engine.SetEventInterval(40 * time.Millisecond)
			}
			got, begun := make(chan result, 1), time.Now()
			go func() { got <- d.stream(d.daemons[0], "begun") }()
			d.awaitRuns("begun", 1)
			time.Sleep(200 * time.Millisecond)
			cut(d.links[0])
			d.checkWholeStream(<-got)
			if took := time.Since(begun); took > callerIdleTimeout+800*time.Millisecond {
				t.Errorf("the stream took %v", took)
			}
		})
	}
}

// TestCallerOfRelayedRequestLeaves guards against targets that go on working on a relayed request whose caller has left.
func TestCallerOfRelayedRequestLeaves(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	d.isolate(0, linksRefuse, (*faultproxy.Proxy).Reset)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.daemons[0].settings.Front+"/read/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = edgeplatform.Host
	request.Header.Set("X-Request-Id", "left")
	request.Header.Set("X-Key", "key-1")
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			response.Body.Close()
		}
	}()
	d.awaitRuns("left", 1)
	leave()
	left := time.Now()
	d.waitUntil("the target stops", func() bool { return !d.runsOf("left")[0].EndedAt.IsZero() })
	if took := time.Since(left); took > cancelLimit {
		t.Errorf("the target worked on for %v", took)
	}
}

// TestStoppingInstanceTakesNoRelayedRequest guards against requests that are relayed to an instance that stops, and against ones that are
// cut off by its stop.
func TestStoppingInstanceTakesNoRelayedRequest(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 3)
	d.isolate(0, linksRefuse, (*faultproxy.Proxy).Reset)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{SilentInBody: 3500 * time.Millisecond})
	}
	got := d.start(func() result { return d.call(d.daemons[0], http.MethodPost, "/post/1", "posting", "key-1", "body") })
	d.awaitRuns("posting", 1)
	stopping := 1
	if d.daemons[2].gateway.RelayedInProgress() > 0 {
		stopping = 2
	}
	stopped := make(chan struct{})
	go func() {
		d.daemons[stopping].drain()
		close(stopped)
	}()
	for _, target := range d.plain {
		target.UpdateFaults(func(f *edgeplatform.TargetFaults) { f.SilentInBody = 0 })
	}
	d.waitUntil("the instance stops", func() bool { return d.daemons[stopping].notReadyReason() != "" })
	for n := range 4 {
		id := fmt.Sprint("during-stop-", n)
		if answer := d.stream(d.daemons[0], id); answer.status != http.StatusOK {
			t.Errorf("%s: %+v", id, answer)
		}
	}
	if count := d.daemons[stopping].gateway.RelayedInProgress(); count != 1 {
		t.Errorf("%d relayed requests at the instance that stops, want 1", count)
	}
	if answer := <-got; answer.status != http.StatusOK || answer.body != "answer to posting" {
		t.Errorf("answer %+v", answer)
	}
	<-stopped
}

// TestRelayListenerTakesNoCallers guards against requests at the listener for relayed requests that do not say how often they may run, and
// against ones without a valid key.
func TestRelayListenerTakesNoCallers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	for _, test := range []struct {
		attempts, key string
		status        int
	}{{"", "key-1", 400}, {"0", "key-1", 400}, {"many", "key-1", 400}, {"1", "key-9", 401}, {"1", "key-1", 200}} {
		request, err := http.NewRequest(http.MethodPost, "http://"+daemon.settings.Relay+"/post/1", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = edgeplatform.Host
		request.Header.Set("X-Request-Id", "direct-"+test.attempts+test.key)
		request.Header.Set("X-Key", test.key)
		request.Header.Set("Relay-Attempts", test.attempts)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != test.status {
			t.Errorf("%+v: status %d", test, response.StatusCode)
		}
	}
}

// TestLayersArePlacedBesideIsolatedInstance guards against engines that keep layers missing because the instance that gives orders does
// not reach them.
func TestLayersArePlacedBesideIsolatedInstance(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]cutMode{"refused": linksRefuse, "hanging": linksHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newIsolatedDeployment(t, 2)
			d.startDaemonInZoneB()
			d.isolate(0, mode, (*faultproxy.Proxy).Reset)
			for _, engine := range d.engines[:2] {
				engine.Restart()
				d.register(engine, "ready")
			}
			d.waitUntil("the zone holds the model again", func() bool { return countHeldLayers(d.engines[:2]) == modelLayers })
		})
	}
}

// startDaemonInZoneB starts an instance whose links are not cut and which collects the loads of its zone.
func (d *isolatedDeployment) startDaemonInZoneB() {
	daemon := d.addDaemon("b")
	d.waitUntil("the instances know each other", func() bool {
		return len(daemon.sharer.RelayPeers()) == len(d.links) && len(d.daemons[0].sharer.RelayPeers()) == len(d.links)
	})
}

// TestRelayedRequestsAreBounded guards against callers of an instance in touch that lose their connections because other instances relay
// more requests to it than it has descriptors for.
func TestRelayedRequestsAreBounded(t *testing.T) {
	t.Parallel()
	const descriptors, offered = 300, 60
	limit := maxRelayedRequests(descriptors)
	if limit < 1 || limit >= offered {
		t.Fatalf("%d relayed requests for %d descriptors", limit, descriptors)
	}
	d := newDeployment(t)
	links := newTargetLinks(t)
	isolated := d.addDaemonWithLinks(links)
	settings := d.daemonSettings("a")
	settings.MaxFDs = descriptors
	inTouch := d.startDaemon(settings)
	d.waitUntil("the instances know each other", func() bool {
		return inTouch.notReadyReason() == "" && len(isolated.sharer.RelayPeers()) == 1 && len(inTouch.sharer.RelayPeers()) == 1
	})
	links.cut(linksRefuse, (*faultproxy.Proxy).Reset)
	d.waitUntil("a call is served", func() bool {
		return d.call(isolated, http.MethodPost, "/post/1", "find-out", "key-1", "").status == http.StatusOK
	})
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	var results []<-chan result
	for n := range offered {
		results = append(results, d.start(func() result {
			return d.call(isolated, http.MethodPost, "/post/1", fmt.Sprint("held-", n), "key-1", "")
		}))
	}
	refused := 0
	for _, got := range results {
		if (<-got).status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if taken := offered - refused; taken != limit {
		t.Errorf("%d of %d requests were taken, want %d", taken, offered, limit)
	}
}

// TestExplanationNamesIsolation guards against an explanation that sends operators to sound targets although the instance has lost its links.
func TestExplanationNamesIsolation(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	explain := func(route string) edgeapi.RouteExplanation {
		explanation, err := d.daemons[0].gateway.ExplainRoute(gateway.RouteQuery{Route: route})
		if err != nil {
			t.Fatal(err)
		}
		return *explanation
	}
	for _, isolated := range []bool{false, true} {
		if isolated {
			d.isolate(0, linksRefuse, (*faultproxy.Proxy).Reset)
		}
		for _, route := range []string{"read", "gen"} {
			if e := explain(route); e.Isolated != isolated || e.RelayPeers != map[bool]int{true: 1}[isolated] || e.Refused {
				t.Errorf("isolated %v: %s isolated %v, %d other instances, refused %v", isolated, route, e.Isolated, e.RelayPeers, e.Refused)
			}
		}
	}
}

// TestMemberPlacesLayersForIsolatedCollector guards against engines that keep layers missing because all collectors are isolated, although
// another instance of a zone reaches the engines.
func TestMemberPlacesLayersForIsolatedCollector(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	d.isolate(0, linksRefuse, (*faultproxy.Proxy).Reset)
	for _, engine := range d.engines[:2] {
		engine.Restart()
		d.register(engine, "ready")
	}
	d.waitUntil("the zone holds the model again", func() bool { return countHeldLayers(d.engines[:2]) == modelLayers })
}

// TestRelayedRefusalAfterRunPromisesNothing guards against a call that is said not to have run because the instance that was to run it again
// refuses it.
func TestRelayedRefusalAfterRunPromisesNothing(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Hang: true})
	}
	got := d.start(func() result { return d.call(d.daemons[0], http.MethodGet, "/read/1", "look", "key-1", "") })
	d.awaitRuns("look", 1)
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{Refuse: true})
	}
	d.links[0].cut(linksRefuse, (*faultproxy.Proxy).Reset)
	if answer := <-got; answer.status != http.StatusBadGateway || len(d.runsOf("look")) != 1 {
		t.Errorf("answer %+v, %d runs", answer, len(d.runsOf("look")))
	}
}

// TestEndedPlainServiceStopsNoPlacement guards against engines that keep layers missing because all targets of another service have ended, so
// that no instance reaches that service.
func TestEndedPlainServiceStopsNoPlacement(t *testing.T) {
	t.Parallel()
	d := newIsolatedDeployment(t, 2)
	for _, target := range d.plain {
		target.Close()
	}
	for _, daemon := range d.daemons {
		d.waitUntil("the daemon reaches no plain target", func() bool {
			d.call(daemon, http.MethodPost, "/post/1", "find-out", "key-1", "")
			return daemon.gateway.IsolatedServices() == 1
		})
	}
	for _, engine := range d.engines[:2] {
		engine.Restart()
		d.register(engine, "ready")
	}
	d.waitUntil("the zone holds the model again", func() bool { return countHeldLayers(d.engines[:2]) == modelLayers })
}
