package configsync

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/measure"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// presetSizes are numbers of targets with corresponding numbers of client accounts, models and zones.
var presetSizes = []struct{ targets, accounts, models, zones int }{{50, 10, 1, 3}, {500, 230, 3, 4}, {3200, 1500, 15, 13}}

func testPreset(targets, accounts, models, zones int) *entity.Preset {
	preset := &entity.Preset{Name: "day", Kind: entity.OrdinaryPreset, Revision: 12, Objective: entity.ThroughputObjective,
		Limits: entity.Limits{QueueLength: 100, BodyBytes: 1 << 20, TimeoutSeconds: 60}}
	for i := range models {
		preset.Models = append(preset.Models, entity.Model{
			ID: entity.ModelID(fmt.Sprintf("model-%02d", i)), Layers: 64, Version: "2026-11-20", MaxTokens: 8192})
	}
	for i := range targets {
		stage := i / models % 4
		preset.Targets = append(preset.Targets, entity.Target{
			ID: entity.TargetID(fmt.Sprintf("engine-%04d", i)), Kind: entity.EngineTarget,
			URL:  fmt.Sprintf("http://10.30.%d.%d:9000", i/250, i%250),
			Zone: entity.ZoneID(fmt.Sprintf("zone-%02d", i%zones)), Model: preset.Models[i%models].ID,
			Layers: entity.LayerRange{From: 16 * stage, To: 16*stage + 16}, Accelerator: fmt.Sprintf("type-%d", i%5), ChecksFencing: i%2 == 0})
	}
	for i := range accounts {
		// Real key hashes do not compress, so the digits are pseudo-random and differ for each account.
		key := fmt.Sprintf("%016x%016x%016x%016x", splitMix64(4*i), splitMix64(4*i+1), splitMix64(4*i+2), splitMix64(4*i+3))
		preset.Accounts = append(preset.Accounts, entity.Account{
			ID: entity.AccountID(fmt.Sprintf("account-%04d", i)), KeySHA256: []string{key}, Weight: 1})
	}
	return preset
}

func splitMix64(i int) uint64 {
	x := uint64(i+1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// BenchmarkPresetBody measures the size of a preset body as JSON, compressed and decoded in memory, and the CPU time of
// compressing and decoding it.
func BenchmarkPresetBody(b *testing.B) {
	for _, s := range presetSizes {
		b.Run(fmt.Sprintf("targets=%d/accounts=%d", s.targets, s.accounts), func(b *testing.B) {
			preset := testPreset(s.targets, s.accounts, s.models, s.zones)
			plain, err := json.Marshal(preset)
			if err != nil {
				b.Fatal(err)
			}
			var compressed []byte
			var compressing, decoding time.Duration
			for b.Loop() {
				begin := measure.CPUTime()
				if compressed, err = (&cachedBody{preset: preset}).compress(); err != nil {
					b.Fatal(err)
				}
				middle := measure.CPUTime()
				if _, err := decompress(compressed); err != nil {
					b.Fatal(err)
				}
				compressing += middle - begin
				decoding += measure.CPUTime() - middle
			}
			before := heapBytes()
			held, err := decompress(compressed)
			if err != nil {
				b.Fatal(err)
			}
			after := heapBytes()
			runtime.KeepAlive(held)
			b.ReportMetric(float64(len(plain)), "B/json")
			b.ReportMetric(float64(len(compressed)), "B/compressed")
			b.ReportMetric(float64(after)-float64(before), "B/held")
			b.ReportMetric(float64(compressing)/float64(b.N)/1e6, "cpu-ms/compress")
			b.ReportMetric(float64(decoding)/float64(b.N)/1e6, "cpu-ms/decode")
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRecord measures the size of a record by its number of marks, both as a row of the table service and in
// memory, and the cost of announcements without and with the record. The CPU time is that of both sides.
func BenchmarkRecord(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	for _, marks := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("marks=%d", marks), func(b *testing.B) {
			record := &rollout.Record{Version: 69_999, Preset: rollout.PresetRef{Name: "day", Revision: 1},
				ChangeID: "0199f2a4-7c1e-7d3a-9b5e-3f0c6a1d2e4b", ChangedBy: "operator", ChangedAt: time.Now().UTC()}
			for i := range marks {
				record.Marks = append(record.Marks, entity.Mark{
					ID: fmt.Sprintf("engine-%04d", i), State: entity.LeaveMark, By: "operator", At: time.Now().UTC()})
			}
			stored, err := json.Marshal(record)
			if err != nil {
				b.Fatal(err)
			}
			caller, receiver, client := connectedAgents(b, systemSizes[2])
			ctx, to := context.Background(), receiver.options.Daemon
			send := func(r *rollout.Record) func() {
				return func() {
					if _, err := caller.sendAnnouncement(ctx, to, &peer.AnnounceArgs{Version: record.Version, Preset: record.Preset, Record: r}); err != nil {
						b.Fatal(err)
					}
				}
			}
			withoutRecord := measureCalls(client, b.N, send(nil))
			withRecord := measureCalls(client, b.N, send(record))
			var encoded bytes.Buffer
			if err := gob.NewEncoder(&encoded).Encode(record); err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			held := new(rollout.Record)
			if err := gob.NewDecoder(&encoded).Decode(held); err != nil {
				b.Fatal(err)
			}
			after := heapBytes()
			runtime.KeepAlive(held)
			b.ReportMetric(float64(len(stored)), "B/row")
			b.ReportMetric(withoutRecord.sent+withoutRecord.received, "B/probe")
			b.ReportMetric(withRecord.sent+withRecord.received, "B/announcement")
			b.ReportMetric(withRecord.cpuTime, "cpu-ns/announcement")
			b.ReportMetric(float64(after)-float64(before), "B/held")
		})
	}
}

// BenchmarkPeersMemory measures the heap use of an agent's peer set and state machine by the number of daemons.
func BenchmarkPeersMemory(b *testing.B) {
	for _, s := range systemSizes {
		b.Run(fmt.Sprintf("daemons=%d", s.daemons), func(b *testing.B) {
			var total float64
			for range b.N {
				before := heapBytes()
				a := New(Options{Daemon: "daemon-000", Zone: "zone-00", Incarnation: 1})
				for i := 1; i < s.daemons; i++ {
					a.peers.MergeDirect(time.Now(), s.info(i))
					a.rollout.Step(time.Now(), rollout.PeerCalled{Peer: s.info(i).ID, Incarnation: 1, Version: 1})
				}
				total += float64(heapBytes()) - float64(before)
				runtime.KeepAlive(a)
			}
			b.ReportMetric(total/float64(b.N), "B/daemon")
		})
	}
}

// BenchmarkSummary measures the cost of a load summary by its number of reports. The CPU time is that of both sides.
func BenchmarkSummary(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	for _, n := range []int{8, 80, 800, 3200} {
		b.Run(fmt.Sprintf("reports=%d", n), func(b *testing.B) {
			caller, receiver, client := connectedAgents(b, systemSizes[2])
			args := &peer.LoadsArgs{Sender: caller.options.Daemon, Incarnation: caller.options.Incarnation,
				Heartbeat: 100_000, Version: 70_000, Ready: true, Loads: randomLoads(n)}
			summary := measureCalls(client, b.N, func() { caller.sendLoadsTo(context.Background(), receiver.options.Daemon, args) })
			b.ReportMetric(summary.sent+summary.received, "B/summary")
			b.ReportMetric(summary.cpuTime/1000, "cpu-us/summary")
		})
	}
}
