package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// soundSilence is the longest time for which a sound target may send nothing.
const soundSilence = 1600 * time.Millisecond

// unreachableAddress returns an address at which connections are neither accepted nor refused: the queue of its listener
// is full.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listen, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(listen) })
	if err := syscall.Bind(listen, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(listen, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(listen)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		caller, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { syscall.Close(caller) })
		if err := syscall.Connect(caller, bound); err != nil && err != syscall.EINPROGRESS {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// otherPlainTarget is the state of the second target of the service without layers in a test.
type otherPlainTarget struct {
	removed, unreachable bool
	faults               edgeplatform.TargetFaults
	// silentFrom is when it falls silent for soundSilence, from the start of the request; 0 for never.
	silentFrom time.Duration
}

// preferFirstPlainTarget makes daemons of zone a choose the first target of the service without layers first, and gives
// the second one its state. It is called before daemons are started.
func (d *deployment) preferFirstPlainTarget(other otherPlainTarget) {
	d.t.Helper()
	second := d.plain[1]
	second.Zone = "b"
	second.SetFaults(other.faults)
	if other.unreachable {
		second.Advertise(unreachableAddress(d.t))
	}
	d.register(second, "ready")
	if other.removed {
		d.store.Remove("servers", second.ID)
	}
}

// TestSilentTargetLosesNoPlainCall guards against plain calls that are given up because their target, which is sound, sends
// nothing for a second or so, although no other target can serve them.
func TestSilentTargetLosesNoPlainCall(t *testing.T) {
	t.Parallel()
	const post, read = http.MethodPost, http.MethodGet
	for name, test := range map[string]struct {
		method    string
		limit     time.Duration
		silentFor time.Duration
		inBody    bool // the target falls silent in the middle of the body
		latency   time.Duration
		noRetries bool
		other     otherPlainTarget
	}{
		"posting, no other target":                {method: post, other: otherPlainTarget{removed: true}},
		"posting, other target free, short limit": {method: post, limit: 1800 * time.Millisecond},
		"posting, no retry left":                  {method: post, noRetries: true},
		"posting, within the body":                {method: post, inBody: true},
		"lookup, no other target":                 {method: read, other: otherPlainTarget{removed: true}},
		"lookup, no retry left":                   {method: read, noRetries: true},
		"lookup, other target free":               {method: read, limit: time.Second, silentFor: 900 * time.Millisecond},
		"lookup, other target falls silent later": {
			method: read, limit: 2 * time.Second, other: otherPlainTarget{silentFrom: 700 * time.Millisecond},
		},
		"lookup, other target refuses": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Refuse: true}},
		},
		"lookup, other target asks for time": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{RefuseFor: time.Second}},
		},
		"lookup, other target breaks off": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{LoseResponses: true}},
		},
		"lookup, other target hangs": {
			method: read, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Hang: true}},
		},
		"lookup, other target unreachable": {method: read, other: otherPlainTarget{unreachable: true}},
		"lookup, within the body, other target refuses": {
			method: read, inBody: true, other: otherPlainTarget{faults: edgeplatform.TargetFaults{Refuse: true}},
		},
		"lookup, within the body, other target unreachable": {
			method: read, inBody: true, other: otherPlainTarget{unreachable: true},
		},
		"lookup, all targets take long": {
			method: read, limit: 2 * time.Second, silentFor: time.Millisecond, latency: 1300 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.preferFirstPlainTarget(test.other)
			daemon := d.plainDaemon(test.noRetries, test.other.removed)
			limit, silentFor := test.limit, test.silentFor
			if limit == 0 {
				limit = 3 * time.Second
			}
			if silentFor == 0 {
				silentFor = soundSilence
			}
			faults := edgeplatform.TargetFaults{SilentFor: silentFor}
			if test.inBody {
				faults = edgeplatform.TargetFaults{SilentInBody: silentFor}
			}
			d.plain[0].SetFaults(faults)
			for _, target := range d.plain {
				target.Latency = test.latency
			}
			if test.other.silentFrom > 0 {
				time.AfterFunc(test.other.silentFrom, func() { d.plain[1].Silence(soundSilence) })
			}
			begun := time.Now()
			got := d.plainCall(daemon, test.method, "x", limit)
			if got.status != http.StatusOK || got.err != nil {
				t.Errorf("after %v: %+v, runs %+v", time.Since(begun), got, d.runsOf("x"))
			}
			if runs := d.runsOf("x"); test.method == post && len(runs) != 1 || len(runs) > 2 {
				t.Errorf("runs %+v", runs)
			}
		})
	}
}

// plainDaemon starts a daemon and waits until it knows the targets of the service without layers.
func (d *deployment) plainDaemon(noRetries, oneTarget bool) *Daemon {
	d.t.Helper()
	s := d.daemonSettings("a")
	if noRetries {
		s.Retries.Ratio, s.Retries.Slack = 0, 0
	}
	daemon := d.startDaemon(s)
	want := "plain-0 plain-1"
	if oneTarget {
		want = "plain-0"
	}
	d.waitUntil("daemon is ready and knows the targets", func() bool {
		return daemon.notReadyReason() == "" && daemon.plainTargetsInService() == want
	})
	return daemon
}

// plainCall sends a posting or, with the method GET, a lookup that may take the time limit.
func (d *deployment) plainCall(daemon *Daemon, method, id string, limit time.Duration) result {
	d.t.Helper()
	path, body := "/read/1", ""
	if method == http.MethodPost {
		path, body = "/post/1", "x"
	}
	header := map[string]string{"X-Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10)}
	return d.callWithHeader(daemon, method, path, id, "key-1", body, header)
}

// waitingCall is a request that is sent in the background.
type waitingCall struct {
	id       string
	result   result
	finished time.Time
	done     chan struct{}
}

// sendAll sends a posting, a lookup and a stream that may last for limit, and waits until all run.
func (d *deployment) sendAll(daemon *Daemon, prefix string, limit time.Duration) []*waitingCall {
	d.t.Helper()
	var calls []*waitingCall
	for _, kind := range []string{"post", "read", "gen"} {
		call := &waitingCall{id: prefix + kind, done: make(chan struct{})}
		calls = append(calls, call)
		method := http.MethodPost
		if kind == "read" {
			method = http.MethodGet
		}
		header := map[string]string{"X-Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10)}
		go func() {
			defer close(call.done)
			call.result = d.callWithHeader(daemon, method, "/"+kind+"/1", call.id, "key-1", "", header)
			call.finished = time.Now()
		}()
	}
	return calls
}

// silenceAll makes all targets fall silent for a time when the next request arrives, or from now on.
func (d *deployment) silenceAll(silence time.Duration, now bool) {
	for _, target := range append(d.engines, d.plain...) {
		if now {
			target.Silence(silence)
		} else {
			target.SetFaults(edgeplatform.TargetFaults{SilentFor: silence})
		}
	}
}

// TestSilenceDuringStop guards against requests that a stopping daemon ends because their targets, which are sound, send
// nothing for a second or so.
func TestSilenceDuringStop(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		sentAfter time.Duration // after the start of the stop, negative if before
		noRetries bool
	}{
		"sent before the stop":                        {sentAfter: -300 * time.Millisecond},
		"sent before the stop, no retry left":         {sentAfter: -300 * time.Millisecond, noRetries: true},
		"sent during the stop":                        {sentAfter: time.Second},
		"sent at the end of the balancer delay":       {sentAfter: 2300 * time.Millisecond},
		"sent at the end of the delay, no retry left": {sentAfter: 2300 * time.Millisecond, noRetries: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addPlacedDaemon(test.noRetries)
			daemon.settings.StopGrace = settings.Duration(8 * time.Second)
			d.silenceAll(soundSilence, false)
			var calls []*waitingCall
			if test.sentAfter < 0 {
				calls = d.sendAll(daemon, "x-", 4*time.Second)
				time.Sleep(-test.sentAfter)
			}
			go daemon.drain()
			if test.sentAfter >= 0 {
				time.Sleep(test.sentAfter)
				calls = d.sendAll(daemon, "x-", 4*time.Second)
			}
			for _, call := range calls {
				<-call.done
				if got := call.result; got.status != http.StatusOK || got.err != nil {
					t.Errorf("%s: %+v, runs %+v", call.id, got, d.runsOf(call.id))
				}
			}
		})
	}
}

// TestSilenceAtEndOfGraceTimeGetsAnswer guards against requests that get no answer, or one too early, because their targets
// are silent, or engines are missing, when a stopping daemon reaches the end of its grace time.
func TestSilenceAtEndOfGraceTimeGetsAnswer(t *testing.T) {
	t.Parallel()
	const untilCut = 5 * time.Second // from the start of the requests to the end of the grace time and some more
	for name, test := range map[string]struct {
		silentAt       time.Duration // from the start of the requests
		missingEngines bool
	}{
		"silent all the while":  {},
		"silent before the end": {silentAt: 3 * time.Second},
		"engines missing":       {missingEngines: true, silentAt: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range append(d.engines, d.plain...) {
				target.SetFaults(edgeplatform.TargetFaults{Hang: true})
			}
			sent := time.Now()
			calls := d.sendAll(daemon, "x-", 20*time.Second)
			time.Sleep(200 * time.Millisecond)
			begun := time.Now()
			go daemon.drain()
			time.Sleep(time.Until(sent.Add(test.silentAt)))
			d.silenceAll(untilCut-test.silentAt, true)
			if test.missingEngines {
				for _, engine := range d.engines {
					engine.Advertise(unreachableAddress(t))
					engine.Restart()
					d.register(engine, "ready")
				}
			}
			end := begun.Add(time.Duration(daemon.settings.StopGrace))
			for _, call := range calls {
				<-call.done
				got, isStream, ran := call.result, call.id == "x-gen", len(d.runsOf(call.id)) > 0
				t.Logf("%s: status %d, %v, after %v", call.id, got.status, got.err, call.finished.Sub(begun))
				if got.err != nil || got.status < 500 || got.status == http.StatusServiceUnavailable && ran {
					t.Errorf("%s: %+v, runs %+v", call.id, got, d.runsOf(call.id))
				}
				if call.finished.After(end) || !isStream && call.finished.Before(end.Add(-stopMargin)) {
					t.Errorf("%s was answered after %v of the stop", call.id, call.finished.Sub(begun))
				}
			}
		})
	}
}

// TestBegunStreamSilentAtEndOfGraceTime guards against begun streams that a stopping daemon cuts off before the end of its
// grace time because their engines, which are sound, send nothing for a second or so.
func TestBegunStreamSilentAtEndOfGraceTime(t *testing.T) {
	t.Parallel()
	for name, noRetries := range map[string]bool{"retries left": false, "no retry left": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			if noRetries {
				daemon = d.addDaemonWithoutRetries("a")
			}
			for _, engine := range d.engines {
				engine.Events = 4000
			}
			stream := d.sendAll(daemon, "x-", 20*time.Second)[2]
			d.waitUntil("the stream runs", func() bool { return len(d.runsOf(stream.id)) > 0 })
			begun := time.Now()
			go daemon.drain()
			end := begun.Add(time.Duration(daemon.settings.StopGrace) - stopMargin)
			time.Sleep(time.Until(end.Add(-soundSilence)))
			d.silenceAll(soundSilence+time.Second, true)
			<-stream.done
			if stream.result.err == nil || stream.finished.Before(end) {
				t.Errorf("after %v of the stop: %d, %v", stream.finished.Sub(begun), stream.result.status, stream.result.err)
			}
		})
	}
}

// TestSilenceBesideChange guards against requests that end without their answer because the configuration, the list of
// targets or the settings change while their targets, which are sound, are silent.
func TestSilenceBesideChange(t *testing.T) {
	t.Parallel()
	withRoutes := func(change func(routes []any) []any) func(*deployment, *Daemon) {
		return func(d *deployment, daemon *Daemon) {
			row := edgeplatform.Configuration{Version: 2, Account: "account-1", Keys: []string{"key-1"}, PostAttempts: 1}.Row()
			row["routes"] = change(row["routes"].([]any))
			if err := d.store.Put("op", "config", row); err != nil {
				d.t.Error(err)
			}
			d.waitUntil("the change is in force", func() bool { return daemon.gateway.Configuration().Version == 2 })
		}
	}
	setAll := func(name string, value any) func(routes []any) []any {
		return func(routes []any) []any {
			for _, route := range routes {
				route.(map[string]any)[name] = value
			}
			return routes
		}
	}
	for name, change := range map[string]func(*deployment, *Daemon){
		"shorter timeout":                 withRoutes(setAll("timeoutMs", 500)),
		"fewer attempts":                  withRoutes(setAll("maxAttempts", 1)),
		"all routes dropped":              withRoutes(func([]any) []any { return nil }),
		"streaming becomes a plain route": withRoutes(setAll("routeKind", "idempotent")),
		"key dropped": func(d *deployment, daemon *Daemon) {
			d.configure(2, "key-2")
			d.waitUntil("the change is in force", func() bool { return daemon.gateway.Configuration().Version == 2 })
		},
		"all targets of the plain service leave": func(d *deployment, daemon *Daemon) {
			for _, target := range d.plain {
				d.register(target, "draining")
			}
			d.waitUntil("the change is known", func() bool { return daemon.plainTargetsInService() == "" })
		},
		"all targets of the plain service removed": func(d *deployment, daemon *Daemon) {
			for _, target := range d.plain {
				d.store.Remove("servers", target.ID)
			}
			d.waitUntil("the change is known", func() bool { return daemon.plainTargetsInService() == "" })
		},
		"reload": func(_ *deployment, daemon *Daemon) { reload("missing.toml", daemon.settings) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			d.silenceAll(soundSilence, false)
			calls := d.sendAll(daemon, "x-", 4*time.Second)
			d.waitUntil("all run", func() bool {
				return len(d.runsOf("x-post")) > 0 && len(d.runsOf("x-read")) > 0 && len(d.runsOf("x-gen")) > 0
			})
			change(d, daemon)
			for _, call := range calls {
				<-call.done
				if got := call.result; got.status != http.StatusOK || got.err != nil {
					t.Errorf("%s: %+v, runs %+v", call.id, got, d.runsOf(call.id))
				}
			}
		})
	}
}

// TestSilenceOfBusyTargetCountsOnce guards against a target that gets no calls for seconds after a silence of a second or
// so, so that the others are overloaded: each call that waits for it counted as a further failure.
func TestSilenceOfBusyTargetCountsOnce(t *testing.T) {
	t.Parallel()
	const calls = 8
	d := newDeployment(t)
	daemon := d.plainDaemon(false, false)
	for _, target := range d.plain {
		target.Latency = 50 * time.Millisecond
	}
	d.plain[0].Silence(time.Second)
	var running sync.WaitGroup
	for n := range 2 * calls {
		running.Go(func() {
			if got := d.plainCall(daemon, http.MethodGet, fmt.Sprint("x-", n), 2*time.Second); got.status != http.StatusOK {
				t.Errorf("call %d: %+v", n, got)
			}
		})
	}
	running.Wait()
	suspectedFrom := time.Now()
	d.waitUntil("the target gets calls again", func() bool {
		usable := false
		daemon.gateway.WithFleet(func(f *fleet.Fleet) { usable = f.Get("plain-0").Usable(boottime.Now()) })
		return usable
	})
	if suspected := time.Since(suspectedFrom); suspected > time.Second {
		t.Errorf("the target got no calls for %v after the silence", suspected)
	}
}

// TestKeptConnectionClosedAfterSilence guards against lookups that fail because their target, which is sound and the only
// one, closes a kept connection when it goes on after a silence: for the target it has been idle for too long.
func TestKeptConnectionClosedAfterSilence(t *testing.T) {
	t.Parallel()
	const silence = time.Second
	d := newDeployment(t)
	d.preferFirstPlainTarget(otherPlainTarget{removed: true})
	daemon := d.plainDaemon(false, true)
	if got := d.plainCall(daemon, http.MethodGet, "first", waitLimit); got.status != http.StatusOK {
		t.Fatalf("first lookup: %+v", got)
	}
	target := d.plain[0]
	target.Silence(silence)
	time.AfterFunc(silence/2, target.Restart) // closes the connections
	if got := d.plainCall(daemon, http.MethodGet, "second", 3*time.Second); got.status != http.StatusOK || got.err != nil {
		t.Errorf("second lookup: %+v, runs %+v", got, d.runsOf("second"))
	}
}
