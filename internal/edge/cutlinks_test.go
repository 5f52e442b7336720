package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

// addDaemonWithLinks starts a daemon in zone a, and waits until it knows all targets of the plain service.
func (d *deployment) addDaemonWithLinks(links *targetLinks) *Daemon {
	d.t.Helper()
	daemon := d.startDaemon(d.daemonSettings("a"), links.option())
	d.waitUntil("daemon is ready", func() bool { return daemon.notReadyReason() == "" })
	return daemon
}

// addThirdPlainTarget starts one more target of the plain service than its routes allow for one request.
func (d *deployment) addThirdPlainTarget() {
	third := edgeplatform.NewTarget("plain-2", "ledger", "a", "", 0)
	d.plain = append(d.plain, third)
	d.t.Cleanup(third.Close)
	d.register(third, "ready")
}

// countTargetsOf returns the number of targets of the plain service at which a request has run.
func (d *deployment) countTargetsOf(id string) (count int) {
	for _, target := range d.plain {
		for _, run := range target.Runs() {
			if run.RequestID == id {
				count++
				break
			}
		}
	}
	return count
}

// TestRefusedLinksUseUpAttempts guards against calls that run on more targets than their route allows because targets count as
// ended whose connections a partition has refused.
func TestRefusedLinksUseUpAttempts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addThirdPlainTarget()
	links := newTargetLinks(t)
	daemon := d.addDaemonWithLinks(links)
	d.waitUntil("the daemon knows the targets", func() bool { return daemon.plainTargetsInService() == "plain-0 plain-1 plain-2" })
	links.cut(linksRefuse, (*faultproxy.Proxy).Reset)
	for n := range 6 {
		d.call(daemon, http.MethodGet, "/read/1", fmt.Sprint("cut-", n), "key-1", "")
	}
	links.restore()
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{FailStatus: http.StatusInternalServerError})
	}
	for n := range 20 {
		id := fmt.Sprint("after-", n)
		d.call(daemon, http.MethodGet, "/read/1", id, "key-1", "")
		if count := d.countTargetsOf(id); count > 2 {
			t.Fatalf("request %s ran on %d targets, its route allows 2", id, count)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkAllKindsServed makes calls and a stream at the daemon, and fails the test unless each is served within its objective.
func (d *deployment) checkAllKindsServed(daemon *Daemon, name string) {
	d.t.Helper()
	for n, test := range []struct{ method, path string }{
		{http.MethodGet, "/read/1"}, {http.MethodPost, "/post/1"}, {http.MethodPost, "/gen/1"},
	} {
		id := fmt.Sprint(name, "-", n)
		begun := time.Now()
		got := d.call(daemon, test.method, test.path, id, "key-1", "body")
		if got.status != http.StatusOK || got.err != nil || got.stamp == "" {
			d.t.Errorf("%s %s: %+v", test.method, test.path, got)
		}
		if took := time.Since(begun); took > time.Second {
			d.t.Errorf("%s %s took %v", test.method, test.path, took)
		}
		if runs := d.runsOf(id); len(runs) != 1 {
			d.t.Errorf("%s %s: %d runs, want 1", test.method, test.path, len(runs))
		}
	}
}

// TestInstanceWithoutLinksServesCallers guards against callers that are refused because their instance, and not its targets, is
// cut off.
func TestInstanceWithoutLinksServesCallers(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(*targetLinks){
		"refused":                  func(l *targetLinks) { l.cut(linksRefuse, (*faultproxy.Proxy).Reset) },
		"hanging":                  func(l *targetLinks) { l.cut(linksHang, (*faultproxy.Proxy).Blackhole) },
		"open connections live on": func(l *targetLinks) { l.cut(linksRefuse, func(*faultproxy.Proxy) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.addDaemonAndAwaitPlacement()
			links := newTargetLinks(t)
			daemon := d.addDaemonWithLinks(links)
			d.waitUntil("the daemon knows all targets", func() bool { return daemon.knownLayers() == 2*modelLayers })
			d.checkAllKindsServed(daemon, "before")
			cut(links)
			d.waitUntil("a call is served again", func() bool {
				return d.call(daemon, http.MethodGet, "/read/1", "probe", "key-1", "").status == http.StatusOK
			})
			d.waitUntil("a stream is served again", func() bool {
				return d.stream(daemon, "probe-stream").status == http.StatusOK
			})
			d.checkAllKindsServed(daemon, "cut")
			links.restore()
			d.waitUntil("the daemon reaches its targets", func() bool {
				d.call(daemon, http.MethodGet, "/read/1", "probe-after", "key-1", "")
				return links.accepted() > 0
			})
			d.checkAllKindsServed(daemon, "after")
		})
	}
}
