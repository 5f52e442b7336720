package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// configurationBound is the time within which a confirmed configuration must be in force.
const configurationBound = 2 * time.Second

// accepts reports whether a daemon accepts an API key.
func (d *deployment) accepts(daemon *Daemon, key string) bool {
	d.t.Helper()
	return d.call(daemon, http.MethodGet, "/read/1", "k-"+key, key, "").status == http.StatusOK
}

// awaitKey fails the test unless all daemons accept an API key within configurationBound.
func (d *deployment) awaitKey(key string) {
	d.t.Helper()
	end := time.Now().Add(configurationBound)
	for _, daemon := range d.daemons {
		for !d.accepts(daemon, key) {
			if time.Now().After(end) {
				d.t.Fatalf("%s does not accept %s within %v", daemon.settings.Daemon, key, configurationBound)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestConfigurationIsInForceAfterRestore guards against changes that are not taken because versions of the store were
// given out before.
func TestConfigurationIsInForceAfterRestore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addDaemon("a")
	d.addDaemon("a")
	d.addDaemon("b")
	const lost = 40
	version := 1
	configure := func(changes int) (key string) {
		for range changes {
			version++
			key = fmt.Sprintf("key-%d", version)
			d.configure(version, key)
		}
		return key
	}
	for range 2 {
		content := d.store.Copy()
		last := configure(lost)
		d.awaitKey(last)
		d.store.Restore(content)
		d.configure(version, last) // the operator writes the last version again
		for range 3 {
			d.awaitKey(configure(1))
		}
		d.awaitKey(configure(lost)) // the versions of the store pass those given out before
	}
}

// TestChangeBelowOldVersionIsInForce guards against the only instance of a zone waiting for changes after a version that the
// restored store has already passed when it reconnects.
func TestChangeBelowOldVersionIsInForce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addDaemonAndAwaitPlacement()
	time.Sleep(time.Second) // until the lease is released, so that no other call shows the era
	content := d.store.Copy()
	d.configure(2, "key-2")
	d.awaitKey("key-2")
	row := func(version int, key string) edgeplatform.Row {
		configuration := edgeplatform.Configuration{Version: version, Account: "account-1", Keys: []string{key}, PostAttempts: 1}
		value, err := json.Marshal(configuration.Row())
		if err != nil {
			t.Fatal(err)
		}
		return edgeplatform.Row{Table: "op", Key: "config", Value: value}
	}
	other := edgeplatform.Row{Table: "other", Key: "other"}
	d.store.Restore(content, row(3, "key-3"), other, other)
	d.awaitKey("key-3")
}

// TestConfigurationDoesNotRevertAfterRestore guards against an older configuration in force because the store came back
// from a copy.
func TestConfigurationDoesNotRevertAfterRestore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemon("a")
	content := d.store.Copy()
	d.configure(7, "key-7")
	d.awaitKey("key-7")
	d.store.Restore(content)
	for end := time.Now().Add(configurationBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !d.accepts(daemon, "key-7") || d.accepts(daemon, "key-1") {
			t.Fatal("the configuration of the copy is in force")
		}
	}
}

// TestTargetsAfterRestore guards against requests to targets that are known to leave or to be gone, or that leave after
// the store came back from a copy in which they are ready, and against targets that are lost because the copy lacks them.
func TestTargetsAfterRestore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		target := edgeplatform.NewTarget(fmt.Sprintf("plain-%d", 2+i), "ledger", "a", "", 0)
		d.plain = append(d.plain, target)
		t.Cleanup(target.Close)
	}
	draining, gone, leavesLater, stays, isNew := d.plain[0], d.plain[1], d.plain[2], d.plain[3], d.plain[4]
	d.register(leavesLater, "ready")
	d.register(stays, "ready")
	daemon := d.addDaemon("a")
	content := d.store.Copy()
	d.register(draining, "draining")
	d.store.Remove("servers", gone.ID)
	d.register(isNew, "ready")
	inService := func() (ids string) { return daemon.plainTargetsInService() }
	want := fmt.Sprint(leavesLater.ID, " ", stays.ID, " ", isNew.ID)
	d.waitUntil("the changes are known", func() bool { return inService() == want })
	d.store.Restore(content)
	d.register(isNew, "ready") // with its next heartbeat
	d.register(leavesLater, "draining")
	end := time.Now().Add(2 * time.Second)
	for want = fmt.Sprint(stays.ID, " ", isNew.ID); inService() != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("in service after the restore: %s, want %s", inService(), want)
		}
	}
	before := len(draining.Arrivals()) + len(gone.Arrivals())
	for n := range 200 {
		if got := d.call(daemon, http.MethodGet, "/read/1", fmt.Sprint("r", n), "key-1", ""); got.status != http.StatusOK {
			t.Errorf("lookup: %+v", got)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if after := len(draining.Arrivals()) + len(gone.Arrivals()); after != before {
		t.Errorf("%d requests reached targets that are leaving or gone", after-before)
	}
	if got := inService(); got != want {
		t.Errorf("in service at the end: %s, want %s", got, want)
	}
}

// TestInstanceIsListedAgainAfterRestore guards against an instance that others cannot find because its entry is gone.
func TestInstanceIsListedAgainAfterRestore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	content := d.store.Copy()
	daemon := d.addDaemon("a")
	listed := func() bool { return d.store.Get("instances", daemon.settings.Daemon) != nil }
	d.waitUntil("the instance is listed", listed)
	d.store.Restore(content)
	d.configure(2, "key-2")
	d.waitUntil("the instance is listed again", listed)
}
