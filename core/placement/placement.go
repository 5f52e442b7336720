// Package placement decides which layers of a model each engine holds.
//
// Engines are planned in groups that each hold the whole model. A zone is a group of its own if its cards have enough
// memory, since activations between zones share a link of low bandwidth; the other zones are grouped together. Engines
// keep their layers as long as their group holds the whole model, because a changed range has to be loaded again. The
// package does no I/O and keeps no state.
package placement

import (
	"cmp"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

const (
	// replicaShare is the number of layers that a group should hold a second time, as a share of the model's layers.
	// The replicas serve requests and replace lost engines.
	replicaShare = 0.3
	// minCacheTokens is the smallest KV cache, in tokens per layer, that each engine keeps room for.
	minCacheTokens = 6000.0
	// maxCacheTokens is the largest KV cache that a plan keeps room for; beyond it, more replicas are of greater use.
	maxCacheTokens = 90000.0
	// requestReserve is the KV cache that a plan keeps room for on an engine that serves requests, as a multiple of what
	// these need: the other instances start further ones before the order arrives, and answers may be longer than expected.
	requestReserve = 1.25
	// cacheTokenStep is the step of the search for the largest KV cache.
	cacheTokenStep = 1000.0
)

// Holder describes an engine that holds, or can hold, layers of a model.
type Holder struct {
	ID   entity.TargetID
	Zone entity.ZoneID
	// Card is the accelerator type of the engine.
	Card string
	// Held is the range that the engine holds, or will hold once its current order is done.
	Held entity.LayerRange
	// CacheInUse is the KV cache that the requests in progress on the engine need, in tokens times layers.
	CacheInUse float64
	// Fixed engines get no order, because they are draining, suspected or already carrying out an order.
	Fixed bool
	// New engines have just joined or started. They take uncovered layers but no replicas yet: during a rolling
	// replacement the old engine leaves soon after the new one joins.
	New bool
	// Lost engines are treated as holding no layers.
	Lost bool
	// OrderUnknown reports whether the engine is carrying out an order whose range is not known. It may soon cover a
	// gap, so no serving engine is taken out of service meanwhile.
	OrderUnknown bool
}

// Order tells an engine to hold a range of layers.
type Order struct {
	Target entity.TargetID
	Layers entity.LayerRange
	// Reason is a short text for the logs.
	Reason string
	// MayCutRequests reports whether the order is to be carried out even if the requests in progress on the engine no
	// longer fit beside the layers. They would stall anyway, since no engine of the deployment holds some layers.
	MayCutRequests bool
}

// Plan returns the orders needed for each group of holders to hold the whole model and replicas of some of its layers,
// most urgent first. Layers of holders that the model does not have are left out.
func Plan(engine *routing.Engine, holders []Holder) []Order {
	holders = slices.Clone(holders)
	for i := range holders {
		holders[i].Held = layersOfModel(engine, holders[i].Held)
	}
	holdersInDeployment := make([]int, engine.Layers)
	for _, holder := range holders {
		if !holder.Lost {
			addHolders(holdersInDeployment, holder.Held, 1)
		}
	}
	var planners []*planner
	for _, group := range groups(engine, holders) {
		planner := newPlanner(engine, group)
		planner.holdersInDeployment = holdersInDeployment
		planner.place()
		planners = append(planners, planner)
	}
	for _, remedy := range remedies {
		for _, planner := range planners {
			planner.apply(remedy)
		}
	}
	var orders []Order
	for _, planner := range planners {
		planner.placeReplicas(planner.initial)
		orders = append(orders, planner.orders...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(priority(a), priority(b)) })
	return orders
}

// layersOfModel returns the part of a range that the model has. The ranges come from the list of engines, which other writers than
// engines write too.
func layersOfModel(engine *routing.Engine, held entity.LayerRange) entity.LayerRange {
	from, to := max(0, held.From), min(held.To, engine.Layers)
	if to <= from {
		return entity.LayerRange{}
	}
	return entity.LayerRange{From: from, To: to}
}

// priority returns the rank of an order; lower ranks are more urgent.
func priority(o Order) int {
	if o.Reason == reasonReplica {
		return 1
	}
	return 0
}

// Reasons for orders, as they appear in the logs.
const (
	reasonInitial = "first placement"
	reasonGap     = "no engine of the group holds the layers"
	reasonExtend  = "no engine of the group holds the layers, an engine with the adjacent layers has room"
	reasonRebuild = "no engine of the deployment can take the layers beside its own"
	reasonReplica = "additional replica"
)

// groups splits holders into groups that can each hold the whole model, by zone where possible. Zones that lack the
// capacity even together join the first group, or form the only one.
func groups(engine *routing.Engine, holders []Holder) [][]Holder {
	byZone := make(map[entity.ZoneID][]Holder)
	var zones []entity.ZoneID
	for _, holder := range holders {
		if _, known := engine.Cards[holder.Card]; !known {
			continue
		}
		if _, seen := byZone[holder.Zone]; !seen {
			zones = append(zones, holder.Zone)
		}
		byZone[holder.Zone] = append(byZone[holder.Zone], holder)
	}
	slices.Sort(zones)
	var complete [][]Holder
	var remaining []Holder
	for _, zone := range zones {
		if capacity(engine, byZone[zone], minCacheTokens) >= engine.Layers {
			complete = append(complete, byZone[zone])
			continue
		}
		remaining = append(remaining, byZone[zone]...)
	}
	switch {
	case len(remaining) == 0:
	case len(complete) == 0 || capacity(engine, remaining, minCacheTokens) >= engine.Layers:
		complete = append(complete, remaining)
	default:
		complete[0] = append(complete[0], remaining...)
	}
	return complete
}

// capacity returns how many layers the holders that are not lost can hold if each keeps room for a KV cache of the given
// number of tokens per layer.
func capacity(engine *routing.Engine, holders []Holder, tokens float64) int {
	total := 0
	for _, holder := range holders {
		if !holder.Lost {
			total += engine.MaxLayers(engine.Cards[holder.Card], tokens)
		}
	}
	return total
}

// planner computes the orders for one group.
type planner struct {
	engine *routing.Engine
	// holders are sorted by request time, fastest first.
	holders []Holder
	// cacheTokens is the KV cache, in tokens per layer, that the plan keeps room for on each engine.
	cacheTokens float64
	// holdersInGroup and holdersInDeployment are the numbers of holders of each layer. The planners of all groups share
	// the latter.
	holdersInGroup      []int
	holdersInDeployment []int
	// mayCutRequests reports whether the requests in progress need no room.
	mayCutRequests bool
	// initial reports whether no engine of the group held layers.
	initial bool
	// orderUnknown reports whether an engine of the group is carrying out an order whose range is not known.
	orderUnknown bool
	orders       []Order
}

func newPlanner(engine *routing.Engine, group []Holder) *planner {
	p := &planner{engine: engine, holders: slices.Clone(group), holdersInGroup: make([]int, engine.Layers)}
	slices.SortStableFunc(p.holders, func(a, b Holder) int {
		byTime := cmp.Compare(p.requestTime(a.Card), p.requestTime(b.Card))
		return cmp.Or(byTime, cmp.Compare(a.ID, b.ID))
	})
	p.cacheTokens = minCacheTokens
	wantedLayers := int(float64(engine.Layers) * (1 + replicaShare))
	for tokens := minCacheTokens; tokens <= maxCacheTokens &&
		capacity(engine, p.holders, tokens) >= wantedLayers; tokens += cacheTokenStep {
		p.cacheTokens = tokens
	}
	for _, holder := range p.holders {
		if !holder.Lost {
			addHolders(p.holdersInGroup, holder.Held, 1)
		}
		p.orderUnknown = p.orderUnknown || holder.OrderUnknown
	}
	return p
}

// requestTime returns the time that a request of usual size takes on a card, as a measure of the card's speed.
func (p *planner) requestTime(card string) float64 {
	performance := p.engine.Cards[card]
	decodeTime := p.engine.UsualAnswer * float64(p.engine.DecodeTime(performance, p.engine.Layers, 1))
	return decodeTime + float64(p.engine.PrefillTime(performance, p.engine.Layers, p.engine.UsualPrompt))
}

// place assigns the layers without a holder in the group without disturbing the engines that serve requests.
func (p *planner) place() {
	p.initial = p.holdsNothing()
	if p.initial {
		p.placeInitial()
	} else {
		p.fillGaps()
	}
}

// holdsNothing reports whether no layer has a holder in the group.
func (p *planner) holdsNothing() bool {
	return !slices.ContainsFunc(p.holdersInGroup, func(n int) bool { return n > 0 })
}

// placeInitial assigns the layers of the model to the fastest engines.
func (p *planner) placeInitial() {
	next := 0
	for i := range p.holders {
		if next >= p.engine.Layers {
			return
		}
		if !p.empty(i) {
			continue
		}
		end := min(p.engine.Layers, next+p.maxLayers(i))
		p.addOrder(i, entity.LayerRange{From: next, To: end}, reasonInitial)
		next = end
	}
}

// rebuild places the whole model again on the engines of the group that are not lost, regardless of the layers that
// they hold. It does nothing if one of them is fixed or if they lack room for the model.
func (p *planner) rebuild() {
	room := 0
	for i, holder := range p.holders {
		if holder.Fixed && !holder.Lost {
			return
		}
		if !holder.Lost {
			room += p.maxLayers(i)
		}
	}
	if room < p.engine.Layers {
		return
	}
	next := 0
	for i, holder := range p.holders {
		if holder.Lost || next >= p.engine.Layers {
			continue
		}
		layers := entity.LayerRange{From: next, To: min(p.engine.Layers, next+p.maxLayers(i))}
		next = layers.To
		if layers != holder.Held {
			p.addOrder(i, layers, reasonRebuild)
		}
	}
}

// bestFor returns the index of the engine to assign a gap of n layers to, or -1. Empty engines are preferred to
// redundant ones; among equals, the smallest that can hold the whole gap, or else the largest.
func (p *planner) bestFor(n int) int {
	best := -1
	for i := range p.holders {
		if !p.empty(i) && !p.redundant(i) {
			continue
		}
		if best < 0 || p.better(i, best, n) {
			best = i
		}
	}
	return best
}

// better reports whether engine i is preferred to engine j for a gap of n layers.
func (p *planner) better(i, j, n int) bool {
	if p.empty(i) != p.empty(j) {
		return p.empty(i)
	}
	a, b := p.maxLayers(i), p.maxLayers(j)
	if (a >= n) != (b >= n) {
		return a >= n
	}
	if a >= n {
		return a < b
	}
	return a > b
}

// placeReplicas assigns the layers with the fewest holders to empty engines, once the group holds the whole model. New
// engines are included only if withNew is set.
func (p *planner) placeReplicas(withNew bool) {
	if slices.Contains(p.holdersInGroup, 0) {
		return
	}
	for i := range p.holders {
		if !p.empty(i) || p.holders[i].New && !withNew {
			continue
		}
		n := p.maxLayers(i)
		from := p.leastCovered(n)
		p.addOrder(i, entity.LayerRange{From: from, To: from + n}, reasonReplica)
	}
}

// leastCovered returns the start of the range of n layers with the smallest sum of squared holder counts, which also
// evens out the counts.
func (p *planner) leastCovered(n int) int {
	best, bestSum := 0, -1
	for from := 0; from+n <= p.engine.Layers; from++ {
		sum := 0
		for _, holders := range p.holdersInGroup[from : from+n] {
			sum += holders * holders
		}
		if bestSum < 0 || sum < bestSum {
			best, bestSum = from, sum
		}
	}
	return best
}

// maxLayers returns how many layers engine i may hold in this plan. An engine that serves requests may hold more than now
// only if requests as many as now have room on each layer.
func (p *planner) maxLayers(i int) int {
	holder := p.holders[i]
	card := p.engine.Cards[holder.Card]
	most := p.engine.MaxLayers(card, p.cacheTokens)
	held := holder.Held.Len()
	if p.mayCutRequests || held == 0 {
		return most
	}
	requestTokens := requestReserve * holder.CacheInUse / float64(held)
	return min(most, max(held, p.engine.MaxLayers(card, requestTokens)))
}

// empty reports whether engine i holds no layers and can take an order.
func (p *planner) empty(i int) bool {
	holder := p.holders[i]
	return !holder.Fixed && !holder.Lost && holder.Held.Len() == 0 && p.maxLayers(i) > 0
}

// redundant reports whether engine i can take an order and other engines of the group hold all its layers too.
func (p *planner) redundant(i int) bool {
	holder := p.holders[i]
	if holder.Fixed || holder.Lost || p.maxLayers(i) == 0 || p.orderUnknown {
		return false
	}
	for layer := holder.Held.From; layer < holder.Held.To; layer++ {
		if p.holdersInGroup[layer] < 2 {
			return false
		}
	}
	return true
}

// addOrder adds an order for engine i and updates the plan as if the order were done.
func (p *planner) addOrder(i int, layers entity.LayerRange, reason string) {
	for _, counts := range [][]int{p.holdersInGroup, p.holdersInDeployment} {
		addHolders(counts, p.holders[i].Held, -1)
		addHolders(counts, layers, 1)
	}
	p.holders[i].Held = layers
	p.holders[i].Fixed = true
	p.orders = append(p.orders, Order{
		Target: p.holders[i].ID, Layers: layers, Reason: reason, MayCutRequests: p.mayCutRequests,
	})
}

// addHolders adds delta to the numbers of holders of layers.
func addHolders(holders []int, layers entity.LayerRange, delta int) {
	for layer := layers.From; layer < layers.To; layer++ {
		holders[layer] += delta
	}
}
