package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// refusalLimit bounds the time until a request with the deadline requestDeadline is refused. The time beyond the
// deadline allows for a busy machine. The end of an outage does not affect this time, since an outage ends only after
// the refusals.
const refusalLimit = 20 * time.Second

// TestPlatformOutage guards against completions and lookups that need the platform, against postings and configuration
// changes that run, hang or have an unknown result during its outage, and against a daemon that recovers only after a
// restart.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1})
	f.waitVersion(1, "ab")
	f.createPreset("peak", "peak")
	f.createPreset("maintenance", "maintenance")
	for i, outage := range []string{"refuse", "drop", "hang"} {
		version := uint64(i) + 1
		setFaults(t, f.platform, map[string]any{"outage": outage})
		var refusals sync.WaitGroup
		for _, m := range f.members {
			m.assertRefusedInOutage(outage, version, &refusals)
		}
		for _, m := range f.members {
			m.assertServedInOutage(outage)
		}
		refusals.Wait()
		for key, n := range f.executions() {
			if strings.HasPrefix(key, outage) {
				t.Errorf("%d executions of %s in the outage", n, key)
			}
		}
		for _, m := range f.members {
			if got := m.status().Version; got != version {
				t.Errorf("%s: version %d is in force at %s, want %d", outage, got, m.name, version)
			}
		}
		setFaults(t, f.platform, map[string]any{"outage": ""})
		for _, m := range f.members {
			key := "after-" + outage + m.name
			var last callResult
			waitFor(t, fmt.Sprintf("a posting at %s after the outage %s", m.name, outage), func() bool {
				last = m.post(key)
				return last.ok()
			})
			if n := f.executions()[key]; n != 1 {
				t.Errorf("%s: %d executions of %s after the response %s", outage, n, key, last)
			}
		}
		name := []string{"peak", "maintenance"}[i%2]
		waitFor(t, "a switch after the outage "+outage, func() bool {
			return f.members[0].switchTo(name, version) == http.StatusOK
		})
		f.waitVersion(version+1, "ab")
	}
	f.assertNoViolations()
}

// assertServedInOutage checks that the daemon serves completions and lookups during the outage.
func (m *member) assertServedInOutage(outage string) {
	t := m.fleet.t
	t.Helper()
	for range 3 {
		if got := streamCompletion(t, m.deployment(), 40, func(int) {}); got != expectedText(40) {
			t.Errorf("%s: the completion at %s is not the expected text", outage, m.name)
		}
		if status, body := get(t, m.caller+"/services/ledger/balances/ana"); status != http.StatusOK {
			t.Errorf("%s: the lookup at %s has status %d: %s", outage, m.name, status, body)
		}
	}
}

// assertRefusedInOutage starts postings and a switch, all of which must be refused as not run. refusals is done when
// they have ended.
func (m *member) assertRefusedInOutage(outage string, version uint64, refusals *sync.WaitGroup) {
	expectRefusal := func(operation string, call func() (bool, string)) {
		refusals.Go(func() {
			started := time.Now()
			if ok, got := call(); !ok {
				m.fleet.t.Errorf("%s: %s at %s got %s, want a refusal as not run", outage, operation, m.name, got)
			}
			if took := time.Since(started); took > refusalLimit {
				m.fleet.t.Errorf("%s: %s at %s was refused after %s", outage, operation, m.name, took)
			}
		})
	}
	// The postings outnumber the failures after which the daemon no longer tries the platform for each posting.
	for i := range 6 {
		key := fmt.Sprintf("%s-%s-%d", outage, m.name, i)
		expectRefusal("the posting "+key, func() (bool, string) {
			got := m.requestWithin(waitTimeout, requestDeadline, http.MethodPost, "/services/ledger/postings", key,
				postingBody(key))
			return got.notRun() && (got.code == "platform_unavailable" || got.code == "deadline_exceeded"), got.String()
		})
	}
	expectRefusal("a switch", func() (bool, string) {
		status := m.switchTo("peak", version)
		return status == http.StatusServiceUnavailable, http.StatusText(status)
	})
}
