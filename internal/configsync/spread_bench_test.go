package configsync_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/configsync"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// BenchmarkSpread measures the distribution of changes by the number of daemons, over loopback sockets in one process.
// The changes are marks, and switches to a new preset of 500 targets, whose body only the submitting daemon holds. It
// reports the time until the version is in force at all daemons, and the payload that a daemon sends and receives
// meanwhile, including its other traffic. The creation of the preset is not measured.
func BenchmarkSpread(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	for _, s := range []struct{ daemons, zones int }{{9, 3}, {24, 4}, {48, 6}} {
		b.Run(fmt.Sprintf("mark/daemons=%d/zones=%d", s.daemons, s.zones), func(b *testing.B) { benchmarkSpread(b, s.daemons, s.zones, false) })
		b.Run(fmt.Sprintf("preset/daemons=%d/zones=%d", s.daemons, s.zones), func(b *testing.B) { benchmarkSpread(b, s.daemons, s.zones, true) })
	}
}

func benchmarkSpread(b *testing.B, daemons, zones int, switchPresets bool) {
	cluster := newTestCluster(b)
	var clients []*peer.Client
	cluster.modifyOptions = func(o *configsync.Options) { clients = append(clients, o.Client) }
	var agents []*configsync.Agent
	for i := range daemons {
		agent, stop := cluster.start(fmt.Sprint("d", i), fmt.Sprint("z", i%zones), cluster.url)
		defer stop()
		agents = append(agents, agent)
	}
	everywhere := func(version uint64) bool {
		return !slices.ContainsFunc(agents, func(a *configsync.Agent) bool { return versionInForce(a) < version })
	}
	ref := createPreset(b, agents[0], "day")
	if _, err := agents[0].Submit(b.Context(), rollout.Change{ID: "first", By: "ops", Preset: &ref}); err != nil {
		b.Fatal(err)
	}
	eventually(b, "version 1 everywhere", func() bool { return everywhere(1) })
	eventually(b, "zone peers and other zones known", func() bool {
		return !slices.ContainsFunc(agents, func(a *configsync.Agent) bool { return !knowsZones(a, daemons/zones, zones) })
	})
	payload := func() (total float64) {
		for _, client := range clients {
			total += float64(client.Traffic().Sent.Load() + client.Traffic().Received.Load())
		}
		return total
	}
	var latencies []time.Duration
	var bytes float64
	version := uint64(1)
	for i := 0; b.Loop(); i++ {
		change := rollout.Change{ID: fmt.Sprint("c", version), By: "ops", Expect: version}
		if switchPresets {
			ref := createLargePreset(b, agents[i%daemons], fmt.Sprint("night-", i))
			change.Preset = &ref
		} else {
			change.Marks = []entity.Mark{{ID: "e1", State: []entity.MarkState{entity.LeaveMark, entity.JoinMark}[i%2]}}
		}
		before, begin := payload(), time.Now()
		change.At = begin
		if _, err := agents[i%daemons].Submit(b.Context(), change); err != nil {
			b.Fatal(err)
		}
		for version++; !everywhere(version); time.Sleep(time.Millisecond) {
			if time.Since(begin) > waitTimeout {
				b.Fatalf("version %d is not in force everywhere after %s", version, waitTimeout)
			}
		}
		latencies = append(latencies, time.Since(begin))
		time.Sleep(50 * time.Millisecond) // lets calls still in progress end
		bytes += payload() - before
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)-1].Microseconds())/1000, "max-ms")
	b.ReportMetric(2*bytes/float64(b.N*daemons), "B/daemon") // each byte sent is also received by another daemon
}

// knowsZones reports whether an agent knows all daemons of its own zone and at least one of each other zone to be live,
// which is what the distribution of a change needs. Without the platform's list, 48 daemons do not all know each other
// after 40 s.
func knowsZones(a *configsync.Agent, perZone, zones int) bool {
	status := a.Status()
	live := make(map[string]int)
	for _, daemon := range status.Daemons {
		if daemon.Live {
			live[daemon.Zone]++
		}
	}
	return live[status.Zone] == perZone && len(live) == zones
}

func createLargePreset(b *testing.B, agent *configsync.Agent, name string) rollout.PresetRef {
	b.Helper()
	preset := entity.Preset{Name: name, Kind: entity.OrdinaryPreset}
	for i := range 500 {
		preset.Targets = append(preset.Targets, entity.Target{ID: entity.TargetID(fmt.Sprintf("engine-%04d", i)), Kind: entity.EngineTarget,
			URL: fmt.Sprintf("http://10.30.%d.%d:9000", i/250, i%250), Zone: entity.ZoneID(fmt.Sprint("z", i%6))})
	}
	ref, err := agent.CreatePreset(b.Context(), configstore.NewPreset{Preset: preset, ChangeID: "create-" + name, CreatedBy: "ops", CreatedAt: time.Now()})
	if err != nil {
		b.Fatal(err)
	}
	return ref
}
