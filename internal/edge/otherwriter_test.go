package edge

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// overwrite replaces the entry of a target, or adds one, as another writer does: with the given fields in place of those of an entry
// that the target would write, and without those that are nil.
func (d *deployment) overwrite(key string, target *edgeplatform.Target, fields map[string]any) {
	d.t.Helper()
	entry := target.Entry("ready")
	maps.Copy(entry, fields)
	maps.DeleteFunc(entry, func(_ string, value any) bool { return value == nil })
	if err := d.store.Put("servers", key, entry); err != nil {
		d.t.Fatal(err)
	}
}

// malformedEntries are the fields by which entries of other writers differ from those of targets.
var malformedEntries = map[string]map[string]any{
	"fields missing":                        {"version": nil, "coldLeftMs": nil, "seq": nil, "born": nil},
	"field of another type":                 {"seq": "1"},
	"unknown state":                         {"state": "resting"},
	"unknown service":                       {"service": "other", "born": 1 << 50, "seq": 1 << 50},
	"layers beyond the model":               {"service": "llm", "routeKind": "small", "layers": map[string]any{"from": modelLayers, "target": modelLayers + 2}, "born": 9},
	"impossible layers of the same process": {"layers": map[string]any{"from": modelLayers, "target": modelLayers + 2}},
	"unknown card":                          {"service": "llm", "routeKind": "large", "born": 9},
}

// TestEntriesOfOtherWritersNameNoTarget guards against requests and orders to what another writer has listed, and against instances that
// end because of such an entry (review/11).
func TestEntriesOfOtherWritersNameNoTarget(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	other := edgeplatform.NewTarget("other", "ledger", "a", "", 0)
	t.Cleanup(other.Close)
	keys := make(map[string]bool)
	for name, fields := range malformedEntries {
		key := fmt.Sprintf("other-%d", len(keys))
		keys[key] = true
		d.overwrite(key, other, fields)
		t.Logf("%s: %s", key, name)
	}
	d.store.PutRaw("servers", "other-raw", []byte("\x00\xff{"))
	d.replaceFirstEngine()
	d.checkWholeStream(d.stream(daemon, "after"))
	d.checkServed(d.daemons, changeBound/2)
	daemon.gateway.WithFleet(func(f *fleet.Fleet) {
		for id := range f.All {
			if keys[string(id)] || id == "other-raw" {
				t.Errorf("%s counts as a target", id)
			}
		}
	})
	if n := len(other.Arrivals()); n > 0 {
		t.Errorf("%d requests reached a process that is not listed", n)
	}
}

// TestOverwrittenTargetIsUsed guards against sound targets that get no requests because another writer has replaced their entries, and
// against later entries of theirs that count as old because of its numbers.
func TestOverwrittenTargetIsUsed(t *testing.T) {
	t.Parallel()
	for name, fields := range malformedEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range slices.Concat(d.plain, d.engines) {
				d.overwrite(target.ID, target, fields)
			}
			d.checkServed(d.daemons, changeBound/2)
			d.checkWholeStream(d.stream(daemon, "overwritten"))
			for _, target := range slices.Concat(d.plain, d.engines) {
				d.register(target, "ready")
			}
			d.checkServed(d.daemons, changeBound)
			d.checkWholeStream(d.stream(daemon, "written again"))
			for _, target := range d.plain {
				d.register(target, "draining")
			}
			d.waitUntil("their later entries are known", func() bool { return daemon.plainTargetsInService() == "" })
		})
	}
}

// TestOverwrittenTargetIsDroppedInTime guards against requests that reach a target later than the drain bound after its entry was
// overwritten: it may have said before that it is leaving, or have gone.
func TestOverwrittenTargetIsDroppedInTime(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	overwrittenAt := time.Now()
	for range 3 { // a second one does not lengthen the time
		for _, target := range d.plain {
			d.overwrite(target.ID, target, malformedEntries["fields missing"])
		}
		time.Sleep(500 * time.Millisecond)
	}
	for i := 0; time.Since(overwrittenAt) < 2*changeBound; i++ {
		d.call(daemon, http.MethodGet, "/read/1", fmt.Sprint("call-", i), "key-1", "")
		time.Sleep(10 * time.Millisecond)
	}
	for _, target := range d.plain {
		for _, arrival := range target.Arrivals() {
			if late := arrival.At.Sub(overwrittenAt); late > changeBound {
				t.Errorf("request %s reaches %s %v after its entry was overwritten", arrival.RequestID, target.ID, late)
			}
		}
	}
}

// TestServiceThatIsNamedLater guards against a target that is never used because its entry was there before the configuration that names
// its service.
func TestServiceThatIsNamedLater(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	early := edgeplatform.NewTarget("early", "archive", "a", "", 0)
	t.Cleanup(early.Close)
	d.register(early, "ready")
	known := func() (known bool) {
		daemon.gateway.WithFleet(func(f *fleet.Fleet) { known = f.Get(entity.TargetID(early.ID)) != nil })
		return known
	}
	time.Sleep(changeBound / 2)
	if known() {
		t.Error("a target of a service that is not named counts as one")
	}
	row := edgeplatform.Configuration{Version: 2, Account: "account-1", Keys: []string{"key-1"}, PostAttempts: 1}.Row()
	row["services"] = append(row["services"].([]any), map[string]any{"name": "archive", "maxConns": 50})
	if err := d.store.Put("op", "config", row); err != nil {
		t.Fatal(err)
	}
	d.waitUntil("the target is known", known)
}
