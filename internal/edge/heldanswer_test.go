package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestFailedResponseLeavesTimeForRetry guards against a 500 of one target that is held, while another target does not answer,
// until its caller has no time for a retry.
func TestFailedResponseLeavesTimeForRetry(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		limit time.Duration
		other edgeplatform.TargetFaults
	}{
		"600 ms, other target is silent":         {600 * time.Millisecond, edgeplatform.TargetFaults{Hang: true}},
		"600 ms, other target silent in a body":  {600 * time.Millisecond, edgeplatform.TargetFaults{SilentInBody: time.Second}},
		"3 s, other target is silent":            {3 * time.Second, edgeplatform.TargetFaults{Hang: true}},
		"3 s, other target is silent in a body ": {3 * time.Second, edgeplatform.TargetFaults{SilentInBody: 4 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, failing := range []int{0, 1} {
				d := newDeployment(t)
				daemon := d.addDaemonAndAwaitPlacement()
				d.plain[failing].SetFaults(edgeplatform.TargetFaults{FailStatus: http.StatusInternalServerError})
				d.plain[1-failing].SetFaults(test.other)
				id := fmt.Sprint("held-", failing)
				status, took := d.answerTime(daemon, "/read/1", id, test.limit)
				if status != http.StatusInternalServerError || len(d.runsOf(id)) != 2 {
					t.Errorf("status %d, ran %d times, want 500 and 2", status, len(d.runsOf(id)))
				}
				if left := test.limit - took; left < test.limit/5 {
					t.Errorf("caller has %v of %v left for a retry", left, test.limit)
				}
			}
		})
	}
}

// TestFailedResponseWaitsForSilentTarget guards against a 500 of one target that is forwarded although the other one, which is
// silent for a second, serves the request in time.
func TestFailedResponseWaitsForSilentTarget(t *testing.T) {
	t.Parallel()
	for _, failing := range []int{0, 1} {
		d := newDeployment(t)
		daemon := d.addDaemonAndAwaitPlacement()
		d.plain[failing].SetFaults(edgeplatform.TargetFaults{FailStatus: http.StatusInternalServerError})
		d.plain[1-failing].SetFaults(edgeplatform.TargetFaults{SilentFor: time.Second})
		if status, took := d.answerTime(daemon, "/read/1", "kept", 3*time.Second); status != http.StatusOK {
			t.Errorf("status %d after %v, want 200", status, took)
		}
	}
}
