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

// fakeCluster is a store with one row, and engines of one zone that handle orders as real ones do.
type fakeCluster struct {
	mu        sync.Mutex
	row       *platformapi.Row
	storeDown bool
	engines   map[entity.TargetID]*fakeEngine
	// callTime is the time that each call of an engine takes on the processor of the instance, one after another.
	callTime  time.Duration
	processor sync.Mutex
	// lateReports counts the reports that were not there in time.
	lateReports int
	// received lists the orders that engines received, also those refused or not answered.
	received []string
	// reports counts the reports that each engine was asked for.
	reports map[entity.TargetID]int
}

type fakeEngine struct {
	target fleet.Target
	// orders is the number of orders that the engine has begun.
	orders int64
	// cacheInUse is the KV cache in use that the engine reports.
	cacheInUse float64
	// silent engines do not answer orders. Calling lateOrder executes the last order that got no answer.
	silent    bool
	lateOrder func()
	// slow engines drop their layers as soon as they get an order, and hold the ordered layers only once finishLoading
	// is called.
	slow          bool
	finishLoading func()
}

func newFakeCluster(engines int) *fakeCluster {
	c := &fakeCluster{engines: make(map[entity.TargetID]*fakeEngine), reports: make(map[entity.TargetID]int)}
	for i := range engines {
		id := engineID(i)
		c.engines[id] = &fakeEngine{
			target: fleet.Target{ID: id, Service: "llm", Zone: "a", Card: "card", Slots: 8, Born: 1},
		}
	}
	return c
}

func engineID(i int) entity.TargetID { return entity.TargetID(fmt.Sprintf("e%d", i)) }

func (c *fakeCluster) Get(context.Context, string, string) (*platformapi.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown {
		return nil, errkind.New(errkind.PlatformUnavailable, "down")
	}
	return c.row, nil
}

func (c *fakeCluster) List(context.Context, string, string, string, int) ([]platformapi.Row, error) {
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

// delay takes up the processor of the instance for the time of a call.
func (c *fakeCluster) delay(ctx context.Context) {
	c.processor.Lock()
	defer c.processor.Unlock()
	if c.callTime > 0 && ctx.Err() == nil {
		time.Sleep(c.callTime)
	}
}

func (c *fakeCluster) Report(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	c.delay(ctx)
	c.mu.Lock()
	c.reports[target.ID]++
	if err := ctx.Err(); err != nil {
		c.lateReports++
		c.mu.Unlock()
		return fleet.Report{}, err
	}
	defer c.mu.Unlock()
	e := c.engines[target.ID]
	return fleet.Report{
		Born: e.target.Born, Layers: e.target.Layers, Orders: e.orders, Changing: e.finishLoading != nil, CacheInUse: e.cacheInUse,
	}, nil
}

func (c *fakeCluster) Place(_ context.Context, target fleet.Target, to entity.LayerRange, _ uint64,
	begunOrders int64) (Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[target.ID]
	c.received = append(c.received, fmt.Sprintf("%s:%d-%d", target.ID, to.From, to.To))
	execute := func() bool {
		if begunOrders != e.orders {
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

// view implements View. It gets the state of the engines by refresh.
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
	return New(Options{Daemon: id, View: v, Engines: c, Table: c, Rank: func() (int, bool) { return rank, true }})
}

// runUntil refreshes the views and steps the placers until done returns true. It returns false if that takes longer
// than limit.
func runUntil(t *testing.T, c *fakeCluster, views []*view, placers []*Placer, limit time.Duration,
	done func() bool) bool {
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

// covered reports whether each layer is held by an engine.
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

// TestOnlyOneInstanceSendsOrders guards against duplicate orders when two instances see at the same time that orders
// are needed. Each engine must get one order.
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
		t.Errorf("got orders %v, want one for each engine", c.received)
	}
}

// TestNoOrdersInBackoff guards against orders and report requests to engines that asked to get no requests.
func TestNoOrdersInBackoff(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(4)
	v := newView()
	v.refresh(c)
	backedOff := fleet.Target{ID: "e0", Born: 1}
	p := newPlacer(c, v, "d0", 0)
	p.recordBackoff(backedOff, &fleet.BackoffError{For: time.Minute})
	runUntil(t, c, []*view{v}, []*Placer{p}, 4*time.Second, func() bool { return len(c.received) == len(c.engines) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.received) != len(c.engines)-1 || c.reports["e0"] != 0 {
		t.Errorf("got orders %v and %d report requests", c.received, c.reports["e0"])
	}
}

// TestNoOrdersWithoutTheStore guards against orders from an instance that cannot acquire the lease.
func TestNoOrdersWithoutTheStore(t *testing.T) {
	t.Parallel()
	c := newFakeCluster(2)
	c.storeDown = true
	v := newView()
	p := newPlacer(c, v, "d0", 0)
	runUntil(t, c, []*view{v}, []*Placer{p}, time.Second, func() bool { return false })
	if len(c.received) != 0 {
		t.Errorf("got orders %v without a lease", c.received)
	}
}

// TestLateOrderHasNoEffect guards against an unanswered order that takes effect late, after a newer one. The engine
// ignores it, since each order carries the number of orders that the engine must have begun before it.
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
		t.Fatal("the silent engine got no order")
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

// TestStoppingHolderReleasesTheLease guards against an instance that keeps or acquires the lease while it shuts down.
// In incident inc-cdf4 of the benchmark run bhadu-dues, layers were lost for six seconds, four of which passed until
// the lease of a stopped instance expired.
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
		t.Error("the stopping instance did not release the lease")
	}
	c.mu.Lock()
	c.engines["e0"].silent, c.engines["e1"].silent = false, false
	c.mu.Unlock()
	views, placers := []*view{first, second}, []*Placer{stopping, next}
	if !runUntil(t, c, views, placers, leaseDuration, c.covered) {
		t.Errorf("the layers are not placed before the released lease would have expired: %v", c.received)
	}
	if _, _, held := stopping.lease.Holds(boottime.Now()); held {
		t.Error("the stopping instance acquired the lease")
	}
}

// TestLostHolderIsReplaced guards against a lost lease holder that blocks orders for more than ten seconds.
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
		t.Fatalf("no instance places the layers: %v", c.received)
	}
}

// TestOnlyOneServingEngineFillsGap guards against further serving engines being taken out of service for a gap that an
// engine is already about to fill. That engine may take long, since streams still use the layers that it drops. Neither
// the instance that sent the order nor one that took over the lease, and does not know the order, may send another. In
// the benchmark run abay-cost, scale-2, four engines went out of service in turn for up to ten seconds each.
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
	runUntil(t, c, []*view{first}, []*Placer{placer}, minConfirmTimeout+time.Second,
		func() bool { return len(c.received) > 1 })
	next := newPlacer(c, second, "d1", 0)
	runUntil(t, c, []*view{second}, []*Placer{next}, 2*leaseDuration, func() bool { return len(c.received) > 1 })
	if len(c.received) != 1 {
		t.Errorf("got orders %v while the first one is in progress, want one order", c.received)
	}
	c.mu.Lock()
	for _, e := range c.engines {
		if e.finishLoading != nil {
			e.finishLoading()
		}
	}
	c.mu.Unlock()
	if !c.covered() {
		t.Error("the layers are not covered after the engine has loaded them")
	}
}

// TestInitialPlacementWaitsForAllEngines guards against a first plan that leaves out some of the engines that start
// together, since they are listed over more than a second with pauses. In the benchmark run abay-cost, scale-1, seed
// 1031860260938, half of them were planned without the others, which left layer ranges that do not fit together and a
// score of 0.24 for the day.
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
		t.Fatalf("got orders %v before the heartbeat of the last engines", c.received)
	}
	c.mu.Lock()
	for id, e := range late {
		c.engines[id] = e
	}
	c.mu.Unlock()
	if !runUntil(t, c, []*view{v}, []*Placer{p}, maxSettleTime, func() bool { return len(c.received) == 4 }) {
		t.Errorf("got orders %v, want one for each engine", c.received)
	}
}

// TestOnlyCandidatesOrder guards against an instance that gives orders, or calls the store for the lease, although it
// leaves placement to others.
func TestOnlyCandidatesOrder(t *testing.T) {
	t.Parallel()
	c, v := newFakeCluster(2), newView()
	bystander := New(Options{Daemon: "bystander", View: v, Engines: c, Table: c, Rank: func() (int, bool) { return 0, false }})
	acted := func() bool { return c.row != nil || len(c.received) > 0 }
	if runUntil(t, c, []*view{v}, []*Placer{bystander}, maxSettleTime+time.Second, acted) {
		t.Errorf("an instance that is no candidate took the lease or gave orders %v", c.received)
	}
	candidate := newPlacer(c, v, "candidate", 0)
	if !runUntil(t, c, []*view{v}, []*Placer{candidate}, 10*time.Second, c.covered) {
		t.Error("the candidate does not place the layers")
	}
}

// TestManyOrders guards against an instance that sends so many orders at once that most of them run into their timeout:
// the first placement of 3,000 engines then takes until callers are there.
func TestManyOrders(t *testing.T) {
	t.Parallel()
	const engines = 600
	c, v := newFakeCluster(engines), newView()
	c.callTime = time.Millisecond
	p := newPlacer(c, v, "d0", 0)
	placed := func() bool { return len(c.received) >= engines }
	if !runUntil(t, c, []*view{v}, []*Placer{p}, 10*time.Second, placed) {
		t.Errorf("%d orders for %d engines", len(c.received), engines)
	}
	if c.lateReports > engines/10 {
		t.Errorf("%d reports were not there in time", c.lateReports)
	}
}
