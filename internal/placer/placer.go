// Package placer orders engines to load layers where the plan of core/placement differs from the layers that they hold.
//
// Only the instance that holds a lease in the store sends orders. The lease is held only while orders are needed or not
// yet confirmed. Otherwise the placer makes no calls to the store.
package placer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/lease"
	"github.com/hyssophoist/hyssophoist/core/placement"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/leasestore"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// settleTime is how long the list of engines must not have grown before a plan is made, so that engines that start
	// together are planned together.
	settleTime = 500 * time.Millisecond
	// initialSettleTime replaces settleTime while no engine holds layers. Engines register with a heartbeat, so those
	// that start together are listed over more than a second, with pauses.
	initialSettleTime = 1500 * time.Millisecond
	// maxSettleTime bounds this wait, counted from when the first engine was listed.
	maxSettleTime = 4 * time.Second
	// leaseDuration is how long a lease lasts unless it is renewed. The other instances wait this long plus
	// orderTimeout for a lost holder. leaseMargin is how long before the end of its lease the holder stops sending
	// orders.
	leaseDuration = 2 * time.Second
	leaseMargin   = 400 * time.Millisecond
	// orderTimeout bounds an order together with the report that is read before it.
	orderTimeout = 500 * time.Millisecond
	// maxConcurrentOrders bounds the orders that are sent at the same time, and minOrderTime is the time that must be
	// left for one to be started: thousands of orders at once would all run into orderTimeout on a small instance.
	maxConcurrentOrders = 64
	minOrderTime        = orderTimeout / 2
	// leaseReadInterval is the time between two reads of a lease that another instance holds.
	leaseReadInterval = 500 * time.Millisecond
	// rankDelay is how long an instance waits for each instance that should act before it. In most cases only one
	// instance then calls the store when all candidates see that orders are needed.
	rankDelay = 300 * time.Millisecond
	// minConfirmTimeout is the minimum time after which an order that does not appear in the engine's entry in the
	// store is given up. The timeout is loadTimeFactor times the expected load time if that is longer.
	minConfirmTimeout = 3 * time.Second
	loadTimeFactor    = 3
	// drainAllowance is added for an engine that drops layers, since it first waits for the streams that use them.
	drainAllowance = 10 * time.Second
	// failureDelay is how long an engine gets no other order after one that it refused or that was not sent.
	failureDelay = time.Second
	// withheldPeriod is how long plans use the KV cache that an engine reported when an order to it was withheld.
	withheldPeriod = 2 * time.Second
	storeTimeout   = time.Second
	// newEnginePeriod is how long an engine counts as new. After the initial placement, a new engine gets no replicas,
	// so that it is free for the layers of an engine that it may replace.
	newEnginePeriod = 1500 * time.Millisecond

	// planFailureLogInterval is the least time between two log lines on plans that panicked. A plan is made in each tick.
	planFailureLogInterval = 10 * time.Second

	// leaseKey is the row key of the lease, which covers all placements.
	leaseKey = "placement"
)

// Outcome is the result of sending an order to an engine.
type Outcome int

// Outcomes of an order. The engine may still execute an order with the outcome Unknown later.
const (
	Unknown Outcome = iota
	Begun
	Done
	Refused
)

// String returns the name of the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "done", "refused"}[o]
}

// Engines reads the reports of engines and sends them orders.
type Engines interface {
	Report(ctx context.Context, target fleet.Target) (fleet.Report, error)
	// Place orders an engine to hold layers. fencing is the fencing number of the lease. The engine refuses the order
	// unless begunOrders is the number of orders that it has begun. The error is the reason for an outcome other than
	// Begun and Done.
	Place(ctx context.Context, target fleet.Target, layers entity.LayerRange, fencing uint64,
		begunOrders int64) (Outcome, error)
}

// View gives access to the configuration and the fleet as this instance knows them. Its methods are safe for concurrent
// use.
type View interface {
	Configuration() *routing.Configuration
	WithFleet(func(*fleet.Fleet))
}

// Options configures a Placer.
type Options struct {
	Daemon  entity.DaemonID
	View    View
	Engines Engines
	Table   platform.TableStore
	// Rank returns the number of instances that should act before this one. It reports false if this instance leaves
	// placement to others.
	Rank func() (rank int, candidate bool)
	// Isolated, if set, reports whether this instance reaches no engines. It then gives up the lease at once: orders would not arrive,
	// nor would their confirmation be seen.
	Isolated func() bool
	// Era, if set, returns the era of the store in the tables that the orders are planned by (see core/rowversion).
	Era func() uint64
	// OrderGiven, if set, is called with the outcome of each order.
	OrderGiven func(outcome Outcome)
}

var log = logging.For("placer")

// pendingOrder is an order that does not appear in the engine's entry in the store yet.
type pendingOrder struct {
	layers    entity.LayerRange
	expiresAt time.Time
	// failed reports whether the engine gets no other order until expiresAt because it refused this one or this one was
	// not sent.
	failed bool
	// born identifies the process of the engine that the order is for, by its start time.
	born int64
	// untracked reports whether the engine is executing an order that this instance did not send or has given up, so
	// that its range is unknown. listed is the range in the engine's entry when this was found out.
	untracked bool
	listed    entity.LayerRange
	// withheld reports whether the order was not sent since the requests on the engine, which use cacheInUse, would not
	// fit beside the layers. The engine may get other orders.
	withheld   bool
	cacheInUse float64
}

// sent reports whether this instance has sent the order and the engine has not refused it.
func (o pendingOrder) sent() bool { return !o.failed && !o.untracked && !o.withheld }

// process records when a process of an engine was first seen. born is the start time of that process.
type process struct {
	born      int64
	firstSeen time.Time
}

// Placer sends orders to engines.
type Placer struct {
	options Options
	lease   *lease.Lease

	// neededSince is when it was first seen that orders are needed, or zero if none are. delay is how long this
	// instance then waits before it acts.
	neededSince time.Time
	delay       time.Duration
	// engineCount is the number of engines last seen, grownAt when it last grew, and firstEngineAt when the first
	// engine was seen.
	engineCount            int
	grownAt, firstEngineAt time.Time
	// planFailureLoggedAt is when a plan that panicked was last logged.
	planFailureLoggedAt time.Time
	// processes holds the current process of each engine.
	processes map[entity.TargetID]process

	mu      sync.Mutex
	pending map[entity.TargetID]pendingOrder

	stopping atomic.Bool
}

// New returns a placer, which does nothing until Run is called.
func New(options Options) *Placer {
	return &Placer{
		options: options, pending: make(map[entity.TargetID]pendingOrder), processes: make(map[entity.TargetID]process),
		lease: lease.New(lease.Options{
			Daemon: options.Daemon, Incarnation: rand.Uint64(), Duration: leaseDuration, Margin: leaseMargin,
			OrderDeadline: orderTimeout, RetryInterval: leaseReadInterval, ChangeID: uuid.NewString,
		}),
	}
}

// Stop makes the placer send no more orders and release its lease, so that another instance need not wait for the lease
// to expire.
func (p *Placer) Stop() { p.stopping.Store(true) }

// Run sends orders until ctx is done.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.step(ctx)
		}
	}
}

func (p *Placer) step(ctx context.Context) {
	now := boottime.Now()
	if p.options.Era != nil {
		p.lease.SetEra(now, p.options.Era())
	}
	if p.stopping.Load() || p.options.Isolated != nil && p.options.Isolated() {
		p.stepLease(ctx, now, false)
		return
	}
	var orders []placement.Order
	var targets map[entity.TargetID]fleet.Target
	rank, candidate := p.options.Rank()
	if candidate {
		orders, targets = p.plan(now)
	}
	outstanding := p.expire(now)
	want := outstanding || p.due(now, len(orders) > 0, rank)
	p.stepLease(ctx, now, want)
	if len(orders) == 0 {
		return
	}
	fencing, left, held := p.lease.Holds(boottime.Now())
	if !held {
		return
	}
	p.lease.Progressed(now)
	p.sendOrders(ctx, orders, targets, fencing, left)
}

// due reports whether orders have been needed for at least the delay of this instance's rank.
func (p *Placer) due(now time.Time, need bool, rank int) bool {
	if !need {
		p.neededSince = time.Time{}
		return false
	}
	if p.neededSince.IsZero() {
		p.neededSince = now
		p.delay = time.Duration(rank) * rankDelay
	}
	return now.Sub(p.neededSince) >= p.delay
}

// plan returns the orders that are needed, and the engines by id.
func (p *Placer) plan(now time.Time) ([]placement.Order, map[entity.TargetID]fleet.Target) {
	configuration := p.options.View.Configuration()
	if configuration == nil {
		return nil, nil
	}
	holders := make(map[entity.ServiceID][]placement.Holder)
	targets := make(map[entity.TargetID]fleet.Target)
	p.options.View.WithFleet(func(f *fleet.Fleet) {
		lost := f.LostTargets(now)
		for id, state := range f.All {
			service := configuration.Services[state.Service]
			if service == nil || service.Engine == nil {
				continue
			}
			holders[service.ID] = append(holders[service.ID], p.holder(now, f, state, lost[id]))
			targets[id] = state.Target
		}
	})
	maps.DeleteFunc(p.processes, func(id entity.TargetID, _ process) bool { return targets[id].ID == "" })
	if !p.settled(now, holders) {
		return nil, nil
	}
	var orders []placement.Order
	for id, service := range configuration.Services {
		if service.Engine != nil {
			orders = append(orders, p.planService(now, service, holders[id])...)
		}
	}
	return orders, targets
}

// planService returns the orders for the engines of one service. A plan that panics yields none: it is computed from entries that any
// writer may have written, and a panic would end the processes of all instances that plan, again after each start.
func (p *Placer) planService(now time.Time, service *routing.Service, holders []placement.Holder) (orders []placement.Order) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		orders = nil
		if now.Sub(p.planFailureLoggedAt) >= planFailureLogInterval {
			p.planFailureLoggedAt = now
			log.Event("placement not planned", "service", service.ID, "engines", len(holders), "panic", fmt.Sprint(cause),
				"stack", string(debug.Stack()))
		}
	}()
	return placement.Plan(service.Engine, holders)
}

// holder describes an engine for the plan, including its pending order. It drops that order once the engine's entry
// confirms it.
func (p *Placer) holder(now time.Time, f *fleet.Fleet, state *fleet.State, lost bool) placement.Holder {
	_, cache := f.Load(now, state)
	holder := placement.Holder{
		ID: state.ID, Zone: state.Zone, Card: state.Card, Held: state.Layers, CacheInUse: cache,
		Fixed: state.Changing || !state.Usable(now) || state.BacksOff(now),
		Lost:  lost, New: p.isNew(now, state),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	order, ordered := p.pending[state.ID]
	switch {
	case !ordered || order.born != state.Born:
	case order.untracked:
		holder.Fixed, holder.OrderUnknown = true, state.Layers == order.listed
	case order.failed:
		holder.Fixed = true
	case order.withheld:
		holder.CacheInUse = max(holder.CacheInUse, order.cacheInUse)
	case state.Layers == order.layers && !state.Changing:
		delete(p.pending, state.ID)
	default:
		holder.Held, holder.Fixed = order.layers, true
	}
	return holder
}

// isNew reports whether an engine has just joined or started.
func (p *Placer) isNew(now time.Time, state *fleet.State) bool {
	current, known := p.processes[state.ID]
	if !known || current.born != state.Born {
		current = process{born: state.Born, firstSeen: now}
		p.processes[state.ID] = current
	}
	return now.Sub(current.firstSeen) < newEnginePeriod
}

// settled reports whether enough time has passed since the list of engines last grew to make a plan.
func (p *Placer) settled(now time.Time, holders map[entity.ServiceID][]placement.Holder) bool {
	engines, wait := 0, initialSettleTime
	for _, group := range holders {
		engines += len(group)
		if slices.ContainsFunc(group, func(h placement.Holder) bool { return h.Held.Len() > 0 }) {
			wait = settleTime
		}
	}
	if engines > p.engineCount {
		p.grownAt = now
		if p.firstEngineAt.IsZero() {
			p.firstEngineAt = now
		}
	}
	p.engineCount = engines
	if engines == 0 {
		return false
	}
	return now.Sub(p.grownAt) >= wait || now.Sub(p.firstEngineAt) >= maxSettleTime
}

// expire drops the orders that were not confirmed in time. It reports whether any order of this instance still waits
// for confirmation.
func (p *Placer) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	outstanding := false
	for id, order := range p.pending {
		if now.After(order.expiresAt) {
			delete(p.pending, id)
			if order.sent() {
				log.Event("order did not show", "target", id, "from", order.layers.From, "to", order.layers.To)
			}
			continue
		}
		outstanding = outstanding || order.sent()
	}
	return outstanding
}

// stepLease advances the lease by at most two actions, for a read followed by a write.
func (p *Placer) stepLease(ctx context.Context, now time.Time, want bool) {
	_, _, heldBefore := p.lease.Holds(now)
	for range 2 {
		action := p.lease.Step(boottime.Now(), want)
		if action == nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		event := leasestore.Perform(callCtx, p.options.Table, leaseKey, action)
		cancel()
		p.lease.Handle(boottime.Now(), event)
	}
	fencing, _, heldAfter := p.lease.Holds(boottime.Now())
	if heldBefore != heldAfter {
		log.Event("lease changed", "held", heldAfter, "fencing", fencing, "wanted", want)
	}
}
