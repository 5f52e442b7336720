package edge

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestLateCopiesAreNoAnswers guards against a late copy of the response to an earlier attempt that is taken for the response to a
// later one: requests that may run once then run twice, or run and are refused as not run.
func TestLateCopiesAreNoAnswers(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]edgeplatform.TargetFaults{
		"sound":         {LateCopies: 1},
		"refuses first": {LateCopies: 1, RefuseFirst: true},
		"two copies":    {LateCopies: 2, RefuseFirst: true},
		"fails":         {LateCopies: 1, FailStatus: http.StatusInternalServerError},
		"breaks off":    {LateCopies: 1, RefuseFirst: true, BreakAfter: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range append(d.engines, d.plain...) {
				target.SetFaults(faults)
			}
			var callers sync.WaitGroup
			for caller := range 4 {
				for _, path := range []string{"/gen/", "/gen-once/", "/read/", "/post/"} {
					callers.Go(func() {
						for n := range 10 {
							d.checkRunsOfCall(daemon, path, fmt.Sprint(path, caller, "-", n))
						}
					})
				}
			}
			callers.Wait()
		})
	}
}

// maxTargets is the number of targets on which a request that may be repeated may run.
const maxTargets = 2

// checkRunsOfCall makes a request and reports an error if it has run more often than its route allows, or has run although it
// was refused.
func (d *deployment) checkRunsOfCall(daemon *Daemon, path, id string) {
	method := http.MethodPost
	if path == "/read/" {
		method = http.MethodGet
	}
	got := d.call(daemon, method, path+"1", id, "key-1", "")
	runs, targets := d.runsOf(id), d.targetsThatRan(id)
	once := path == "/gen-once/" || path == "/post/"
	if once && len(runs) > 1 || targets > maxTargets {
		d.t.Errorf("%s ran %d times on %d targets: %+v", id, len(runs), targets, got)
	}
	refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	if refused != (len(runs) == 0) {
		d.t.Errorf("%s ran %d times: %+v", id, len(runs), got)
	}
}

// targetsThatRan returns the number of targets that have run a request.
func (d *deployment) targetsThatRan(id string) (count int) {
	for _, target := range append(d.engines, d.plain...) {
		if slices.ContainsFunc(target.Runs(), func(run edgeplatform.Run) bool { return run.RequestID == id }) {
			count++
		}
	}
	return count
}
