package configsync_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/configsync"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// waitTimeout limits waits for events. It is far above the expected times, since the machine may be busy.
const waitTimeout = 40 * time.Second

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", waitTimeout, what)
}

// testCluster is a group of agents that use loopback sockets and an emulated platform.
type testCluster struct {
	t             testing.TB
	platform      *emulator.Platform
	url           string
	seeds         []configsync.Seed
	modifyOptions func(*configsync.Options) // called with the options of each agent before it starts; may be nil
}

func (c *testCluster) client() *platform.Client {
	return platform.NewClient(platform.ClientOptions{URL: c.url})
}

func newTestCluster(t testing.TB) *testCluster {
	invariant.FailOnViolation(t)
	p := emulator.New(emulator.Options{})
	server := httptest.NewServer(p)
	t.Cleanup(func() { server.Close(); p.Close() })
	return &testCluster{t: t, platform: p, url: server.URL}
}

// start starts the agent of a daemon and its peer listener. The returned function stops both.
func (c *testCluster) start(id, zone, platformURL string) (agent *configsync.Agent, stop func()) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	client := peer.NewClient(peer.ClientOptions{Token: "secret"})
	store := configstore.New(configstore.Options{
		Table: platform.NewClient(platform.ClientOptions{URL: platformURL}), ResolveTimeout: 20 * time.Second,
	})
	options := configsync.Options{
		Daemon: entity.DaemonID(id), Zone: entity.ZoneID(zone), Address: listener.Addr().String(),
		Seeds: c.seeds, Store: store, Client: client, RandomSeed: 1,
	}
	if c.modifyOptions != nil {
		c.modifyOptions(&options)
	}
	agent = configsync.New(options)
	c.seeds = append(c.seeds, configsync.Seed{Address: listener.Addr().String(), Zone: entity.ZoneID(zone)})
	server, err := peer.NewServer(peer.ServerOptions{Handler: agent.Handler(), Token: "secret"})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()
	go func() { _ = agent.Run(ctx); done <- struct{}{} }()
	stop = func() { cancel(); client.Close(); <-done; <-done }
	return agent, stop
}

func createPreset(t testing.TB, agent *configsync.Agent, name string) rollout.PresetRef {
	t.Helper()
	preset := entity.Preset{Name: name, Kind: entity.OrdinaryPreset, Targets: []entity.Target{
		{ID: "e1", Kind: entity.EngineTarget, URL: "http://127.0.0.1:1", Zone: "z1"},
	}}
	ref, err := agent.CreatePreset(t.Context(), configstore.NewPreset{
		Preset: preset, ChangeID: "create-" + name, CreatedBy: "ops", CreatedAt: time.Now(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return ref
}

func versionInForce(agent *configsync.Agent) uint64 {
	if configuration := agent.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// TestChangesReachAllDaemons checks that an accepted change is put in force at all daemons, that a daemon cut off from
// the platform still receives and submits changes, and that a daemon restarted during an outage of the platform does
// not revert to an older version.
func TestChangesReachAllDaemons(t *testing.T) {
	cluster := newTestCluster(t)
	const unreachable = "http://127.0.0.1:1"
	a, stopA := cluster.start("a", "z1", cluster.url)
	defer stopA()
	b, stopB := cluster.start("b", "z1", unreachable)
	c, stopC := cluster.start("c", "z2", cluster.url)
	defer stopC()
	ref := createPreset(t, a, "day")
	if _, err := a.Submit(t.Context(), rollout.Change{ID: "one", By: "ops", Preset: &ref}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "version 1 everywhere", func() bool {
		return versionInForce(a) == 1 && versionInForce(b) == 1 && versionInForce(c) == 1
	})

	leave := rollout.Change{ID: "two", By: "eva", Expect: 1, Marks: []entity.Mark{{ID: "e1", State: entity.LeaveMark}}}
	if _, err := b.Submit(t.Context(), leave); err != nil {
		t.Fatalf("change at a daemon cut off from the platform: %v", err)
	}
	eventually(t, "version 2 everywhere", func() bool {
		return versionInForce(a) == 2 && versionInForce(b) == 2 && versionInForce(c) == 2
	})

	_, err := b.Submit(t.Context(), rollout.Change{ID: "three", By: "ida", Expect: 1, Preset: &ref})
	conflict := configstore.AsConflict(err)
	if errkind.Of(err) != errkind.Conflict || conflict == nil || conflict.Current.ChangedBy != "eva" {
		t.Fatalf("change that expects an outdated version: %v, want a conflict that names eva", err)
	}

	cluster.platform.SetFaults(emulator.Faults{Outage: emulator.RefusingOutage})
	stopB()
	b, stopB = cluster.start("b", "z1", unreachable)
	defer stopB()
	b.Watch(func(configuration *entity.Configuration) {
		if configuration.Version < 2 {
			t.Errorf("restarted daemon serves version %d, want 2", configuration.Version)
		}
	})
	eventually(t, "version 2 after a restart", func() bool { return versionInForce(b) == 2 })
	eventually(t, "versions in the status", func() bool {
		versions := map[string]uint64{}
		for _, daemon := range a.Status().Daemons {
			versions[daemon.ID] = daemon.Version
		}
		return fmt.Sprint(versions) == "map[a:2 b:2 c:2]"
	})
	if _, err := a.Submit(t.Context(), rollout.Change{ID: "x", Expect: 2, Preset: &ref}); errkind.Of(err) != errkind.PlatformUnavailable {
		t.Errorf("change during an outage: %v, want %s", err, errkind.PlatformUnavailable)
	}
	unknown := rollout.Change{ID: "y", Expect: 2, Marks: []entity.Mark{{ID: "nobody", State: entity.LeaveMark}}}
	if _, err := a.Submit(t.Context(), unknown); errkind.Of(err) != errkind.NotFound || !strings.Contains(err.Error(), "nobody") {
		t.Errorf("mark of an unknown id: %v, want %s", err, errkind.NotFound)
	}
}

// BenchmarkChange reports the time from the submission of a mark until it is in force at all of 9 daemons in 3 zones,
// which communicate over loopback sockets. A daemon puts a version in force after its zone peers hold it.
func BenchmarkChange(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	cluster := newTestCluster(b)
	var agents []*configsync.Agent
	for i := range 9 {
		agent, stop := cluster.start(fmt.Sprint("d", i), fmt.Sprint("z", i%3), cluster.url)
		defer stop()
		agents = append(agents, agent)
	}
	everywhere := func(version uint64) bool {
		for _, agent := range agents {
			if versionInForce(agent) < version {
				return false
			}
		}
		return true
	}
	ref := createPreset(b, agents[0], "day")
	if _, err := agents[0].Submit(b.Context(), rollout.Change{ID: "first", By: "ops", Preset: &ref}); err != nil {
		b.Fatal(err)
	}
	eventually(b, "version 1 everywhere", func() bool { return everywhere(1) })
	eventually(b, "all daemons known", func() bool {
		live := 0
		for _, agent := range agents {
			for _, daemon := range agent.Status().Daemons {
				if daemon.Live {
					live++
				}
			}
		}
		return live == 81
	})
	var latencies []time.Duration
	version := uint64(1)
	for b.Loop() {
		states := []entity.MarkState{entity.LeaveMark, entity.JoinMark}
		mark := entity.Mark{ID: "e1", State: states[version%2]}
		begin := time.Now()
		change := rollout.Change{ID: fmt.Sprint("c", version), By: "ops", At: begin, Expect: version, Marks: []entity.Mark{mark}}
		if _, err := agents[int(version)%9].Submit(b.Context(), change); err != nil {
			b.Fatal(err)
		}
		version++
		for !everywhere(version) {
			time.Sleep(time.Millisecond)
		}
		latencies = append(latencies, time.Since(begin))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*95/100].Microseconds())/1000, "p95-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds())/1000, "max-ms")
}
