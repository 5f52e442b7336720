package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestInvalidStatusIsNoResponse guards against callers that get a status outside 200 to 599 as an answer, or wait for another response
// until their time is over.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			faults := edgeplatform.TargetFaults{RawStatus: status}
			d.plain[0].SetFaults(faults)
			d.engines[0].SetFaults(faults)
			call := func(method, path, id string, want int) {
				begun := time.Now()
				if got := d.call(daemon, method, path, id, "key-1", "body"); got.status != want || got.err != nil {
					t.Errorf("%s: %+v, want status %d", id, got, want)
				}
				if took := time.Since(begun); took > time.Second {
					t.Errorf("%s took %v", id, took)
				}
			}
			call(http.MethodGet, "/read/1", "read", http.StatusOK)
			call(http.MethodPost, "/gen/1", "stream", http.StatusOK)
			d.plain[1].SetFaults(faults)
			call(http.MethodPost, "/post/1", "post", http.StatusBadGateway)
			if runs := d.runsOf("post"); len(runs) != 1 {
				t.Errorf("%d runs of the posting", len(runs))
			}
		})
	}
}
