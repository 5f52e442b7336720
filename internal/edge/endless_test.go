package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// socketBufferBytes is more than what the buffers of a loopback connection hold on both sides.
const socketBufferBytes = 16 << 20

// TestEndlessResponses guards against a target that sends a head or a body without end until the caller closes: the
// daemon would read it until the request times out, and run out of memory.
func TestEndlessResponses(t *testing.T) {
	t.Parallel()
	const maxBody, maxHead = 8 << 20, 1 << 20
	for _, test := range []struct {
		name   string
		faults edgeplatform.TargetFaults
		limit  int64
	}{
		{"head", edgeplatform.TargetFaults{EndlessHead: true}, maxHead},
		{"body", edgeplatform.TargetFaults{EndlessBody: true}, maxBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemon("a")
			faulty := d.plain[0]
			faulty.SetFaults(test.faults)
			for i := range 4 {
				got := d.call(daemon, http.MethodGet, "/read/1", fmt.Sprintf("read-%d", i), "key-1", "")
				if got.status != http.StatusOK || got.stamp != "stamp-"+d.plain[1].ID {
					t.Errorf("call that the other target can serve: status %d, stamp %q, %v", got.status, got.stamp, got.err)
				}
			}
			d.plain[1].SetFaults(test.faults)
			got := d.call(daemon, http.MethodPost, "/post/1", "post-1", "key-1", "x")
			if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
				t.Errorf("posting: status %d, want one that promises nothing", got.status)
			}
			if runs := len(d.runsOf("post-1")); runs != 1 {
				t.Errorf("%d runs of the posting", runs)
			}
			runs := int64(len(d.plain[0].Runs()) + len(d.plain[1].Runs()))
			if sent := d.plain[0].EndlessBytes() + d.plain[1].EndlessBytes(); sent > runs*(test.limit+socketBufferBytes) {
				t.Errorf("the targets sent %d bytes in %d responses", sent, runs)
			}
		})
	}
}

// TestEndlessBodiesTogether guards against bodies that are each below the limit and together use up the memory of the
// process.
func TestEndlessBodiesTogether(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	limit := daemon.gateway.BodyMemoryLimit()
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{EndlessBody: true})
	}
	stop, highest := make(chan struct{}), int64(0)
	var watching, calls sync.WaitGroup
	watching.Go(func() {
		for {
			highest = max(highest, daemon.gateway.BodyMemoryUsed())
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	for i := range 24 {
		calls.Go(func() {
			if got := d.call(daemon, http.MethodGet, "/read/1", fmt.Sprintf("r%d", i), "key-1", ""); got.status == http.StatusOK {
				t.Errorf("call %d: a response without end was forwarded", i)
			}
		})
	}
	calls.Wait()
	close(stop)
	watching.Wait()
	if highest > limit {
		t.Errorf("%d bytes of bodies were held, the limit is %d", highest, limit)
	}
	d.waitUntil("the memory is free again", func() bool { return daemon.gateway.BodyMemoryUsed() == 0 })
	for _, target := range d.plain {
		target.SetFaults(edgeplatform.TargetFaults{})
	}
	d.waitUntil("calls are served again", func() bool {
		return d.call(daemon, http.MethodGet, "/read/1", "after", "key-1", "").status == http.StatusOK
	})
}
