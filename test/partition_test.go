package test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

var threeZones = map[string]int{"a": 2, "b": 2, "c": 2}

// TestChangesReachAllZonesAndNeverRevert guards against a configuration change that does not reach a zone without the
// platform, against two concurrent changes that both succeed, and against a zone that reverts to an older version after
// a partition or a restart.
func TestChangesReachAllZonesAndNeverRevert(t *testing.T) {
	f := deployFleet(t, threeStages, threeZones)
	f.waitVersion(1, "abc")
	f.createPreset("peak", entity.PeakPreset)
	f.createPreset("maintenance", entity.MaintenancePreset)

	// Zone c is partitioned from the platform but not from its peers.
	for _, m := range f.members {
		if m.zone == "c" {
			m.disconnectPlatform()
		}
	}
	if status := f.byName["a1"].switchTo("peak", 1); status != http.StatusOK {
		t.Fatalf("switch has status %d", status)
	}
	f.waitVersion(2, "abc")

	// Zone c is partitioned from the platform and from all other zones. Its daemons restart one after the other.
	f.partition("c")
	if status := f.byName["b1"].switchTo("maintenance", 2); status != http.StatusOK {
		t.Fatalf("switch has status %d", status)
	}
	f.waitVersion(3, "ab")
	for _, name := range []string{"c1", "c2"} {
		m := f.byName[name]
		m.kill()
		m.start()
		if version := m.status().Version; version < 2 {
			t.Errorf("%s restarted in the partitioned zone with version %d, want at least 2", name, version)
		}
	}
	if status := f.byName["c1"].switchTo("peak", 2); status != http.StatusServiceUnavailable {
		t.Errorf("a switch in the partitioned zone has status %d, want 503", status)
	}
	if got := streamCompletion(t, f.byName["c2"].deployment(), 20, func(int) {}); got != expectedText(20) {
		t.Error("the partitioned zone does not serve completions")
	}
	f.heal()
	f.waitVersion(3, "abc")
	f.checkConcurrentSwitches(3)
	f.assertNoViolations()
}

// checkConcurrentSwitches switches the preset at all daemons at once, from the same expected version, and checks that
// exactly one switch succeeds.
func (f *fleet) checkConcurrentSwitches(version uint64) {
	f.t.Helper()
	statuses := make([]int, len(f.members))
	var operators sync.WaitGroup
	for i, m := range f.members {
		name := []string{"peak", "maintenance"}[i%2]
		operators.Go(func() { statuses[i] = m.switchTo(name, version) })
	}
	operators.Wait()
	accepted := 0
	for i, status := range statuses {
		switch status {
		case http.StatusOK:
			accepted++
		case http.StatusConflict:
		default:
			f.t.Errorf("the switch at %s has status %d", f.members[i].name, status)
		}
	}
	if accepted != 1 {
		f.t.Errorf("%d of %d concurrent switches succeeded, want 1", accepted, len(f.members))
	}
	f.waitVersion(version+1, "abc")
	var audit adminapi.Audit
	f.members[0].callAdmin(http.MethodGet, adminapi.AuditPath, nil, &audit)
	if len(audit.Entries) != int(version)+1 {
		f.t.Errorf("the audit trail has %d entries for version %d", len(audit.Entries), version+1)
	}
}

// TestLeavingTargetGetsNoNewWork guards against new work for a target that is marked as leaving, also from daemons that
// cannot read the platform.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "c": 1})
	f.waitVersion(1, "ac")
	a, c := f.byName["a1"], f.byName["c1"]
	for range 4 {
		if got := streamCompletion(t, c.deployment(), 5, func(int) {}); got != expectedText(5) {
			t.Fatalf("response before the mark is %q", got)
		}
	}
	c.disconnectPlatform()
	marks := adminapi.Marks{ExpectedVersion: 1, Marks: []adminapi.Mark{{ID: "second-a", State: entity.LeaveMark}}}
	if status := a.callAdmin(http.MethodPost, adminapi.MarksPath, marks, nil); status != http.StatusOK {
		t.Fatalf("the marks request has status %d", status)
	}
	f.waitVersion(2, "ac")
	before := f.tokensProcessed("second-a")
	for _, m := range f.members {
		for range 6 {
			if got := streamCompletion(t, m.deployment(), 5, func(int) {}); got != expectedText(5) {
				t.Errorf("response after the mark is %q", got)
			}
		}
	}
	if after := f.tokensProcessed("second-a"); after != before {
		t.Errorf("the leaving target processed %d tokens after the mark was in force", after-before)
	}
	f.assertNoViolations()
}

// TestStreamSurvivesSilentConnection guards against streams that wait for the kernel to time out a connection that has
// gone silent, and against a daemon that stops using a target because one of its connections has gone silent.
func TestStreamSurvivesSilentConnection(t *testing.T) {
	f := deployFleet(t, threeStages, map[string]int{"a": 1})
	f.waitVersion(1, "a")
	const length = 200
	for _, target := range []string{"first", "third"} {
		silenced := false
		got := streamCompletion(t, f.members[0].deployment(), length, func(chunks int) {
			if chunks == 10 {
				f.proxies[target].Blackhole()
				silenced = true
			}
		})
		if !silenced || got != expectedText(length) {
			t.Errorf("with the connections to %s silent, the response has %d tokens, want %d", target,
				strings.Count(got, " "), length)
		}
	}
	f.assertNoViolations()
}
