package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/measure"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// systemSize is the size of a system in which the traffic of one daemon is measured.
type systemSize struct {
	daemons, zones, targets int
}

// systemSizes are the current size, an intermediate one and the design size.
var systemSizes = []systemSize{{9, 3, 43}, {96, 6, 700}, {410, 13, 3200}}

const changesPerSecond = 2400.0 / 86400

func (s systemSize) info(i int) peerset.Info {
	return peerset.Info{
		ID: entity.DaemonID(fmt.Sprintf("daemon-%03d", i)), Zone: entity.ZoneID(fmt.Sprintf("zone-%02d", i%s.zones)),
		Address: fmt.Sprintf("10.20.%d.%d:9200", i/250, i%250), Incarnation: 1_800_000_000_000_000_000 + uint64(i),
		Heartbeat: 100_000 + uint64(i), Version: 70_000, Ready: true,
	}
}

// connectedAgents returns two agents of the same zone that know all daemons. The caller's client is connected to the
// receiver over loopback.
func connectedAgents(b *testing.B, s systemSize) (caller, receiver *Agent, client *peer.Client) {
	b.Helper()
	record := &rollout.Record{Version: 70_000, Preset: rollout.PresetRef{Name: "day", Revision: 1}, ChangeID: "c"}
	for i := range 30 {
		id := fmt.Sprintf("engine-%04d", i)
		record.Marks = append(record.Marks, entity.Mark{ID: id, State: entity.LeaveMark, By: "operator", At: time.Now()})
	}
	newAgent := func(i int) *Agent {
		self := s.info(i)
		client = peer.NewClient(peer.ClientOptions{CallTimeout: 20 * time.Second})
		store := configstore.New(configstore.Options{Table: platform.NewClient(platform.ClientOptions{URL: "http://127.0.0.1:1"})})
		a := New(Options{
			Daemon: self.ID, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation, Client: client, Store: store,
		})
		for j := range s.daemons {
			a.peers.MergeDirect(time.Now(), s.info(j))
		}
		for range 2 * startupHeartbeats {
			a.peers.IncrementHeartbeat(70_000, true)
		}
		a.bodies.put(record.Preset, &entity.Preset{Name: "day", Revision: 1})
		return a
	}
	receiver, caller = newAgent(s.zones), newAgent(0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := peer.NewServer(peer.ServerOptions{Handler: receiver.Handler()})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	b.Cleanup(func() { client.Close(); cancel(); <-done; caller.stop(); receiver.stop() })
	entry := caller.peers.Get(receiver.options.Daemon)
	entry.Address = listener.Addr().String()
	receiver.peers.Get(caller.options.Daemon).Heartbeat++
	caller.stopping, receiver.stopping = true, true // allows only the measured calls
	caller.rollout.Step(time.Now(), rollout.PlatformRead{Record: record})
	receiver.rollout.Step(time.Now(), rollout.PlatformRead{Record: record})
	return caller, receiver, client
}

// callCost is the mean payload of a call and its reply, and the mean CPU time of both sides.
type callCost struct {
	sent, received float64 // bytes
	cpuTime        float64 // ns
}

// measureCalls returns the mean cost of a call on an open connection.
func measureCalls(client *peer.Client, calls int, call func()) callCost {
	call()
	sent, received, begin := client.Traffic().Sent.Load(), client.Traffic().Received.Load(), measure.CPUTime()
	for range calls {
		call()
	}
	n := float64(calls)
	return callCost{
		sent:     float64(client.Traffic().Sent.Load()-sent) / n,
		received: float64(client.Traffic().Received.Load()-received) / n,
		cpuTime:  float64(measure.CPUTime()-begin) / n,
	}
}

// BenchmarkControlTraffic measures the calls between daemons and reports their total for one daemon: one exchange per
// second as caller and one as receiver, load summaries to and from all zone peers, and the announcements of 2,400
// changes per day. Bytes are payload on open connections, excluding TLS and packet headers. The CPU time of a call is
// that of both sides.
func BenchmarkControlTraffic(b *testing.B) {
	for _, s := range systemSizes {
		b.Run(fmt.Sprintf("daemons=%d/zones=%d/targets=%d", s.daemons, s.zones, s.targets), func(b *testing.B) {
			caller, receiver, client := connectedAgents(b, s)
			ctx := context.Background()
			to := receiver.options.Daemon
			exchange := measureCalls(client, b.N, func() { caller.exchange(ctx, rollout.Exchange{To: to}) })
			peers := float64(len(caller.peers.ZonePeers(time.Now())))
			polledTargets := s.targets
			if s.targets > 256 { // then a zone polls only its own targets, see peerset.Set.Assigned
				polledTargets = s.targets / s.zones
			}
			args := &peer.LoadsArgs{
				Sender: caller.options.Daemon, Incarnation: caller.options.Incarnation, Heartbeat: 100_000, Version: 70_000, Ready: true,
				Loads: randomLoads(polledTargets / int(peers+1)),
			}
			summary := measureCalls(client, b.N, func() { caller.sendLoadsTo(ctx, to, args) })
			held := caller.rollout.Held()
			announcement := measureCalls(client, b.N, func() { caller.announce(ctx, rollout.Announce{To: to, Record: held}) })
			summaries := peers / caller.LoadsPeriod().Seconds()
			announcements := changesPerSecond * peers
			bytesPerSecond := exchange.sent + exchange.received + summaries*(summary.sent+summary.received) +
				announcements*(announcement.sent+announcement.received)
			cpuTime := 2*exchange.cpuTime + 2*summaries*summary.cpuTime + 2*announcements*announcement.cpuTime
			b.ReportMetric(bytesPerSecond, "sent-B/s")
			b.ReportMetric(2*bytesPerSecond, "both-B/s")
			b.ReportMetric(exchange.sent+exchange.received, "B/exchange")
			b.ReportMetric(summary.sent+summary.received, "B/summary")
			b.ReportMetric(exchange.cpuTime, "cpu-ns/exchange")
			b.ReportMetric(summary.cpuTime, "cpu-ns/summary")
			b.ReportMetric(cpuTime/2/1e7, "cpu%") // half of the CPU time of each call is spent by the other daemon
		})
	}
}

func randomLoads(n int) []peer.TargetLoad {
	random := rand.New(rand.NewPCG(1, 1))
	result := make([]peer.TargetLoad, n)
	for i := range result {
		result[i] = peer.TargetLoad{
			Target: entity.TargetID(fmt.Sprintf("engine-%04d", i)), AgeMillis: uint32(random.IntN(4000)),
			Queued: uint32(random.IntN(40)), Running: uint32(random.IntN(32)), KVPermille: uint32(random.IntN(1000)),
			TokensProcessed: random.Uint64N(1 << 40),
		}
	}
	return result
}

// BenchmarkStep measures the computations of one idle daemon in one second: 10 steps of the state machine, a heartbeat,
// the selection of partners and samples for two exchanges, and the assignment of targets.
func BenchmarkStep(b *testing.B) {
	for _, s := range systemSizes {
		b.Run(fmt.Sprintf("daemons=%d", s.daemons), func(b *testing.B) {
			a := New(Options{Daemon: "daemon-000", Zone: "zone-00", Incarnation: 1})
			now := time.Now()
			for i := 1; i < s.daemons; i++ {
				a.peers.MergeDirect(now, s.info(i))
			}
			targets := make([]entity.Target, s.targets)
			for i := range targets {
				targets[i] = entity.Target{ID: entity.TargetID(fmt.Sprintf("engine-%04d", i)), Zone: entity.ZoneID(fmt.Sprintf("zone-%02d", i%s.zones))}
			}
			a.rollout.Step(now, rollout.PlatformRead{})
			for b.Loop() {
				for range 10 {
					a.rollout.Step(now)
				}
				a.peers.IncrementHeartbeat(1, true)
				for range 2 {
					a.peers.Partner(now)
					a.peers.Sample(now, "zone-01", sampleInfos, sampleHeartbeats)
				}
				a.peers.Assigned(now, targets)
			}
		})
	}
}
