package edge

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

const (
	// maxLateRequests is the users' bound on the requests that reach a target between lateAfter after it has asked for
	// time and the end of that time.
	maxLateRequests = 2
	lateAfter       = 500 * time.Millisecond
	// refusalBound bounds the time of a call that is refused at once.
	refusalBound = 500 * time.Millisecond
)

// callTimer measures the time of a call without the longest time that one thread of this process, which holds caller,
// daemon and targets, was ready to run and got no processor.
type callTimer struct {
	start time.Time
	waits map[string]time.Duration
}

func startCallTimer() callTimer {
	return callTimer{waits: processorWaits(), start: time.Now()}
}

// elapsed returns the time since the start, and how much of it is left without the longest wait for a processor.
func (c callTimer) elapsed() (total, net time.Duration) {
	total = time.Since(c.start)
	longest := time.Duration(0)
	for thread, wait := range processorWaits() {
		longest = max(longest, wait-c.waits[thread])
	}
	return total, total - longest
}

// processorWaits returns the time that each thread of this process has waited for a processor. It is empty on a system
// that does not report it.
func processorWaits() map[string]time.Duration {
	waits := make(map[string]time.Duration)
	files, _ := filepath.Glob("/proc/self/task/*/schedstat") // the pattern is valid
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(content), &ran, &waited); err == nil {
			waits[file] = time.Duration(waited)
		}
	}
	return waits
}

// checkLateRequests fails the test if a target that asked for time got more requests in it than the bound allows.
func checkLateRequests(t *testing.T, target *edgeplatform.Target, asked time.Duration) {
	t.Helper()
	arrivals := target.Arrivals()
	if len(arrivals) == 0 {
		t.Errorf("%s got no request", target.ID)
		return
	}
	late, first := 0, arrivals[0].At
	for _, arrival := range arrivals {
		if after := arrival.At.Sub(first); after > lateAfter && after < asked {
			late++
		}
	}
	if late > maxLateRequests {
		t.Errorf("%s asked for %v and got %d requests after %v", target.ID, asked, late, lateAfter)
	}
}

// checkOneCallPerEnd fails the test unless calls have reached a target at the end of the time that it asked for, and only
// one at the end of each such time, since the target refuses this call and asks for as much time again.
func checkOneCallPerEnd(t *testing.T, target *edgeplatform.Target, asked time.Duration) {
	t.Helper()
	arrivals := target.Arrivals()
	if len(arrivals) < 2 {
		t.Errorf("%s got %d requests, none at the end of its time", target.ID, len(arrivals))
	}
	for i := 1; i < len(arrivals); i++ {
		if after := arrivals[i].At.Sub(arrivals[i-1].At); after < asked {
			t.Errorf("%s asked for %v and got a request after %v", target.ID, asked, after)
		}
	}
}

// checkRefusedAtOnce fails the test unless a call that was sent at the start of the timer was refused at once, with a
// delay that ends no earlier than the time that the target asked for.
func checkRefusedAtOnce(t *testing.T, got result, timer callTimer, target *edgeplatform.Target, asked time.Duration) {
	t.Helper()
	total, took := timer.elapsed()
	seconds, err := strconv.ParseFloat(got.retryAfter, 64)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "overloaded") || err != nil {
		t.Errorf("call while all targets asked for time: %+v", got)
		return
	}
	if took > refusalBound {
		t.Errorf("refused after %v, %v without the wait for a processor", total, took)
	}
	end := target.Arrivals()[0].At.Add(asked)
	if retry := time.Now().Add(time.Duration(seconds * float64(time.Second))); retry.Before(end) {
		t.Errorf("the caller may return %v before the end of the time", end.Sub(retry))
	}
}

// read sends a call of a plain service.
func (d *deployment) read(daemon *Daemon, id string) result {
	return d.call(daemon, http.MethodGet, "/read/1", id, "key-1", "")
}

// TestPlainTargetGetsTheTimeItAskedFor guards against calls and retries that go to a target that asked for time while
// another one serves them.
func TestPlainTargetGetsTheTimeItAskedFor(t *testing.T) {
	t.Parallel()
	const asked = 5 * time.Second
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	d.plain[0].SetFaults(edgeplatform.TargetFaults{RefuseFor: asked})
	d.waitUntil("the target has refused a call", func() bool {
		return d.read(daemon, fmt.Sprintf("r%d", time.Now().UnixNano())).status == http.StatusOK && len(d.plain[0].Arrivals()) > 0
	})
	for end := d.plain[0].Arrivals()[0].At.Add(asked); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := d.read(daemon, fmt.Sprintf("c%d", time.Now().UnixNano())); got.status != http.StatusOK {
			t.Fatalf("call while one target asked for time: %+v", got)
		}
	}
	checkLateRequests(t, d.plain[0], asked)
	if _, saved := daemon.gateway.Backoffs(); saved == 0 {
		t.Error("no saved attempts are counted")
	}
}

// TestCallsAreRefusedWhileAllPlainTargetsAskedForTime guards against calls that wait for targets that asked for time,
// or whose callers are told to return too early, and against all callers reaching a target at the end of its time.
func TestCallsAreRefusedWhileAllPlainTargetsAskedForTime(t *testing.T) {
	t.Parallel()
	const asked = 3 * time.Second
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{RefuseFor: asked})
	}
	d.read(daemon, "first")
	first := d.plain[0]
	if other := d.plain[1]; len(first.Arrivals()) == 0 || len(other.Arrivals()) > 0 &&
		other.Arrivals()[0].At.Before(first.Arrivals()[0].At) {
		first = other
	}
	start := first.Arrivals()[0].At
	for i := 0; time.Since(start) < asked-lateAfter; i++ {
		timer := startCallTimer()
		checkRefusedAtOnce(t, d.read(daemon, fmt.Sprintf("c%d", i)), timer, first, asked)
		time.Sleep(20 * time.Millisecond)
	}
	for _, target := range d.plain {
		checkLateRequests(t, target, asked)
	}
	time.Sleep(time.Until(start.Add(asked + lateAfter)))
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { d.read(daemon, fmt.Sprintf("after%d", i)) })
	}
	wg.Wait()
	for _, target := range d.plain {
		checkOneCallPerEnd(t, target, asked)
	}
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{})
	}
	d.waitUntil("calls are served again", func() bool {
		return d.read(daemon, fmt.Sprintf("r%d", time.Now().UnixNano())).status == http.StatusOK
	})
}

// firstEngines returns the engines that hold the first layer.
func (d *deployment) firstEngines() (first []*edgeplatform.Target) {
	for _, engine := range d.engines {
		if from, to, _ := engine.Layers(); from == 0 && to > 0 {
			first = append(first, engine)
		}
	}
	return first
}

// TestFirstEngineGetsTheTimeItAskedFor guards against streams, retries, report requests and orders that go to an engine
// that asked for time while another one begins paths.
func TestFirstEngineGetsTheTimeItAskedFor(t *testing.T) {
	t.Parallel()
	const asked = 5 * time.Second
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	first, _ := d.findPath(daemon)
	before := len(first.Arrivals())
	first.SetFaults(edgeplatform.TargetFaults{RefuseFor: asked})
	for i, end := 0, time.Now().Add(asked); time.Now().Before(end); i++ {
		if got := d.stream(daemon, fmt.Sprintf("s%d", i)); got.status != http.StatusOK || got.err != nil {
			t.Fatalf("stream while one engine asked for time: %+v", got)
		}
	}
	late, arrivals := 0, first.Arrivals()[before:]
	for _, arrival := range arrivals {
		if after := arrival.At.Sub(arrivals[0].At); after > lateAfter && after < asked {
			late++
		}
	}
	if len(arrivals) == 0 || late > maxLateRequests {
		t.Errorf("the engine got %d requests, %d of them late", len(arrivals), late)
	}
}

// TestStreamsAreRefusedWhileAllFirstEnginesAskedForTime guards against streams that are held until their time limit while
// all first engines have asked for time.
func TestStreamsAreRefusedWhileAllFirstEnginesAskedForTime(t *testing.T) {
	t.Parallel()
	const asked = 4 * time.Second
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	engines := d.firstEngines()
	for _, engine := range engines {
		engine.SetFaults(edgeplatform.TargetFaults{RefuseFor: asked})
	}
	d.waitUntil("all first engines have refused", func() bool {
		d.stream(daemon, fmt.Sprintf("w%d", time.Now().UnixNano()))
		for _, engine := range engines {
			if len(engine.Arrivals()) == 0 {
				return false
			}
		}
		return true
	})
	first := engines[0]
	for _, engine := range engines {
		if engine.Arrivals()[0].At.Before(first.Arrivals()[0].At) {
			first = engine
		}
	}
	for i := 0; time.Since(first.Arrivals()[0].At) < asked-lateAfter; i++ {
		timer := startCallTimer()
		checkRefusedAtOnce(t, d.stream(daemon, fmt.Sprintf("s%d", i)), timer, first, asked)
		time.Sleep(20 * time.Millisecond)
	}
	for _, engine := range engines {
		checkLateRequests(t, engine, asked)
	}
	for _, engine := range engines {
		engine.SetFaults(edgeplatform.TargetFaults{})
	}
	d.waitUntil("streams are served again", func() bool {
		return d.stream(daemon, fmt.Sprintf("r%d", time.Now().UnixNano())).status == http.StatusOK
	})
}
