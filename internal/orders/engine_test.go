package orders

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	emulatedengine "github.com/hyssophoist/hyssophoist/internal/emulator/engine"
	emulatedplatform "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// TestEnginesReachDesiredState guards against a protocol mismatch between the manager, the engines, the table service
// and a weight store with a rate limit. Engines that check fencing numbers and engines that do not must reach the desired
// state over HTTP.
func TestEnginesReachDesiredState(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	store := emulatedplatform.New(emulatedplatform.Options{WeightsPerSecond: 4})
	defer store.Close()
	tables := httptest.NewServer(store)
	defer tables.Close()
	client := engine.NewClient(engine.ClientOptions{})
	defer client.Close()
	manager := New(Options{
		Daemon: "d1", Table: platform.NewClient(platform.ClientOptions{URL: tables.URL}), Engines: client,
	})
	var desired []Desired
	for i := range 2 {
		e := emulatedengine.New(emulatedengine.Options{
			Target: fmt.Sprintf("t%d", i), Model: "old", To: 4, PlatformURL: tables.URL, ChecksFencing: i == 0,
		})
		e.SetFaults(emulatedengine.Faults{Speed: 1000})
		defer e.Close()
		server := httptest.NewServer(e)
		defer server.Close()
		desired = append(desired, Desired{
			Target: entity.TargetID(fmt.Sprintf("t%d", i)), URL: server.URL, Model: "new", Version: "2",
			Role: "decode", Layers: entity.LayerRange{From: 4, To: 8},
		})
	}
	manager.SetDesired(desired)
	for reached := 0; reached < len(desired); time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatalf("%d of %d engines reached the desired state", reached, len(desired))
		}
		reached = 0
		for _, d := range desired {
			report, err := client.Load(ctx, d.URL)
			if err != nil {
				t.Fatal(err)
			}
			manager.RecordReport(report)
			if len(Plan(d, &report)) == 0 {
				reached++
			}
		}
		manager.Step(ctx)
	}
	for i, d := range desired {
		report, err := client.Load(ctx, d.URL)
		if want := map[int]uint64{0: 1, 1: 0}[i]; err != nil || report.FencingNumber != want {
			t.Errorf("engine %s reports fencing number %d, %v; want %d", d.Target, report.FencingNumber, err, want)
		}
	}
	stale := engineapi.Order{FencingNumber: 0, Kind: engineapi.SetRole, Role: "other"}
	if err := client.Order(ctx, desired[0].URL, stale); err == nil {
		t.Error("the engine accepted a stale order")
	}
}
