package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const layers = 8

// world is a store with one row, and engines of one zone that take orders as real ones do.
type fakeCluster struct {
	mu        sync.Mutex
	row       *platformapi.Row
	storeDown bool
	engines   map[entity.TargetID]*fakeEngine
	received  []string
}

type fakeEngine struct {
	target fleet.Target
	orders int64
	silent bool
	// late holds an order that got no answer and is carried out by carryOut.
	lateOrder func()
	// slow engines give up what they hold at once, and hold the layers of an order only when loaded is called.
	slow          bool
	finishLoading func()
}

func newFakeCluster(engines int) *fakeCluster {
	c := &fakeCluster{engines: make(map[entity.TargetID]*fakeEngine)}
	for i := range engines {
		id := entity.TargetID(fmt.Sprintf("e%d", i))
		c.engines[id] = &fakeEngine{target: fleet.Target{ID: id, Service: "llm", Zone: "a", Card: "card", Slots: 8, Born: 1}}
	}
	return c
}

func (c *fakeCluster) Get(context.Context, string, string) (*platformapi.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, errkind.New(errkind.PlatformUnavailable, "down")
	}
	return c.row, nil
}

func (w *fakeCluster) List(context.Context, string, string, string, int) ([]platformapi.Row, error) {
	return nil, nil
}

func (c *fakeCluster) Commit(_ context.Context, writes ...platformapi.Write) ([]uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, errkind.New(errkind.PlatformUnavailable, "down")
	}
	version := uint64(0)
	if c.row != nil {
		version = c.row.Version
	}
	if writes[0].Expect != version {
		return nil, &platform.ConflictError{Row: *c.row}
	}
	c.row = &platformapi.Row{Key: writes[0].Key, Version: version + 1, Value: writes[0].Value}
	return []uint64{c.row.Version}, nil
}

func (c *fakeCluster) Report(_ context.Context, target fleet.Target) (fleet.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[target.ID]
	return fleet.Report{Born: e.target.Born, Layers: e.target.Layers, Orders: e.orders, Changing: e.finishLoading != nil}, nil
}

func (c *fakeCluster) Place(_ context.Context, target fleet.Target, to entity.LayerRange, _ uint64,
	orders int64) (Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[target.ID]
	c.received = append(c.received, fmt.Sprintf("%s:%d-%d", target.ID, to.From, to.To))
	execute := func() bool {
		if orders != e.orders {
			return false
		}
		e.orders++
		e.target.Layers = to
		if e.slow {
			e.target.Layers = entity.LayerRange{}
			e.finishLoading = func() { e.target.Layers, e.finishLoading = to, nil }
		}
		return true
	}
	if e.silent {
		e.lateOrder = func() { execute() }
		return Unknown, errkind.New(errkind.DeadlineExceeded, "no answer")
	}
	if !execute() {
		return Refused, errkind.New(errkind.Conflict, "the engine has begun other orders")
	}
	return Begun, nil
}

// view is what an instance knows; it learns the state of the engines by refresh.
type view struct {
	mu            sync.Mutex
	fleet         *fleet.Fleet
	configuration *routing.Configuration
}

func newView() *view {
	service := &routing.Service{ID: "llm", Engine: &routing.Engine{
		Layers: layers, LayerBytes: 1e9, KVBytesPerToken: layers * 1000, PrefillRate: 1000, StepTime: time.Millisecond,
		Cards: map[string]routing.Card{"card": {MemoryBytes: 4.5e9, DecodeFactor: 1, PrefillFactor: 1}}, LoadTime: time.Second,
	}}
	return &view{fleet: fleet.New(), configuration: routing.New(1, nil, []*routing.Service{service}, nil, routing.Limits{})}
}

func (v *view) Configuration() *routing.Configuration { return v.configuration }

func (v *view) WithFleet(f func(*fleet.Fleet)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.fleet)
}

func (v *view) refresh(c *fakeCluster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.WithFleet(func(f *fleet.Fleet) {
		for _, e := range c.engines {
			f.Put(e.target)
		}
	})
}

func newPlacer(c *fakeCluster, v *view, id entity.DaemonID, rank int) *Placer {
	return New(Options{Daemon: id, View: v, Engines: c, Table: c, Rank: func() int { return rank }})
}

// run steps the placers and refreshes their views until done or for limit.
func runUntil(t *testing.T, c *fakeCluster, views []*view, placers []*Placer, limit time.Duration, done func() bool) bool {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, p := range placers {
			views[i].refresh(c)
			p.step(context.Background())
		}
		if done() {
			return true
		}
	}
	return false
}

func (c *fakeCluster) covered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cover [layers]bool
	for _, e := range c.engines {
		for layer := e.target.Layers.From; layer < e.target.Layers.To; layer++ {
			cover[layer] = true
		}
	}
	for _, held := range cover {
		if !held {
			return false
		}
	}
	return true
}

// TestOneInstanceGivesOrders guards that of two instances that see the same need only one gives orders, and each engine
// gets one.
func TestOnlyOneInstanceSendsOrders(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(4)
	views := []*view{newView(), newView()}
	placers := []*Placer{newPlacer(c, views[0], "d0", 0), newPlacer(c, views[1], "d1", 0)}
	if !runUntil(t, c, views, placers, 10*time.Second, c.covered) {
		t.Fatalf("the layers are not placed: %v", c.received)
	}
	runUntil(t, c, views, placers, 500*time.Millisecond, func() bool { return false })
	if len(c.received) != len(c.engines) {
		t.Errorf("orders %v", c.received)
	}
}

// TestNoOrdersWithoutTheStore guards that an instance that cannot hold the lease gives no orders.
func TestNoOrdersWithoutTheStore(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(2)
	c.storeDown = true
	v := newView()
	p := newPlacer(c, v, "d0", 0)
	runUntil(t, c, []*view{v}, []*Placer{p}, time.Second, func() bool { return false })
	if len(c.received) != 0 {
		t.Errorf("orders %v without a lease", c.received)
	}
}

// TestLateOrderHasNoEffect guards that an order without an answer that is carried out late, after a newer one, changes
// nothing: each names the number of orders that the engine must have begun.
func TestLateOrderHasNoEffect(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(2)
	c.engines["e0"].silent = true
	v := newView()
	p := newPlacer(c, v, "d0", 0)
	late := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.engines["e0"].lateOrder != nil
	}
	if !runUntil(t, c, []*view{v}, []*Placer{p}, 10*time.Second, late) {
		t.Fatal("no order to the silent engine")
	}
	c.mu.Lock()
	execute := c.engines["e0"].lateOrder
	c.engines["e0"].silent = false
	c.mu.Unlock()
	if !runUntil(t, c, []*view{v}, []*Placer{p}, 15*time.Second, c.covered) {
		t.Fatalf("the layers are not placed: %v", c.received)
	}
	c.mu.Lock()
	before := c.engines["e0"].target.Layers
	execute()
	after := c.engines["e0"].target.Layers
	c.mu.Unlock()
	if before != after {
		t.Errorf("a late order changed %v to %v", before, after)
	}
}

// TestStoppingHolderReleasesTheLease guards that an instance that shuts down gives up the lease and takes none: incident
// inc-cdf4 of bhadu-dues had lost layers for six seconds, four of them while the lease of a stopped instance ran out.
func TestStoppingHolderReleasesTheLease(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(2)
	c.engines["e0"].silent, c.engines["e1"].silent = true, true
	first, second := newView(), newView()
	stopping, next := newPlacer(c, first, "d0", 0), newPlacer(c, second, "d1", 0)
	if !runUntil(t, c, []*view{first}, []*Placer{stopping}, 10*time.Second, func() bool { return len(c.received) > 0 }) {
		t.Fatal("no order of the first holder")
	}
	stopping.Stop()
	released := func() bool { _, _, held := stopping.lease.Holds(boottime.Now()); return !held }
	if !runUntil(t, c, []*view{first}, []*Placer{stopping}, leaseDuration/2, released) {
		t.Error("a stopping instance keeps the lease")
	}
	c.mu.Lock()
	c.engines["e0"].silent, c.engines["e1"].silent = false, false
	c.mu.Unlock()
	views, placers := []*view{first, second}, []*Placer{stopping, next}
	if !runUntil(t, c, views, placers, leaseDuration, c.covered) {
		t.Errorf("the layers are not placed before the lease would have ended: %v", c.received)
	}
	if _, _, held := stopping.lease.Holds(boottime.Now()); held {
		t.Error("a stopping instance takes the lease")
	}
}

// TestLostHolderIsReplaced guards that orders go on some seconds after the holder of the lease is lost.
func TestLostHolderIsReplaced(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(2)
	c.engines["e0"].silent, c.engines["e1"].silent = true, true
	first, second := newView(), newView()
	lost := newPlacer(c, first, "d0", 0)
	if !runUntil(t, c, []*view{first}, []*Placer{lost}, 10*time.Second, func() bool { return len(c.received) > 0 }) {
		t.Fatal("no order of the first holder")
	}
	c.mu.Lock()
	c.engines["e0"].silent, c.engines["e1"].silent = false, false
	c.mu.Unlock()
	next := newPlacer(c, second, "d1", 1)
	if !runUntil(t, c, []*view{second}, []*Placer{next}, 10*time.Second, c.covered) {
		t.Fatalf("nobody places the layers: %v", c.received)
	}
}

// TestServingEnginesWaitForASlowOne guards that while an engine takes long to hold the layers of a gap, since streams pass
// through those it gives up, no further engine that serves is taken out of service for the same gap: not by the instance that
// gave the order, and not by one that took over the lease and does not know the order. On abay-cost, scale-2, four engines
// went out of service in turn for up to ten seconds each.
func TestOnlyOneServingEngineFillsGap(t *testing.T) {
	t.Parallel()
	// All engines hold the first half of the model; the second half is lost.
	c := newFakeCluster(4)
	for _, e := range c.engines {
		e.target.Layers, e.slow = entity.LayerRange{To: 4}, true
	}
	first, second := newView(), newView()
	placer := newPlacer(c, first, "d0", 0)
	if !runUntil(t, c, []*view{first}, []*Placer{placer}, 10*time.Second, func() bool { return len(c.received) > 0 }) {
		t.Fatal("no order for the lost layers")
	}
	runUntil(t, c, []*view{first}, []*Placer{placer}, minConfirmTimeout+time.Second, func() bool { return len(c.received) > 1 })
	next := newPlacer(c, second, "d1", 0)
	runUntil(t, c, []*view{second}, []*Placer{next}, 2*leaseDuration, func() bool { return len(c.received) > 1 })
	if len(c.received) != 1 {
		t.Errorf("orders %v although the first one is carried out", c.received)
	}
	c.mu.Lock()
	for _, e := range c.engines {
		if e.finishLoading != nil {
			e.finishLoading()
		}
	}
	c.mu.Unlock()
	if !c.covered() {
		t.Error("the layers are not covered in the end")
	}
}

// TestFirstPlacementWaitsForAllEngines guards that the first plan is made for all engines that start together, although they
// are listed over more than a second with pauses. On abay-cost, scale-1, seed 1031860260938, half of them were planned
// without the others, which left ranges that do not fit and a worth of 0.24 for the day.
func TestInitialPlacementWaitsForAllEngines(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(4)
	late := map[entity.TargetID]*fakeEngine{"e2": c.engines["e2"], "e3": c.engines["e3"]}
	delete(c.engines, "e2")
	delete(c.engines, "e3")
	v := newView()
	p := newPlacer(c, v, "d0", 0)
	const heartbeat = 1200 * time.Millisecond
	if runUntil(t, c, []*view{v}, []*Placer{p}, heartbeat, func() bool { return len(c.received) > 0 }) {
		t.Fatalf("orders %v before the heartbeat of the last engines", c.received)
	}
	c.mu.Lock()
	for id, e := range late {
		c.engines[id] = e
	}
	c.mu.Unlock()
	if !runUntil(t, c, []*view{v}, []*Placer{p}, maxSettleTime, func() bool { return len(c.received) == 4 }) {
		t.Errorf("orders %v, want one to each engine", c.received)
	}
}
