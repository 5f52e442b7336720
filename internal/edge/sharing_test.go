package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

// changeBound is the time within which a change must be known, as in the settings of the daemons.
const changeBound = 2 * time.Second

// addZone starts daemons in zone a, each with a proxy of its own in front of the store. The first one becomes the
// reader.
func (d *deployment) addZone(count int) []*faultproxy.Proxy {
	d.t.Helper()
	var proxies []*faultproxy.Proxy
	for range count {
		proxies = append(proxies, d.addDaemonBehindProxy("a"))
	}
	d.waitUntil("only the first daemon reads the store", func() bool {
		for i, daemon := range d.daemons {
			if daemon.tables.targets.Reader() != (i == 0) {
				return false
			}
		}
		return true
	})
	return proxies
}

// addDaemonBehindProxy starts a daemon with a proxy of its own in front of the store.
func (d *deployment) addDaemonBehindProxy(zone string) *faultproxy.Proxy {
	d.t.Helper()
	proxy, err := faultproxy.New(faultproxy.Options{Target: d.store.Address()})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(proxy.Close)
	s := d.daemonSettings(zone)
	s.Store.Address = proxy.Address()
	daemon := d.startDaemon(s)
	d.waitUntil("daemon is ready", func() bool { return daemon.notReadyReason() == "" })
	return proxy
}

// awaitVersion waits until the daemons have the configuration version, and fails the test if that takes longer than the
// bound.
func (d *deployment) awaitVersion(daemons []*Daemon, version int) {
	d.t.Helper()
	written := time.Now()
	for _, daemon := range daemons {
		for daemon.gateway.Configuration().Version < int64(version) {
			if time.Since(written) > waitLimit {
				d.t.Fatalf("%s does not have version %d after %v", daemon.settings.Daemon, version, waitLimit)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(written); took > changeBound {
			d.t.Errorf("%s had version %d after %v, the bound is %v", daemon.settings.Daemon, version, took, changeBound)
		}
	}
}

// TestZoneReadsChangesOnce guards against a call to the store by each instance for each change: with 195 instances
// these were 18,000 calls in a minute.
func TestZoneReadsChangesOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	const daemons, changes = 6, 5
	d.addZone(daemons)
	for _, daemon := range d.daemons {
		daemon.placer.Stop() // the calls of the first placement do not count
	}
	began, before := time.Now(), d.store.Calls()
	for i := range changes {
		d.configure(10+i, "key-1")
		d.awaitVersion(d.daemons, 10+i)
	}
	// The reader reads two tables, at least once in half of the bound. A call for each change and one read of the list
	// of instances come on top.
	limit := changes + 2*int(time.Since(began)/(changeBound/2)+1) + 1
	if calls := d.store.Calls() - before; calls > limit {
		t.Errorf("%d daemons made %d calls to the store for %d changes, want at most %d", daemons, calls, changes, limit)
	}
}

// TestZoneOutlivesItsReader guards against a zone that misses changes when the instance that reads the store for it is
// lost or cannot read the store. The instances that can must carry the others.
func TestZoneOutlivesItsReader(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(d *deployment, store *faultproxy.Proxy){
		"killed":            func(d *deployment, _ *faultproxy.Proxy) { d.stops[0]() },
		"refused by store":  func(_ *deployment, store *faultproxy.Proxy) { store.RefuseNew(true); store.Reset() },
		"silent connection": func(_ *deployment, store *faultproxy.Proxy) { store.Blackhole() },
		"cut from store": func(_ *deployment, store *faultproxy.Proxy) {
			store.SetRules(faultproxy.ToTarget, faultproxy.Rules{Blocked: true})
			store.SetRules(faultproxy.ToClient, faultproxy.Rules{Blocked: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			proxies := d.addZone(4)
			fail(d, proxies[0])
			for version := 10; version < 14; version++ {
				d.configure(version, fmt.Sprintf("key-%d", version))
				d.awaitVersion(d.daemons[1:], version)
			}
			if name != "killed" {
				d.awaitVersion(d.daemons[:1], 13)
			}
		})
	}
}

// TestOneInstanceReachesStore guards against instances that do without changes although one of their zone can read the
// store.
func TestOneInstanceReachesStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	proxies := d.addZone(4)
	for _, proxy := range proxies[:3] {
		proxy.RefuseNew(true)
		proxy.Reset()
	}
	time.Sleep(2 * changeBound) // until the instances have found out which one can read
	for version := 10; version < 13; version++ {
		d.configure(version, "key-1")
		d.awaitVersion(d.daemons, version)
	}
}

// TestRestartDuringOutage guards against an instance that cannot serve after a restart while the store is down although
// others of its zone have the configuration and the list of targets.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addZone(2)
	d.store.SetFaults(edgeplatform.StoreFaults{Down: true})
	d.stops[0]()
	restarted := d.startDaemon(d.daemons[0].settings)
	d.waitUntil("restarted daemon is ready", func() bool { return restarted.notReadyReason() == "" })
	if got := d.call(restarted, "GET", "/read/1", "r1", "key-1", ""); got.status != 200 {
		t.Errorf("request at the restarted daemon: %+v", got)
	}
}

// TestEntriesLapsedInOutageStayInUse guards against an instance that drops the targets whose entries lapsed while the
// store was down because it did not read the store itself and so did not notice the outage.
func TestEntriesLapsedInOutageStayInUse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addZone(3)
	d.store.SetFaults(edgeplatform.StoreFaults{Down: true})
	// The store still answers calls that were waiting when it went down.
	d.waitUntil("the reader notices the outage", d.daemons[0].tables.targets.ReadsFailing)
	for _, target := range d.plain {
		d.store.Remove("servers", target.ID)
	}
	d.store.SetFaults(edgeplatform.StoreFaults{})
	d.checkServed(d.daemons, changeBound/2)
}

// TestEntriesLapsedBeforeReaderChangeStayInUse guards against a new reader that drops the targets whose entries lapsed
// while the store was down because only the reader before it had noticed the outage.
func TestEntriesLapsedBeforeReaderChangeStayInUse(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addZone(3)
	d.store.SetFaults(edgeplatform.StoreFaults{Down: true})
	d.waitUntil("all instances know of the outage", func() bool {
		return !slices.ContainsFunc(d.daemons, func(daemon *Daemon) bool {
			return !daemon.tables.targets.State().Failing
		})
	})
	d.stops[0]()
	for _, target := range d.plain {
		d.store.Remove("servers", target.ID)
	}
	d.store.SetFaults(edgeplatform.StoreFaults{})
	d.checkServed(d.daemons[1:], changeBound/2)
}

// checkServed calls a plain service at the daemons again and again for some time and fails the test unless each call is
// served.
func (d *deployment) checkServed(daemons []*Daemon, duration time.Duration) {
	d.t.Helper()
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		for _, daemon := range daemons {
			id := fmt.Sprintf("served-%s-%d", daemon.settings.Daemon, i)
			if got := d.call(daemon, "GET", "/read/1", id, "key-1", ""); got.status != 200 {
				d.t.Fatalf("request at %s: %+v", daemon.settings.Daemon, got)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSilentConnectionsOfAllInstances guards against a zone that learns of no change because the connections of all its
// instances to the store have gone silent while new ones work, and something still answers their keepalive probes. No
// instance can then tell the others. The platform allows for the time in which it counts instances as out of contact.
func TestSilentConnectionsOfAllInstances(t *testing.T) {
	t.Parallel()
	const contactTime = 3 * time.Second
	d := newDeployment(t)
	for _, proxy := range d.addZone(3) {
		proxy.Blackhole()
	}
	silent := time.Now()
	d.configure(10, "key-10")
	for _, daemon := range d.daemons {
		d.waitUntil("the change is known", func() bool { return daemon.gateway.Configuration().Version >= 10 })
		if took := time.Since(silent); took > contactTime+changeBound {
			t.Errorf("%s had the change %v after the connections went silent", daemon.settings.Daemon, took)
		}
	}
}

// TestSilentConnectionsOfSingleInstances guards against a change that instances learn late, each the only one of its zone, since all their
// open connections to the store are silent and something answers the keepalive probes.
func TestSilentConnectionsOfSingleInstances(t *testing.T) {
	t.Parallel()
	const contactTime = 3 * time.Second
	for _, zones := range []string{"a", "abc"} {
		t.Run(zones, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var proxies []*faultproxy.Proxy
			for _, zone := range zones {
				proxies = append(proxies, d.addDaemonBehindProxy(string(zone)))
			}
			time.Sleep(contactTime) // the instances know each other, and wait for changes
			for _, proxy := range proxies {
				proxy.Blackhole()
			}
			time.Sleep(contactTime)
			changed := time.Now()
			d.configure(10, "key-10")
			d.register(d.plain[0], "draining")
			for _, daemon := range d.daemons {
				d.waitUntil("the changes are known", func() bool {
					return daemon.gateway.Configuration().Version >= 10 && daemon.plainTargetsInService() == "plain-1"
				})
				if took := time.Since(changed); took > changeBound {
					t.Errorf("%s knew the changes after %v, bound %v", daemon.settings.Daemon, took, changeBound)
				}
			}
		})
	}
}
