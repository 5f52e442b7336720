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
