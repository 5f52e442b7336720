package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestLateHeartbeatBringsNoTargetBack guards against requests to a target that drains or is gone, after the store has performed an
// earlier heartbeat of it late (review/15: 8 to 26 requests later than the drain bound).
func TestLateHeartbeatBringsNoTargetBack(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(d *deployment){
		"draining": func(d *deployment) { d.register(d.plain[0], "draining") },
		"removed":  func(d *deployment) { d.store.Remove("servers", d.plain[0].ID) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.plain[1].Latency = 60 * time.Millisecond // so that the other target is preferred
			daemons := []*Daemon{d.addDaemon("a"), d.addDaemon("a")}
			leaving := d.plain[0]
			late := leaving.Entry("ready")
			d.register(leaving, "ready")
			leave(d)
			for _, daemon := range daemons {
				d.waitUntil("the change is known", func() bool { return daemon.plainTargetsInService() == d.plain[1].ID })
			}
			if err := d.store.Put("servers", leaving.ID, late); err != nil {
				t.Fatal(err)
			}
			before := len(leaving.Arrivals())
			for i, end := 0, time.Now().Add(changeBound); time.Now().Before(end); i++ {
				for n, daemon := range daemons {
					id := fmt.Sprintf("call-%d-%d", n, i)
					if got := d.call(daemon, http.MethodPost, "/post/1", id, "key-1", "body"); got.status != http.StatusOK {
						t.Fatalf("%s: %+v", id, got)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := len(leaving.Arrivals()) - before; n > 0 {
				t.Errorf("%d requests reached the target", n)
			}
			leaving.Restart()
			d.register(leaving, "ready")
			for _, daemon := range daemons {
				d.waitUntil("the restarted target is used", func() bool {
					return daemon.plainTargetsInService() == leaving.ID+" "+d.plain[1].ID
				})
			}
		})
	}
}
