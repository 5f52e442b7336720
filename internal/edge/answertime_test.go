package edge

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

const (
	// callerDistance is the time that a request and its response each travel between a caller and its instance.
	callerDistance = 5 * time.Millisecond
	// answerTries is the number of tries of which one must be answered in time: a busy machine may delay some.
	answerTries = 5
)

// answerTime sends a request of a caller at callerDistance and returns the status and the time until the response has reached
// the caller, which waits for limit and is not answered after it.
func (d *deployment) answerTime(daemon *Daemon, path, id string, limit time.Duration) (int, time.Duration) {
	d.t.Helper()
	caller := dialCaller(d.t, daemon)
	sent := time.Now()
	caller.write(requestBytes(path, id, limit))
	status, err := caller.answer()
	took := time.Since(sent) + 2*callerDistance
	if err != nil {
		d.t.Fatalf("%s: no answer: %v", id, err)
	}
	return status, took
}

// TestAnswersArriveWithinLimit guards against answers that leave at the limit of their caller, and so reach it too late.
func TestAnswersArriveWithinLimit(t *testing.T) {
	t.Parallel()
	const limit = 600 * time.Millisecond
	hang := edgeplatform.TargetFaults{Hang: true}
	refuse := edgeplatform.TargetFaults{Refuse: true}
	silentInBody := edgeplatform.TargetFaults{SilentInBody: 2 * limit}
	slowStart := edgeplatform.TargetFaults{FirstEventDelay: 2 * limit}
	verySlowStart := edgeplatform.TargetFaults{FirstEventDelay: 4 * time.Second}
	for name, test := range map[string]struct {
		path    string
		limit   time.Duration
		faults  edgeplatform.TargetFaults
		latency time.Duration
		want    int
	}{
		"lookup, silent targets":    {path: "/read/1", limit: limit, faults: hang, want: http.StatusGatewayTimeout},
		"lookup, slow targets":      {path: "/read/1", limit: limit, latency: 2 * limit, want: http.StatusGatewayTimeout},
		"lookup, silent in a body":  {path: "/read/1", limit: limit, faults: silentInBody, want: http.StatusGatewayTimeout},
		"lookup, 20 ms left":        {path: "/read/1", limit: 20 * time.Millisecond, want: http.StatusServiceUnavailable},
		"lookup, 60 ms left":        {path: "/read/1", limit: 60 * time.Millisecond, faults: hang, want: http.StatusGatewayTimeout},
		"posting, silent targets":   {path: "/post/1", limit: limit, faults: hang, want: http.StatusGatewayTimeout},
		"posting, slow targets":     {path: "/post/1", limit: limit, latency: 2 * limit, want: http.StatusGatewayTimeout},
		"posting, 20 ms left":       {path: "/post/1", limit: 20 * time.Millisecond, want: http.StatusServiceUnavailable},
		"stream, silent engines":    {path: "/gen/1", limit: limit, faults: hang, want: http.StatusGatewayTimeout},
		"stream, slow engines":      {path: "/gen/1", limit: limit, faults: slowStart, want: http.StatusGatewayTimeout},
		"stream, engines refuse":    {path: "/gen/1", limit: limit, faults: refuse, want: http.StatusServiceUnavailable},
		"stream, 20 ms left":        {path: "/gen/1", limit: 20 * time.Millisecond, want: http.StatusServiceUnavailable},
		"stream of 3 s, not begun":  {path: "/gen/1", limit: 3 * time.Second, faults: verySlowStart, want: http.StatusGatewayTimeout},
		"lookup of 3 s, not served": {path: "/read/1", limit: 3 * time.Second, faults: hang, want: http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range append(d.engines, d.plain...) {
				target.Latency = test.latency
				target.SetFaults(test.faults)
			}
			fastest := time.Hour
			for n := 0; n < answerTries && fastest > test.limit; n++ {
				id := fmt.Sprint("timed-", n)
				status, took := d.answerTime(daemon, test.path, id, test.limit)
				if status != test.want {
					t.Errorf("status %d, want %d", status, test.want)
				}
				runs := len(d.runsOf(id))
				if status == http.StatusServiceUnavailable && runs > 0 || test.path == "/post/1" && runs > 1 {
					t.Errorf("status %d, ran %d times", status, runs)
				}
				fastest = min(fastest, took)
			}
			if fastest > test.limit {
				t.Errorf("answer reached the caller after %v, limit %v", fastest, test.limit)
			}
		})
	}
}

// TestBegunStreamGetsWholeLimit guards against a begun stream that is cut off before the limit of its caller.
func TestBegunStreamGetsWholeLimit(t *testing.T) {
	t.Parallel()
	const limit = 600 * time.Millisecond
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for _, engine := range d.engines {
		engine.SetEventInterval(limit / 10)
	}
	caller := dialCaller(t, daemon)
	sent := time.Now()
	caller.write(requestBytes("/gen/1", "begun", limit))
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err == nil {
		t.Error("stream ended as if it was complete")
	}
	if took := time.Since(sent); took < limit {
		t.Errorf("stream was cut off after %v, limit %v", took, limit)
	}
}

// TestTargetsGetTimeLeft guards against targets that may work until it is too late to forward their responses, and against
// engines that end a begun stream before the limit of its caller.
func TestTargetsGetTimeLeft(t *testing.T) {
	t.Parallel()
	const limit, forwardingTime = 2 * time.Second, 5 * time.Millisecond
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	for path, latest := range map[string]time.Duration{
		"/read/1": limit - 2*callerDistance - forwardingTime, "/post/1": limit - 2*callerDistance - forwardingTime, "/gen/1": limit,
	} {
		id := "told" + path
		if status, _ := d.answerTime(daemon, path, id, limit); status != http.StatusOK {
			t.Fatalf("%s: status %d", path, status)
		}
		for _, run := range d.runsOf(id) {
			if run.Timeout > latest || run.Timeout < latest-limit/2 {
				t.Errorf("%s: target may work for %v, want at most %v", path, run.Timeout, latest)
			}
		}
	}
}
