package edge

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestExtraResponseReachesNoOtherCaller guards against an additional response of a target that is taken for the response to
// the next request on its connection.
func TestExtraResponseReachesNoOtherCaller(t *testing.T) {
	t.Parallel()
	for name, extraID := range map[string]string{"names no request": "", "names an earlier request": "first"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemon("a")
			if got := d.call(daemon, http.MethodGet, "/read/1", "first", "key-1", ""); got.status != http.StatusOK {
				t.Fatalf("first request: %+v", got)
			}
			for _, target := range d.plain {
				target.SetFaults(edgeplatform.TargetFaults{ExtraResponse: true, ExtraResponseID: extraID})
			}
			got := d.call(daemon, http.MethodGet, "/read/1", "second", "key-1", "")
			if got.status != http.StatusOK || got.body != "answer to second" {
				t.Errorf("second request: %+v", got)
			}
		})
	}
}

// TestTargetThatNamesNoRequestIsServed guards against calls that fail since their target never names the request that it
// responds to.
func TestTargetThatNamesNoRequestIsServed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{OmitRequestID: true})
	}
	for n := range 6 {
		id := fmt.Sprint("call-", n)
		got := d.call(daemon, http.MethodGet, "/read/1", id, "key-1", "")
		if got.status != http.StatusOK || got.body != "answer to "+id || len(d.runsOf(id)) != 1 {
			t.Errorf("%s: %+v, runs %d", id, got, len(d.runsOf(id)))
		}
	}
}

// TestCheckOfTargetsLeavesNoReusedConnection guards against calls that fail since their target does not name requests and their
// connection, which was opened to check whether the target has ended, counts as reused.
func TestCheckOfTargetsLeavesNoReusedConnection(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{LoseResponses: true})
	}
	if got := d.call(daemon, http.MethodGet, "/read/1", "lost", "key-1", ""); got.status != http.StatusBadGateway {
		t.Fatalf("lost: %+v", got)
	}
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{OmitRequestID: true})
	}
	for n := range 4 {
		id := fmt.Sprint("call-", n)
		if got := d.call(daemon, http.MethodGet, "/read/1", id, "key-1", ""); got.status != http.StatusOK || len(d.runsOf(id)) != 1 {
			t.Errorf("%s: %+v, runs %d", id, got, len(d.runsOf(id)))
		}
	}
}
