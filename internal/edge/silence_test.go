package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// TestSilentTargetsLoseNoRequest guards against requests that are given up because a target that is sound sends nothing
// for a second or so.
func TestSilentTargetsLoseNoRequest(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		silentAfter int
		silentFor   time.Duration
		noRetries   bool
	}{
		"before the first event":                      {silentFor: 1200 * time.Millisecond},
		"before the first event, no retry left":       {silentFor: 1200 * time.Millisecond, noRetries: true},
		"within a stream":                             {silentFor: 1200 * time.Millisecond, silentAfter: 5},
		"within a stream, no retry left":              {silentFor: 1200 * time.Millisecond, silentAfter: 5, noRetries: true},
		"within a stream, no retry left, 1.5 seconds": {silentFor: 1500 * time.Millisecond, silentAfter: 5, noRetries: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addPlacedDaemon(test.noRetries)
			for _, target := range append(d.engines, d.plain...) {
				target.SetFaults(edgeplatform.TargetFaults{SilentFor: test.silentFor, SilentAfter: test.silentAfter})
			}
			got := d.stream(daemon, "s1")
			d.checkWholeStream(got)
			got = d.call(daemon, http.MethodPost, "/post/1", "p1", "key-1", "x")
			if got.status != http.StatusOK || len(d.runsOf("p1")) != 1 {
				t.Errorf("posting: %+v, runs %+v", got, d.runsOf("p1"))
			}
			for _, target := range d.plain {
				target.SetFaults(edgeplatform.TargetFaults{})
				target.Silence(test.silentFor)
			}
			header := map[string]string{"X-Deadline-Ms": "2000"}
			got = d.callWithHeader(daemon, http.MethodGet, "/read/1", "l1", "key-1", "", header)
			if got.status != http.StatusOK {
				t.Errorf("lookup: %+v", got)
			}
		})
	}
}

// TestUnsentAttemptTakesNoRetry guards against requests that are refused for want of a retry although they have reached no
// target yet.
func TestUnsentAttemptTakesNoRetry(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addDaemonAndAwaitPlacement()
	daemon := d.addDaemonWithoutRetries("a")
	d.plain[0].Close()
	d.engines[0].Close()
	for i := range 6 {
		id := fmt.Sprint("p", i)
		if got := d.call(daemon, http.MethodPost, "/post/1", id, "key-1", "x"); got.status != http.StatusOK {
			t.Errorf("posting: %+v", got)
		}
		if runs := d.runsOf(id); len(runs) != 1 {
			t.Errorf("posting ran %d times", len(runs))
		}
	}
	got := d.stream(daemon, "s")
	if got.status != http.StatusOK || got.err != nil {
		t.Fatalf("stream: %+v", got)
	}
	checkEvents(t, got.body)
}

// addPlacedDaemon starts a daemon and waits until the engines of each zone hold the whole model. With noRetries, it returns
// a second daemon that may send no request a second time.
func (d *deployment) addPlacedDaemon(noRetries bool) *Daemon {
	d.t.Helper()
	daemon := d.addDaemonAndAwaitPlacement()
	if noRetries {
		return d.addDaemonWithoutRetries("a")
	}
	return daemon
}

// addDaemonWithoutRetries starts a daemon that may send no request a second time.
func (d *deployment) addDaemonWithoutRetries(zone string) *Daemon {
	d.t.Helper()
	return d.addDaemonWithRetryRatio(zone, 0)
}

// addDaemonWithRetryRatio starts a daemon that may send ratio retries for each request of ten seconds.
func (d *deployment) addDaemonWithRetryRatio(zone string, ratio float64) *Daemon {
	d.t.Helper()
	s := d.daemonSettings(zone)
	s.Retries = settings.Retries{Ratio: ratio, Span: settings.Duration(10 * time.Second)}
	daemon := d.startDaemon(s)
	d.waitUntil("daemon is ready", func() bool { return daemon.notReadyReason() == "" })
	d.waitUntil("the daemon knows the layers of all engines", func() bool { return daemon.knownLayers() == 2*modelLayers })
	return daemon
}
