package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestHalfClosedConnectionGetsHonestAnswer guards against empty responses with status 200 and truncated streams that look
// complete, which a caller would get that closes its sending side after its request.
func TestHalfClosedConnectionGetsHonestAnswer(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"posting": "/post/1", "lookup": "/read/1", "stream": "/gen/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range append(d.engines, d.plain...) {
				target.SetFaults(edgeplatform.TargetFaults{SilentFor: 300 * time.Millisecond, SilentAfter: 0})
			}
			if name == "stream" {
				for _, engine := range d.engines {
					engine.SetFaults(edgeplatform.TargetFaults{SilentFor: 300 * time.Millisecond, SilentAfter: 5})
				}
			}
			caller := dialCaller(t, daemon)
			caller.write(strings.Replace(posting("half"), "/post/1", path, 1))
			d.waitUntil("the request runs", func() bool { return len(d.runsOf("half")) > 0 })
			time.Sleep(100 * time.Millisecond)
			if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(caller.reader, nil)
			if err != nil {
				return // a closed connection promises nothing
			}
			body, err := io.ReadAll(response.Body)
			switch {
			case err != nil: // the caller can tell that the response is not complete
			case response.StatusCode == http.StatusOK && name == "stream":
				checkEvents(t, string(body))
			case response.StatusCode == http.StatusOK && string(body) != "answer to half":
				t.Errorf("status 200 with body %q", body)
			case response.StatusCode >= 400 && response.StatusCode < 500:
				t.Errorf("status %d for a proper request", response.StatusCode)
			case response.StatusCode == http.StatusServiceUnavailable && len(d.runsOf("half")) > 0:
				t.Errorf("status 503, but the request has run")
			}
		})
	}
}
