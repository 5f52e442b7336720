// Package placement decides which layers of a model each engine holds.
//
// Engines are planned in groups that each hold the whole model: a zone of its own where its cards suffice, since
// activations between zones share one narrow pipe, else several zones together. Engines that hold layers keep them as
// long as their group is covered, because a changed range has to be loaded again. The package is pure.
package placement

import (
	"cmp"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

const (
	// spareShare is the part of a group's layers that are held twice, in proportion to the model. They serve requests
	// and replace engines that are lost.
	replicaShare = 0.3
	// minTokens is the least KV cache, in tokens for each layer, that an engine keeps room for.
	minCacheTokens = 6000.0
	// maxTokens bounds the room that a plan keeps free; above it more layers held twice are worth more.
	maxCacheTokens = 90000.0
	// tokenStep is the accuracy to which a plan finds the largest room.
	cacheTokenStep = 1000.0
)

// Holder is an engine as the planner sees it.
type Holder struct {
	ID   entity.TargetID
	Zone entity.ZoneID
	Card string
	// Held is what the engine holds, or will hold once an order that is under way is done.
	Held entity.LayerRange
	// Fixed engines get no order: they are leaving, suspected, or an order is under way.
	Fixed bool
	// Fresh engines have just come. They take the layers of a gap, but no second copy yet: where engines are replaced one by
	// one, the old one leaves soon after the new one has come.
	New bool
	// Lost engines do not count as holding anything.
	Lost bool
	// Unknown says that the engine carries out an order whose range is not known. It may cover a gap soon, so no engine that
	// serves is taken out of service meanwhile.
	OrderUnknown bool
}

// Order tells an engine to hold a range.
type Order struct {
	Target entity.TargetID
	Layers entity.LayerRange
	// Reason is a short text for the logs.
	Reason string
}

// Plan returns the orders that complete the groups of holders, most urgent first.
func Plan(engine *routing.Engine, holders []Holder) []Order {
	var orders []Order
	holdersInDeployment := make([]int, engine.Layers)
	for _, holder := range holders {
		if !holder.Lost {
			addHolders(holdersInDeployment, holder.Held, 1)
		}
	}
	for _, group := range groups(engine, holders) {
		planner := newPlanner(engine, group)
		planner.holdersInDeployment = holdersInDeployment
		orders = append(orders, planner.plan()...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(priority(a), priority(b)) })
	return orders
}

func priority(o Order) int {
	if o.Reason == reasonReplica {
		return 1
	}
	return 0
}

// The reasons of orders.
const (
	reasonInitial = "first placement"
	reasonGap     = "no engine of the group holds the layers"
	reasonExtend  = "no engine of the group holds the layers, its neighbour has room"
	reasonRebuild = "no engine of the deployment can take the layers beside its own"
	reasonReplica = "second holder"
)

// groups splits holders into sets that can each hold the whole model, by zone where possible.
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

// capacity returns how many layers holders hold with room for tokens tokens in each layer.
func capacity(engine *routing.Engine, holders []Holder, tokens float64) int {
	total := 0
	for _, holder := range holders {
		if !holder.Lost {
			total += engine.MaxLayers(engine.Cards[holder.Card], tokens)
		}
	}
	return total
}

// planner plans one group.
type planner struct {
	engine *routing.Engine
	// holders are sorted by the time that they need for a layer, fastest first.
	holders []Holder
	// tokens is the room for the KV cache that the plan keeps on each engine.
	cacheTokens float64
	// cover counts the holders of each layer in the group, anywhere those in the whole deployment.
	holdersInGroup      []int
	holdersInDeployment []int
	// uncertain says that the range of an engine of the group is not known.
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
	for tokens := minCacheTokens; tokens <= maxCacheTokens && capacity(engine, p.holders, tokens) >= wantedLayers; tokens += cacheTokenStep {
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

// layerTime compares the speed of cards by the time of a usual request.
func (p *planner) requestTime(card string) float64 {
	performance := p.engine.Cards[card]
	decodeTime := p.engine.UsualAnswer * float64(p.engine.DecodeTime(performance, p.engine.Layers, 1))
	return decodeTime + float64(p.engine.PrefillTime(performance, p.engine.Layers, p.engine.UsualPrompt))
}

func (p *planner) plan() []Order {
	initial := p.holdsNothing()
	if initial {
		p.placeInitial()
	} else {
		p.fillGaps()
	}
	p.placeReplicas(initial)
	return p.orders
}

func (p *planner) holdsNothing() bool {
	return !slices.ContainsFunc(p.holdersInGroup, func(n int) bool { return n > 0 })
}

// placeAll covers the model with the fastest engines.
func (p *planner) placeInitial() {
	next := 0
	for i := range p.holders {
		if next >= p.engine.Layers {
			return
		}
		if !p.idle(i) {
			continue
		}
		end := min(p.engine.Layers, next+p.maxLayers(i))
		p.addOrder(i, entity.LayerRange{From: next, To: end}, reasonInitial)
		next = end
	}
}

// fillGaps covers the layers that no engine holds: by empty engines first, then by engines whose layers others hold too,
// then by engines beside the gap that have room for more. Other groups serve the layers that cannot be covered so. Layers
// that no group holds are covered at the cost of the room for the KV cache, and at last by placing the group anew.
func (p *planner) fillGaps() {
	for gap := p.firstGap(); gap.Len() > 0; gap = p.firstGap() {
		if p.fill(gap) {
			continue
		}
		if p.orderUnknown {
			return
		}
		if p.extend(gap) {
			continue
		}
		if !p.missingAnywhere() {
			return
		}
		if p.cacheTokens == minCacheTokens {
			p.rebuild()
			return
		}
		p.cacheTokens = minCacheTokens
	}
}

// fill has an empty or redundant engine take the first layers of a gap.
func (p *planner) fill(gap entity.LayerRange) bool {
	i := p.bestFor(gap.Len())
	if i < 0 {
		return false
	}
	p.addOrder(i, entity.LayerRange{From: gap.From, To: min(gap.To, gap.From+p.maxLayers(i))}, reasonGap)
	return true
}

// extend has an engine that holds the layers beside a gap take some of the gap too.
func (p *planner) extend(gap entity.LayerRange) bool {
	for i, holder := range p.holders {
		room := min(p.maxLayers(i)-holder.Held.Len(), gap.Len())
		if holder.Fixed || holder.Lost || room <= 0 {
			continue
		}
		switch {
		case holder.Held.To == gap.From:
			p.addOrder(i, entity.LayerRange{From: holder.Held.From, To: gap.From + room}, reasonExtend)
			return true
		case holder.Held.From == gap.To:
			p.addOrder(i, entity.LayerRange{From: gap.To - room, To: holder.Held.To}, reasonExtend)
			return true
		}
	}
	return false
}

// missingAnywhere says whether a layer that this group lacks has no holder in another one either.
func (p *planner) missingAnywhere() bool {
	for layer, holders := range p.holdersInGroup {
		if holders == 0 && p.holdersInDeployment[layer] == 0 {
			return true
		}
	}
	return false
}

// rebuild places the whole model on the engines that can take orders, whatever they hold, if they have room for it.
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

// bestFor returns the engine to cover a gap of n layers, or -1. Empty engines go first; among equals the smallest that
// covers the gap, else the largest.
func (p *planner) bestFor(n int) int {
	best := -1
	for i := range p.holders {
		if !p.idle(i) && !p.redundant(i) {
			continue
		}
		if best < 0 || p.better(i, best, n) {
			best = i
		}
	}
	return best
}

func (p *planner) better(i, j, n int) bool {
	if p.idle(i) != p.idle(j) {
		return p.idle(i)
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

// placeSpares gives empty engines the layers with the fewest holders; fresh ones only if withFresh is set.
func (p *planner) placeReplicas(withNew bool) {
	if slices.Contains(p.holdersInGroup, 0) {
		return
	}
	for i := range p.holders {
		if !p.idle(i) || p.holders[i].New && !withNew {
			continue
		}
		n := p.maxLayers(i)
		from := p.leastCovered(n)
		p.addOrder(i, entity.LayerRange{From: from, To: from + n}, reasonReplica)
	}
}

// leastCovered returns the start of the n layers with the fewest holders.
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

func (p *planner) firstGap() entity.LayerRange {
	from := slices.Index(p.holdersInGroup, 0)
	if from < 0 {
		return entity.LayerRange{}
	}
	to := from
	for to < len(p.holdersInGroup) && p.holdersInGroup[to] == 0 {
		to++
	}
	return entity.LayerRange{From: from, To: to}
}

// most returns how many layers an engine may hold in this plan.
func (p *planner) maxLayers(i int) int {
	return p.engine.MaxLayers(p.engine.Cards[p.holders[i].Card], p.cacheTokens)
}

// free says whether an engine holds nothing and can take an order.
func (p *planner) idle(i int) bool {
	holder := p.holders[i]
	return !holder.Fixed && !holder.Lost && holder.Held.Len() == 0 && p.maxLayers(i) > 0
}

// redundant says whether all layers of an engine that can take an order are held by another one too.
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

func (p *planner) addOrder(i int, layers entity.LayerRange, reason string) {
	addHolders(p.holdersInGroup, p.holders[i].Held, -1)
	addHolders(p.holdersInGroup, layers, 1)
	p.holders[i].Held = layers
	p.holders[i].Fixed = true
	p.orders = append(p.orders, Order{Target: p.holders[i].ID, Layers: layers, Reason: reason})
}

// count adds by to the holders of layers.
func addHolders(holders []int, layers entity.LayerRange, delta int) {
	for layer := max(0, layers.From); layer < min(layers.To, len(holders)); layer++ {
		holders[layer] += delta
	}
}
