package edge

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestPathThatComesLaterIsUsedInTime guards against a begun stream whose engine is dead and that takes up a path which
// appears in the meantime only after its caller has left.
func TestPathThatComesLaterIsUsedInTime(t *testing.T) {
	t.Parallel()
	const callerPatience = 2 * time.Second
	for name, after := range map[string]time.Duration{
		"0.9s": 900 * time.Millisecond, "1.3s": 1300 * time.Millisecond, "1.4s": 1400 * time.Millisecond, "1.6s": 1600 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			first, second := d.findPath(daemon)
			others := d.drainOthers(daemon, first, second)
			first.SetFaults(edgeplatform.TargetFaults{SilentFor: 20 * time.Second, SilentAfter: 5})
			pause := make(chan time.Duration, 1)
			go func() { pause <- d.longestPause(daemon, "begun") }()
			d.waitUntil("the stream runs", func() bool { return len(d.runsOf("begun")) > 0 })
			time.Sleep(after)
			for _, engine := range others {
				d.register(engine, "ready")
			}
			got := <-pause
			t.Logf("path after %v, pause %v", after, got)
			if got > callerPatience {
				t.Errorf("pause of %v, the caller leaves after %v", got, callerPatience)
			}
		})
	}
}

// longestPause sends a stream and returns the longest time between two events.
func (d *deployment) longestPause(daemon *Daemon, id string) (pause time.Duration) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+daemon.settings.Front+"/gen/1", strings.NewReader("prompt"))
	request.Host = edgeplatform.Host
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "8000", "X-Key": "key-1"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		d.t.Error(err)
		return 0
	}
	defer response.Body.Close()
	last := time.Now()
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); last = time.Now() {
		pause = max(pause, time.Since(last))
	}
	return max(pause, time.Since(last))
}

// TestBegunStreamIsKeptAfterComment guards against a stream whose caller has got the head of the response and a comment, and
// that is closed because its engine is silent before the first event.
func TestBegunStreamIsKeptAfterComment(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addDaemonAndAwaitPlacement()
	daemon := d.addDaemonWithoutRetries("a")
	for _, engine := range d.engines {
		engine.SetFaults(edgeplatform.TargetFaults{CommentFirst: true, FirstEventDelay: 100 * time.Millisecond})
	}
	got := d.start(func() result { return d.stream(daemon, "commented") })
	d.waitUntil("the stream runs", func() bool { return len(d.runsOf("commented")) > 0 })
	time.Sleep(30 * time.Millisecond)
	for _, engine := range d.engines {
		engine.Silence(2300 * time.Millisecond)
	}
	d.checkWholeStream(<-got)
}

// TestIdleConnectionsAreClosedInTime guards against idle connections that use up the descriptors of an instance.
func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	caller := dialCaller(t, daemon)
	caller.write(posting("first"))
	status, err := caller.answer()
	d.checkAnswered(t, "first", status, err)
	idleTimeout := daemon.gateway.Configuration().Limits.IdleTimeout
	time.Sleep(idleTimeout * 4 / 5)
	caller.write(posting("second"))
	sent := time.Now()
	status, err = caller.answer()
	d.checkAnswered(t, "second", status, err)
	idleSince := time.Now()
	if err := caller.SetReadDeadline(idleSince.Add(2*idleTimeout + waitLimit)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, caller.reader); err != nil {
		t.Fatal(err)
	}
	// The daemon counts from when it has written the answer, which is after it was asked and before the caller has read it.
	atLeast, atMost := time.Since(idleSince), time.Since(sent)
	if atMost < 2*idleTimeout || atLeast > 2*idleTimeout+time.Second {
		t.Errorf("closed after %v to %v without a request, want twice the idle timeout, %v", atLeast, atMost, idleTimeout)
	}
}
