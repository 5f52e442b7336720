package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

var start = time.Unix(1000, 0)

const layers = 8

func testService() *routing.Service {
	delays := map[[2]entity.ZoneID]time.Duration{{"a", "b"}: time.Millisecond, {"b", "a"}: time.Millisecond}
	return &routing.Service{ID: "llm", Engine: &routing.Engine{
		Layers: layers, LayerBytes: 1e9, TokenBytes: layers * 10000, MaxSequences: 100, Stride: 2,
		StepTime: time.Millisecond, SequenceTime: 5 * time.Microsecond, PrefillRate: 100000, ActivationBytes: 20000,
		PipeRate: 1e9, UsualPrompt: 800, UsualAnswer: 150, Delays: delays,
		Cards: map[string]routing.Card{"card": {MemoryBytes: 5e9, Pace: 5, ReadFactor: 5}},
	}}
}

// testDispatcher knows two zones with two engines of four layers each.
func testDispatcher() *Dispatcher {
	d := &Dispatcher{Zone: "a", Fleet: fleet.New()}
	for i := range 4 {
		zone := []entity.ZoneID{"a", "b"}[i/2]
		from := i % 2 * 4
		d.Fleet.Put(fleet.Target{
			ID: entity.TargetID(fmt.Sprintf("%s%d", zone, i%2)), Service: "llm", Zone: zone, Card: "card", Slots: 100,
			Born: 1, Layers: entity.LayerRange{From: from, To: from + 4},
		})
	}
	return d
}

func name(path *Path) (text string) {
	for _, stage := range path.Stages {
		text += string(stage.Target.ID)
	}
	return text
}

// TestOwnZoneWhileItHasRoom guards that generations stay in the zone of the instance until its engines have no KV cache
// left, also if other instances occupy it, and then go to another zone. All zones once used the fastest engines of one.
func TestOwnZoneWhileItHasRoom(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := Generation{Prompt: 800, Answer: 150}
	if got := name(d.ChoosePath(start, service, size, nil)); got != "a0a1" {
		t.Errorf("idle: %s", got)
	}
	full := loadshare.Loads{"a1": {Sequences: 100, Cache: 4 * 25000}}
	d.Fleet.SetOtherLoads(start, full, 2)
	if got := name(d.ChoosePath(start, service, size, nil)); got == "a0a1" {
		t.Errorf("without room: %s", got)
	}
}

// TestPathAvoidsSuspectedEngines guards that a suspected engine is used only if there is no other.
func TestPathAvoidsSuspectedEngines(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := Generation{Prompt: 800, Answer: 150}
	d.Fleet.RecordFailure(start, "a1")
	if got := name(d.ChoosePath(start, service, size, nil)); got != "a0b1" && got != "b0b1" {
		t.Errorf("with a suspected engine: %s", got)
	}
	d.Fleet.RecordFailure(start, "b1")
	if path := d.ChoosePath(start, service, size, nil); path == nil {
		t.Error("no path although suspected engines are left")
	}
	avoid := map[entity.TargetID]bool{"a1": true, "b1": true}
	if path := d.ChoosePath(start, service, size, avoid); path != nil {
		t.Errorf("a path over engines to avoid: %s", name(path))
	}
}

// TestNoPathWithoutRoom plays a load far above what the engines hold, as when slow engines keep their generations: no engine
// is given more KV cache than it has, and none of the generations that fit is turned away. The bench saw engines refuse
// 1,084 generations and displace 119 on a day with slow engines.
func TestNoPathWithoutRoom(t *testing.T) {
	d, service := testDispatcher(), testService()
	d.Fleet.SetOtherLoads(start, nil, 1)
	size := Generation{Prompt: 800, Answer: 150}
	room := service.Engine.CacheRoom(service.Engine.Cards["card"], 4)
	fit := 2 * int(room/4/(size.Prompt+size.Answer))
	sent := 0
	for range 4 * fit {
		if d.ChoosePath(start, service, size, nil) != nil {
			sent++
		}
	}
	for id, state := range d.Fleet.All {
		if state.CacheInUse > room {
			t.Errorf("%s holds %v of %v", id, state.CacheInUse, room)
		}
	}
	if sent < fit-2 {
		t.Errorf("%d generations were sent, %d fit", sent, fit)
	}
}

// TestReleaseEndsTheReservation guards that reservations do not add up over time, also if an engine starts again meanwhile.
func TestReleaseEndsTheReservation(t *testing.T) {
	d, service := testDispatcher(), testService()
	size := Generation{Prompt: 800, Answer: 150}
	first, second := d.ChoosePath(start, service, size, nil), d.ChoosePath(start, service, size, nil)
	restarted := first.Stages[1].Target
	restarted.Born = 2
	d.Fleet.Put(restarted)
	d.Release(first)
	d.Release(second)
	state := d.Fleet.Get(first.Stages[0].Target.ID)
	if state.InProgress != 0 || state.CacheInUse != 0 {
		t.Errorf("left: %d calls, cache %v", state.InProgress, state.CacheInUse)
	}
}

// TestEstimateGeneration guards the sizes of requests that say little.
func TestEstimateGeneration(t *testing.T) {
	engine := testService().Engine
	for _, test := range []struct {
		prompt, expected, limit int
		want                    Generation
	}{
		{0, 0, 0, Generation{800, 150}},
		{300, 0, 100, Generation{300, 100}},
		{300, 60, 100, Generation{300, 60}},
		{300, 900, 100, Generation{300, 100}},
	} {
		if got := EstimateGeneration(engine, test.prompt, test.expected, test.limit); got != test.want {
			t.Errorf("%+v: %+v", test, got)
		}
	}
}

// BenchmarkChoosePath measures a decision among as many engines as a large deployment has.
func BenchmarkChoosePath(b *testing.B) {
	d, service := &Dispatcher{Zone: "a", Fleet: fleet.New()}, testService()
	service.Engine.Layers = 80
	for i := range 100 {
		from := i * 8 % 80
		d.Fleet.Put(fleet.Target{
			ID: entity.TargetID(fmt.Sprint(i)), Service: "llm", Zone: entity.ZoneID(rune('a' + i%4)), Card: "card", Born: 1,
			Layers: entity.LayerRange{From: from, To: from + 8},
		})
	}
	size := Generation{Prompt: 800, Answer: 150}
	for b.Loop() {
		if path := d.ChoosePath(start, service, size, nil); path != nil {
			d.Release(path)
		}
	}
}

// TestRerouteKeepsTheOtherEngines guards that a new path differs from the old one only in the layers of the engines at fault,
// and that it stays in the zone unless there is no other way: the tokens of many streams filled the pipe between zones, and
// pauses grew to more than a second (abay-cost, trouble-2).
func TestRerouteKeepsTheOtherEngines(t *testing.T) {
	size := Generation{Prompt: 800, Answer: 150}
	spare := func(d *Dispatcher, id string, zone entity.ZoneID, from, to int) {
		d.Fleet.Put(fleet.Target{
			ID: entity.TargetID(id), Service: "llm", Zone: zone, Card: "card", Slots: 100, Born: 1,
			Layers: entity.LayerRange{From: from, To: to},
		})
	}
	for _, test := range []struct {
		name     string
		fault    []entity.TargetID
		crossing bool
		change   func(d *Dispatcher)
		want     string
	}{
		{"in the zone", []entity.TargetID{"a1"}, false, func(d *Dispatcher) { spare(d, "a2", "a", 4, 8) }, "a0a2"},
		{"by two engines", []entity.TargetID{"a1"}, false, func(d *Dispatcher) {
			spare(d, "a2", "a", 2, 6)
			spare(d, "a3", "a", 6, 8)
		}, "a0a2a3"},
		{"only in another zone", []entity.TargetID{"a1"}, false, func(*Dispatcher) {}, ""},
		{"across zones", []entity.TargetID{"a1"}, true, func(*Dispatcher) {}, "a0b1"},
		{"first engine at fault", []entity.TargetID{"a0"}, true, func(*Dispatcher) {}, ""},
		{"suspected", []entity.TargetID{"a1"}, true, func(d *Dispatcher) { d.Fleet.RecordFailure(start, "b1") }, ""},
		{"without room", []entity.TargetID{"a1"}, true, func(d *Dispatcher) {
			d.Fleet.SetOtherLoads(start, loadshare.Loads{"b1": {Sequences: 100, Cache: 4 * 25000}}, 2)
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, service := testDispatcher(), testService()
			path := d.ChoosePath(start, service, size, nil)
			if got := name(path); got != "a0a1" {
				t.Fatalf("path %s", got)
			}
			test.change(d)
			fault := make(map[entity.TargetID]bool)
			for _, id := range test.fault {
				fault[id] = true
			}
			changed := d.Reroute(start, service, path, fault, nil, test.crossing)
			got := ""
			if changed != nil {
				got = name(changed)
				next := 0
				for _, stage := range changed.Stages {
					if stage.Layers.From != next {
						t.Errorf("a stage begins at layer %d where %d is due", stage.Layers.From, next)
					}
					next = stage.Layers.To
				}
				d.Release(changed)
			}
			if got != test.want {
				t.Errorf("new path %q, want %q", got, test.want)
			}
			d.Release(path)
			for id, state := range d.Fleet.All {
				if state.InProgress != 0 || state.CacheInUse != 0 {
					t.Errorf("%s is left with %d requests", id, state.InProgress)
				}
			}
		})
	}
}
