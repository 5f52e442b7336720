package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/placement"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// sendOrders sends the orders, many at the same time, so that the engines load together. Orders for which the time does
// not suffice are left to the next step.
func (p *Placer) sendOrders(ctx context.Context, orders []placement.Order, targets map[entity.TargetID]fleet.Target,
	fencing uint64, left time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	end := boottime.Now().Add(left)
	p.lease.OrderBegun(end)
	var running errgroup.Group
	running.SetLimit(maxConcurrentOrders)
	for _, order := range orders {
		running.Go(func() error {
			if end.Sub(boottime.Now()) >= minOrderTime {
				p.sendOrder(ctx, order, targets[order.Target], fencing)
			}
			return nil
		})
	}
	_ = running.Wait() // sendOrder records its errors itself
	p.lease.OrderEnded()
}

// sendOrder reads the engine's report and sends the order, unless the report contradicts the engine's entry or shows that
// the order would cut requests although it must not. An engine that asked to get no requests gets neither.
func (p *Placer) sendOrder(ctx context.Context, order placement.Order, target fleet.Target, fencing uint64) {
	if p.backsOff(target.ID) {
		return
	}
	report, err := p.options.Engines.Report(ctx, target)
	p.recordBackoff(target, err)
	if err != nil {
		p.recordPending(target, pendingOrder{layers: order.Layers, failed: true, expiresAt: boottime.Now().Add(failureDelay)})
		log.Event("no report before an order", "target", target.ID, "error", err.Error())
		return
	}
	if report.Changing || report.Layers != target.Layers {
		// The engine's entry is older than its report, so the order may be wrong.
		result := pendingOrder{layers: order.Layers, failed: true, expiresAt: boottime.Now().Add(failureDelay)}
		if report.Changing {
			result = pendingOrder{untracked: true, listed: target.Layers,
				expiresAt: boottime.Now().Add(p.confirmTimeout(target, order.Layers, true))}
		}
		p.recordPending(target, result)
		log.Event("entry of engine is stale", "target", target.ID, "changing", report.Changing,
			"holds", report.Layers, "listed", target.Layers)
		return
	}
	capacity := p.cacheCapacity(target, order.Layers)
	if !order.MayCutRequests && report.CacheInUse > capacity {
		p.recordPending(target, pendingOrder{withheld: true, cacheInUse: report.CacheInUse,
			expiresAt: boottime.Now().Add(withheldPeriod)})
		log.Event("order withheld", "target", target.ID, "card", target.Card, "from", order.Layers.From, "to", order.Layers.To,
			"reason", "the requests on the engine would not fit beside the layers", "cacheInUse", int64(report.CacheInUse),
			"cacheCapacity", int64(capacity))
		return
	}
	outcome, err := p.options.Engines.Place(ctx, target, order.Layers, fencing, report.Orders)
	p.recordBackoff(target, err)
	result := pendingOrder{layers: order.Layers,
		expiresAt: boottime.Now().Add(p.confirmTimeout(target, order.Layers, outcome == Begun))}
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
		"reason", order.Reason, "fencing", fencing, "orders", report.Orders, "outcome", outcome.String(), "error", reason,
		"cacheInUse", int64(report.CacheInUse), "cacheCapacity", int64(capacity))
}

// cacheCapacity returns the KV cache that fits on an engine beside the given layers, in tokens times layers.
func (p *Placer) cacheCapacity(target fleet.Target, layers entity.LayerRange) float64 {
	engine := p.engineOf(target)
	if engine == nil {
		return 0
	}
	return engine.CacheCapacity(engine.Cards[target.Card], layers.Len())
}

// engineOf returns the performance figures of the service of an engine, or nil if the configuration has none.
func (p *Placer) engineOf(target fleet.Target) *routing.Engine {
	configuration := p.options.View.Configuration()
	if configuration == nil || configuration.Services[target.Service] == nil {
		return nil
	}
	return configuration.Services[target.Service].Engine
}

func (p *Placer) recordPending(target fleet.Target, order pendingOrder) {
	order.born = target.Born
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[target.ID] = order
}

// confirmTimeout returns how long an order may take to appear in the engine's entry. begun reports whether the engine
// has begun to execute it.
func (p *Placer) confirmTimeout(target fleet.Target, layers entity.LayerRange, begun bool) time.Duration {
	expected := time.Duration(0)
	if engine := p.engineOf(target); engine != nil {
		expected = engine.LoadTime * time.Duration(layers.Len()) / time.Duration(max(1, engine.Layers))
	}
	timeout := max(minConfirmTimeout, loadTimeFactor*expected)
	if begun && target.Layers.Len() > 0 {
		timeout += drainAllowance
	}
	return timeout
}
