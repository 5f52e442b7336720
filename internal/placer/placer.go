// Package placer has engines load layers where the plan of core/placement differs from what they hold.
//
// One instance at a time gives orders, under a lease in the store. The lease is taken only while there is something to
// do, so an undisturbed deployment needs no calls.
package placer

import (
	"context"
	"maps"
	"math/rand/v2"
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
	// settleTime is how long the list of engines must not have grown before a plan is made: engines that start together
	// are planned together.
	settleTime = 500 * time.Millisecond
	// firstSettleTime is that time while no engine holds anything. Engines enter themselves with a heartbeat, so those that
	// start together are listed over more than a second, with pauses.
	initialSettleTime = 1500 * time.Millisecond
	// maxSettleTime bounds that wait from the first engine on.
	maxSettleTime = 4 * time.Second
	// leaseDuration is how long the instances wait for a lost holder, leaseMargin how long before the end of its lease
	// the holder stops giving orders.
	leaseDuration = 2 * time.Second
	leaseMargin   = 400 * time.Millisecond
	// orderTimeout bounds one order or report.
	orderTimeout = 500 * time.Millisecond
	// leaseReadInterval is how often another instance's lease is read.
	leaseReadInterval = 500 * time.Millisecond
	// rankDelay is the pause of an instance for each one that should act before it, and maxRankDelay bounds it, so that
	// mostly one instance calls the store for a need that all see.
	rankDelay    = 300 * time.Millisecond
	maxRankDelay = 2 * time.Second
	// minLoadTime is the least time after which an order that does not show is given up; the expected time to load is
	// multiplied by loadPatience.
	minConfirmTimeout = 3 * time.Second
	loadTimeFactor    = 3
	// leavePatience is added for an engine that gives up layers: it first waits for the streams that pass through them.
	drainAllowance = 10 * time.Second
	// failurePause is the time for which an engine that refused or failed an order gets no other.
	failureDelay = time.Second
	storeTimeout = time.Second
	// freshTime is how long a new engine waits for the layers of one that it may replace.
	newEnginePeriod = 1500 * time.Millisecond

	// leaseKey is the row of the lease over all placements.
	leaseKey = "placement"
)

// Outcome is the result of an order.
type Outcome int

// The outcomes. An Unknown order may be carried out later.
const (
	Unknown Outcome = iota
	Begun
	Done
	Refused
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "done", "refused"}[o]
}

// Engines reads reports of engines and gives orders.
type Engines interface {
	Report(ctx context.Context, target fleet.Target) (fleet.Report, error)
	// Place orders an engine to hold layers. fencing is the fencing number of the lease; the engine refuses the order
	// unless it has begun the given number of orders. The error gives the reason of outcomes other than Begun and Done.
	Place(ctx context.Context, target fleet.Target, layers entity.LayerRange, fencing uint64, orders int64) (Outcome, error)
}

// View gives what the instance knows. Its methods are safe for concurrent use.
type View interface {
	Configuration() *routing.Configuration
	WithFleet(func(*fleet.Fleet))
}

// Options configures a Placer.
type Options struct {
	Daemon  entity.DaemonID
	View    View
	Engines Engines
	Table   platform.Table
	// Rank returns the number of instances that should act before this one.
	Rank func() int
	// OrderGiven, if set, is told of each order.
	OrderGiven func(outcome Outcome)
}

var log = logging.For("placer")

// pending is an order that does not show in the engine's entry yet.
type pendingOrder struct {
	layers    entity.LayerRange
	expiresAt time.Time
	failed    bool
	born      int64
	// foreign says that the engine carries out an order of another instance, with an unknown range. listed is the range in
	// its entry at that time.
	foreign bool
	listed  entity.LayerRange
}

// sighting is when a process of an engine was first seen.
type process struct {
	born      int64
	firstSeen time.Time
}

// Placer gives orders to engines.
type Placer struct {
	options Options
	lease   *lease.Lease

	// needed is when the current need of orders was first seen; delay is this instance's pause before it acts.
	neededSince time.Time
	delay       time.Duration
	// engines is the number of engines last seen, grown when it last grew, first when the first one was seen.
	engineCount            int
	grownAt, firstEngineAt time.Time
	// seen holds when each engine's present process was first seen.
	processes map[entity.TargetID]process

	mu      sync.Mutex
	pending map[entity.TargetID]pendingOrder

	stopping atomic.Bool
}

// New returns a placer; Run makes it work.
func New(options Options) *Placer {
	return &Placer{
		options: options, pending: make(map[entity.TargetID]pendingOrder), processes: make(map[entity.TargetID]process),
		lease: lease.New(lease.Options{
			Daemon: options.Daemon, Incarnation: rand.Uint64(), Duration: leaseDuration, Margin: leaseMargin,
			OrderDeadline: orderTimeout, RetryInterval: leaseReadInterval, ChangeID: uuid.NewString,
		}),
	}
}

// Stop makes the placer give no more orders and release its lease, so that another instance need not wait for its end.
func (p *Placer) Stop() { p.stopping.Store(true) }

// Run gives orders until ctx ends.
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
	if p.stopping.Load() {
		p.stepLease(ctx, now, false)
		return
	}
	orders, targets := p.plan(now)
	outstanding := p.expire(now)
	want := outstanding || p.due(now, len(orders) > 0)
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

// due says whether a need of orders has lasted for this instance's delay.
func (p *Placer) due(now time.Time, need bool) bool {
	if !need {
		p.neededSince = time.Time{}
		return false
	}
	if p.neededSince.IsZero() {
		p.neededSince = now
		p.delay = min(maxRankDelay, time.Duration(p.options.Rank())*rankDelay)
	}
	return now.Sub(p.neededSince) >= p.delay
}

// plan returns the orders that are missing and the engines.
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
			holders[service.ID] = append(holders[service.ID], p.holder(now, state, lost[id]))
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
			orders = append(orders, placement.Plan(service.Engine, holders[id])...)
		}
	}
	return orders, targets
}

func (p *Placer) holder(now time.Time, state *fleet.State, lost bool) placement.Holder {
	holder := placement.Holder{
		ID: state.ID, Zone: state.Zone, Card: state.Card, Held: state.Layers,
		Fixed: state.Changing || !state.Usable(now),
		Lost:  lost, New: p.isNew(now, state),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	order, ordered := p.pending[state.ID]
	switch {
	case !ordered || order.born != state.Born:
	case order.foreign:
		holder.Fixed, holder.OrderUnknown = true, state.Layers == order.listed
	case order.failed:
		holder.Fixed = true
	case state.Layers == order.layers && !state.Changing:
		delete(p.pending, state.ID)
	default:
		holder.Held, holder.Fixed = order.layers, true
	}
	return holder
}

// fresh says whether an engine has just come or started.
func (p *Placer) isNew(now time.Time, state *fleet.State) bool {
	current, known := p.processes[state.ID]
	if !known || current.born != state.Born {
		current = process{born: state.Born, firstSeen: now}
		p.processes[state.ID] = current
	}
	return now.Sub(current.firstSeen) < newEnginePeriod
}

// settled says whether the list of engines has not grown for long enough to make a plan.
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

// expire drops orders that did not show in time and says whether any are left.
func (p *Placer) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	outstanding := false
	for id, order := range p.pending {
		if now.After(order.expiresAt) {
			delete(p.pending, id)
			if !order.failed && !order.foreign {
				log.Event("order did not show", "target", id, "from", order.layers.From, "to", order.layers.To)
			}
			continue
		}
		outstanding = outstanding || !order.failed && !order.foreign
	}
	return outstanding
}

// stepLease moves the lease on by at most a read and a write.
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

// give gives the orders at once; engines load at the same time.
func (p *Placer) sendOrders(ctx context.Context, orders []placement.Order, targets map[entity.TargetID]fleet.Target,
	fencing uint64, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	p.lease.OrderBegun(boottime.Now().Add(left))
	var running sync.WaitGroup
	for _, order := range orders {
		running.Go(func() { p.sendOrder(ctx, order, targets[order.Target], fencing) })
	}
	running.Wait()
	p.lease.OrderEnded()
}

func (p *Placer) sendOrder(ctx context.Context, order placement.Order, target fleet.Target, fencing uint64) {
	report, err := p.options.Engines.Report(ctx, target)
	if err != nil {
		p.recordPending(target, pendingOrder{layers: order.Layers, failed: true, expiresAt: boottime.Now().Add(failureDelay)})
		log.Event("no report before an order", "target", target.ID, "error", err.Error())
		return
	}
	if report.Changing || report.Layers != target.Layers {
		// The entry of the engine is behind what it does.
		result := pendingOrder{layers: order.Layers, failed: true, expiresAt: boottime.Now().Add(failureDelay)}
		if report.Changing {
			result = pendingOrder{foreign: true, listed: target.Layers, expiresAt: boottime.Now().Add(p.confirmTimeout(target, order.Layers, true))}
		}
		p.recordPending(target, result)
		log.Event("entry of engine is stale", "target", target.ID, "changing", report.Changing,
			"holds", report.Layers, "listed", target.Layers)
		return
	}
	outcome, err := p.options.Engines.Place(ctx, target, order.Layers, fencing, report.Orders)
	result := pendingOrder{layers: order.Layers, expiresAt: boottime.Now().Add(p.confirmTimeout(target, order.Layers, outcome == Begun))}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if outcome == Refused {
		result.failed, result.expiresAt = true, boottime.Now().Add(failureDelay)
	}
	p.recordPending(target, result)
	if p.options.OrderGiven != nil {
		p.options.OrderGiven(outcome)
	}
	log.Event("order given", "target", target.ID, "card", target.Card, "from", order.Layers.From, "to", order.Layers.To,
		"reason", order.Reason, "fencing", fencing, "orders", report.Orders, "outcome", outcome.String(), "error", reason)
}

func (p *Placer) recordPending(target fleet.Target, order pendingOrder) {
	order.born = target.Born
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[target.ID] = order
}

// patience returns how long an order may take to show in the engine's entry; begun says that the engine carries it out.
func (p *Placer) confirmTimeout(target fleet.Target, layers entity.LayerRange, begun bool) time.Duration {
	expected := time.Duration(0)
	if c := p.options.View.Configuration(); c != nil && c.Services[target.Service] != nil {
		if engine := c.Services[target.Service].Engine; engine != nil {
			expected = engine.LoadTime * time.Duration(layers.Len()) / time.Duration(max(1, engine.Layers))
		}
	}
	timeout := max(minConfirmTimeout, loadTimeFactor*expected)
	if begun && target.Layers.Len() > 0 {
		timeout += drainAllowance
	}
	return timeout
}
