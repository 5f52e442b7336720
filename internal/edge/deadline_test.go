package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

const (
	// shortTimeout is the timeout of requests in these tests that their targets do not answer in time.
	shortTimeout = 400 * time.Millisecond
	// answerTime is how long after its timeout a request must have its answer.
	answerTime = 500 * time.Millisecond
)

// requestBytes returns the bytes of a request of a caller that waits for timeout at most.
func requestBytes(path, id string, timeout time.Duration) string {
	request := strings.Replace(posting(id), "/post/1", path, 1)
	return strings.Replace(request, "X-Deadline-Ms: 1000", fmt.Sprint("X-Deadline-Ms: ", timeout.Milliseconds()), 1)
}

// delayTargets makes the targets answer, and the engines begin their streams, only after a time.
func (d *deployment) delayTargets(delay time.Duration) {
	for _, target := range d.plain {
		target.Latency = delay
	}
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{FirstEventDelay: delay})
	}
}

// TestTimedOutRequestsAreAnswered guards against connections that are closed without an answer when a request times out,
// because the time to write the answer ends with the time of the request.
func TestTimedOutRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path string
		// callerTimeout is how long the caller waits; routeTimeout, if set, is the timeout that a change of the
		// configuration gives to streams.
		callerTimeout, routeTimeout time.Duration
	}{
		"stream, timeout of the caller":  {path: "/gen/1", callerTimeout: shortTimeout},
		"stream, timeout of the route":   {path: "/gen/1", callerTimeout: 4 * time.Second, routeTimeout: shortTimeout},
		"lookup, timeout of the caller":  {path: "/read/1", callerTimeout: shortTimeout},
		"posting, timeout of the caller": {path: "/post/1", callerTimeout: shortTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			caller := dialCaller(t, daemon)
			caller.write(requestBytes(test.path, "kept", 4*time.Second))
			if status, err := caller.answer(); status != http.StatusOK || err != nil {
				t.Fatalf("request that is answered in time: status %d, %v", status, err)
			}
			if test.routeTimeout > 0 {
				configuration := edgeplatform.Configuration{
					Version: 10, Account: "account-1", Keys: []string{"key-1"}, PostAttempts: 1, StreamTimeout: test.routeTimeout,
				}
				if err := d.store.Put("op", "config", configuration.Row()); err != nil {
					t.Fatal(err)
				}
				d.awaitVersion(d.daemons, 10)
			}
			d.delayTargets(2 * shortTimeout)
			// The second one is answered only if the connection stays open.
			for _, id := range []string{"first", "second"} {
				sent := time.Now()
				caller.write(requestBytes(test.path, id, test.callerTimeout))
				status, err := caller.answer()
				if err != nil {
					t.Fatalf("%s request: %v, ran %d times", id, err, len(d.runsOf(id)))
				}
				if status != http.StatusGatewayTimeout {
					t.Errorf("%s request: status %d, want 504", id, status)
				}
				if took := time.Since(sent); took > shortTimeout+answerTime {
					t.Errorf("%s request: answered after %v", id, took)
				}
			}
		})
	}
}

// TestTimeoutOfStreamEndsWithIt guards against requests that get no answer because the timeout of an earlier stream on
// their connection has passed.
func TestTimeoutOfStreamEndsWithIt(t *testing.T) {
	t.Parallel()
	for name, content := range map[string]string{
		"lookup":    requestBytes("/read/1", "next", 4*time.Second),
		"posting":   requestBytes("/post/1", "next", 4*time.Second),
		"stream":    requestBytes("/gen/1", "next", 4*time.Second),
		"refused":   strings.Replace(requestBytes("/read/1", "next", 4*time.Second), "key-1", "key-0", 1),
		"malformed": "malformed\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			caller := dialCaller(t, daemon)
			const streamTimeout = time.Second // enough for the stream
			caller.write(requestBytes("/gen/1", "stream", streamTimeout))
			if status, err := caller.answer(); status != http.StatusOK || err != nil {
				t.Fatalf("stream: status %d, %v", status, err)
			}
			time.Sleep(streamTimeout)
			caller.write(content)
			want := map[string]int{"refused": http.StatusUnauthorized, "malformed": http.StatusBadRequest}[name]
			if want == 0 {
				want = http.StatusOK
			}
			if status, err := caller.answer(); status != want || err != nil {
				t.Errorf("next request: status %d, want %d, %v", status, want, err)
			}
		})
	}
}

// TestLateBodyGetsAnswer guards against a closed connection in place of an answer if the time of a request ends before
// its body has arrived.
func TestLateBodyGetsAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for _, path := range []string{"/gen/1", "/read/1", "/post/1"} {
		caller := dialCaller(t, daemon)
		request := requestBytes(path, "late"+path, shortTimeout)
		caller.write(request[:len(request)-3])
		time.Sleep(shortTimeout + 100*time.Millisecond)
		caller.write(request[len(request)-3:])
		status, err := caller.answer()
		if status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("%s: status %d, want 503, %v", path, status, err)
		}
		if runs := len(d.runsOf("late" + path)); runs > 0 {
			t.Errorf("%s: ran %d times", path, runs)
		}
	}
}

// TestTimedOutRequestsGetSameAnswer guards against answers that depend on which of two timers ends a request first, its
// own one or that of its connection to the target, and against targets that are suspected because of the latter.
func TestTimedOutRequestsGetSameAnswer(t *testing.T) {
	t.Parallel()
	const requests = 40
	for _, path := range []string{"/gen/1", "/read/1", "/post/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			d.delayTargets(2 * shortTimeout)
			var mu sync.Mutex
			answers := make(map[int]int)
			var running sync.WaitGroup
			for n := range requests {
				running.Go(func() {
					got := d.callWithHeader(daemon, http.MethodPost, path, fmt.Sprint("timed-out-", n), "key-1", "prompt",
						map[string]string{"X-Deadline-Ms": fmt.Sprint(shortTimeout.Milliseconds())})
					mu.Lock()
					defer mu.Unlock()
					answers[got.status]++
				})
				time.Sleep(7 * time.Millisecond)
			}
			running.Wait()
			if answers[http.StatusGatewayTimeout] != requests {
				t.Errorf("answers by status (0: none) %v, want only 504", answers)
			}
			if path == "/read/1" {
				return // a lookup is tried at another target after some time, and the first one is then suspected
			}
			daemon.gateway.WithFleet(func(f *fleet.Fleet) {
				for id, state := range f.All {
					if !state.Usable(boottime.Now()) {
						t.Errorf("%s is suspected because requests had too little time", id)
					}
				}
			})
		})
	}
}
