package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/fx"

	"github.com/hyssophoist/hyssophoist/core/relay"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
)

// falsePromises are the statuses by which a target that has run a request seems to say that it has not. 421 is not among them: it is a
// proof.
var falsePromises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestRunIsNotPromisedAway guards against callers that are told that a request that may run only once has not run, by the status of a
// target that has run it, and repeat it (review/12: 11 to 44 of 600 payments were booked twice).
func TestRunIsNotPromisedAway(t *testing.T) {
	t.Parallel()
	for _, status := range falsePromises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			faults := edgeplatform.TargetFaults{RawStatus: fmt.Sprint(status)}
			for _, target := range append(d.plain, d.engines...) {
				target.SetFaults(faults)
			}
			for path, want := range map[string]int{
				"/post/1": http.StatusBadGateway, "/gen-once/1": http.StatusBadGateway,
				// Callers repeat these after any failure, so that the target's own is returned unchanged.
				"/read/1": status,
			} {
				id := fmt.Sprint("request", path)
				got := d.call(daemon, http.MethodPost, path, id, "key-1", "body")
				runs := len(d.runsOf(id))
				if got.status != want || got.retryAfter != "" || (got.stamp != "") != (want == status) || runs == 0 {
					t.Errorf("%s: %+v after %d runs, want status %d", path, got, runs, want)
				}
				if want != status && runs != 1 {
					t.Errorf("%s: ran %d times", path, runs)
				}
			}
		})
	}
}

// TestRelayedRunIsNotPromisedAway guards against the same where another instance, which may be of the build before, has forwarded the
// target's response.
func TestRelayedRunIsNotPromisedAway(t *testing.T) {
	t.Parallel()
	for _, status := range falsePromises {
		for stamp, want := range map[string]int{"stamp-plain-0": http.StatusBadGateway, "": status} {
			t.Run(fmt.Sprint(status, stamp), func(t *testing.T) {
				t.Parallel()
				peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					if stamp != "" {
						w.Header().Set("X-Server-Stamp", stamp)
					}
					w.WriteHeader(status)
				}))
				t.Cleanup(peer.Close)
				d := newDeployment(t)
				links := newTargetLinks(t)
				settings := d.daemonSettings("a")
				settings.Relay = "" // the test sets the peers in place of the daemon
				daemon := d.startDaemon(settings, links.option(), fx.Invoke(func(g *gateway.Gateway) {
					g.RelayTo(gateway.RelayOptions{Self: "edge-0", Pool: connpool.New(), Peers: func() []relay.Peer {
						return []relay.Peer{{ID: "edge-1", Zone: "a", Address: peer.Listener.Addr().String()}}
					}})
				}))
				d.waitUntil("daemon is ready", func() bool { return daemon.notReadyReason() == "" })
				links.cut(linksRefuse, (*faultproxy.Proxy).Reset)
				d.waitUntil("the daemon is isolated", func() bool {
					d.call(daemon, http.MethodGet, "/read/1", "find-out", "key-1", "")
					return daemon.gateway.IsolatedServices() > 0
				})
				if got := d.call(daemon, http.MethodPost, "/post/1", "post", "key-1", "body"); got.status != want {
					t.Errorf("%+v, want status %d", got, want)
				}
			})
		}
	}
}
