package placement

import "github.com/hyssophoist/hyssophoist/core/entity"

// remedy is a way to assign layers that no engine of the deployment holds.
type remedy int

// remedies lists the remedies in the order in which they are tried. Each is tried in all groups before the next one.
var remedies = [...]remedy{extendInPart, reduceCache, cutRequests, placeAgain}

const (
	// extendInPart extends the engines next to a gap even if they cannot close it.
	extendInPart remedy = iota
	// reduceCache reduces the room for the KV cache to the minimum.
	reduceCache
	// cutRequests keeps no room for the requests in progress.
	cutRequests
	// placeAgain places the whole group again.
	placeAgain
)

// fillGaps assigns the layers without a holder in the group: first to empty engines, then to engines whose layers
// others hold too, then to engines that hold the layers next to the gap and have room for the rest of it. Gaps that
// cannot be closed this way are left to other groups: a path has to leave the group even if a part of the gap is closed.
func (p *planner) fillGaps() {
	p.forEachGap(func(gap entity.LayerRange) bool {
		return p.fill(gap) || !p.orderUnknown && p.closeByExtension(gap)
	})
}

// apply tries a remedy if no engine of the deployment holds some layers.
func (p *planner) apply(remedy remedy) {
	if p.initial || p.orderUnknown || !p.missingAnywhere() {
		return
	}
	p.mayCutRequests = remedy >= cutRequests
	defer func() { p.mayCutRequests = false }()
	switch remedy {
	case reduceCache:
		p.cacheTokens = minCacheTokens
	case placeAgain:
		p.rebuild()
		return
	}
	p.forEachGap(func(gap entity.LayerRange) bool {
		missing := p.missingIn(gap)
		return missing.Len() > 0 && (p.fill(gap) || p.extend(gap, missing))
	})
}

// forEachGap calls assign with each range of layers without a holder in the group. assign reports whether it has
// assigned layers of the gap; it is then called with the rest of the gap.
func (p *planner) forEachGap(assign func(gap entity.LayerRange) bool) {
	from := 0
	for gap := p.nextGap(from); gap.Len() > 0; gap = p.nextGap(from) {
		if !assign(gap) {
			from = gap.To
		}
	}
}

// fill assigns the first layers of a gap to an empty or redundant engine and reports whether there is one.
func (p *planner) fill(gap entity.LayerRange) bool {
	i := p.bestFor(gap.Len())
	if i < 0 {
		return false
	}
	p.addOrder(i, entity.LayerRange{From: gap.From, To: min(gap.To, gap.From+p.maxLayers(i))}, reasonGap)
	return true
}

// closeByExtension assigns the layers of a gap to the engines that hold the adjacent ones, and reports whether they have
// room for all of them. One engine is preferred to two.
func (p *planner) closeByExtension(gap entity.LayerRange) bool {
	before, after := p.neighbours(gap)
	roomBefore, roomAfter := p.room(before), p.room(after)
	if roomBefore+roomAfter < gap.Len() {
		return false
	}
	split := gap.From
	if roomAfter < gap.Len() {
		split += min(roomBefore, gap.Len())
	}
	if split > gap.From {
		p.extendTo(before, split)
	}
	if split < gap.To {
		p.extendFrom(after, split)
	}
	return true
}

// extend assigns layers of a gap to an engine that holds the adjacent ones, up to the end of the missing layers, and
// reports whether one has room for some of these.
func (p *planner) extend(gap, missing entity.LayerRange) bool {
	before, after := p.neighbours(gap)
	if to := min(missing.To, gap.From+p.room(before)); to > missing.From {
		p.extendTo(before, to)
		return true
	}
	if from := max(missing.From, gap.To-p.room(after)); from < missing.To {
		p.extendFrom(after, from)
		return true
	}
	return false
}

// neighbours returns the indices of the engines with the most room that hold the layers before and after a gap, or -1.
func (p *planner) neighbours(gap entity.LayerRange) (before, after int) {
	before, after = -1, -1
	for i, holder := range p.holders {
		if holder.Fixed || holder.Lost || holder.Held.Len() == 0 {
			continue
		}
		if holder.Held.To == gap.From && p.room(i) > p.room(before) {
			before = i
		}
		if holder.Held.From == gap.To && p.room(i) > p.room(after) {
			after = i
		}
	}
	return before, after
}

// room returns how many more layers engine i may hold; 0 if i is -1.
func (p *planner) room(i int) int {
	if i < 0 {
		return 0
	}
	return max(0, p.maxLayers(i)-p.holders[i].Held.Len())
}

func (p *planner) extendTo(i, to int) {
	p.addOrder(i, entity.LayerRange{From: p.holders[i].Held.From, To: to}, reasonExtend)
}

func (p *planner) extendFrom(i, from int) {
	p.addOrder(i, entity.LayerRange{From: from, To: p.holders[i].Held.To}, reasonExtend)
}

// missingAnywhere reports whether a layer has no holder in the group or elsewhere in the deployment.
func (p *planner) missingAnywhere() bool {
	return p.missingIn(entity.LayerRange{To: p.engine.Layers}).Len() > 0
}

// missingIn returns the smallest range with all layers of a range that have no holder in the deployment.
func (p *planner) missingIn(layers entity.LayerRange) entity.LayerRange {
	missing := entity.LayerRange{}
	for layer := layers.From; layer < layers.To; layer++ {
		if p.holdersInDeployment[layer] > 0 {
			continue
		}
		if missing.Len() == 0 {
			missing.From = layer
		}
		missing.To = layer + 1
	}
	return missing
}

// nextGap returns the first range of layers from layer from on without a holder in the group, or an empty range.
func (p *planner) nextGap(from int) entity.LayerRange {
	for from < len(p.holdersInGroup) && p.holdersInGroup[from] > 0 {
		from++
	}
	to := from
	for to < len(p.holdersInGroup) && p.holdersInGroup[to] == 0 {
		to++
	}
	return entity.LayerRange{From: from, To: to}
}
