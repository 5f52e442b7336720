// Package shedding decides which generations are refused on arrival because their service is overloaded, the least urgent
// ones first.
//
// A service is overloaded if it gets more generations than its engines can begin within the latency objective. If all of them
// were admitted, they would delay each other and occupy engines for longer, so that the overload would outlast its cause by many
// seconds. The refused part of the load is derived from the part of KV cache in use and from the part of the load that is late.
// Each instance computes it from the counts of all instances, so that no coordination is needed.
//
// A Window counts the arrivals and late generations of one rank, a Controller derives from such counts which part of each rank is
// refused, and TimeLimits recognizes callers that were refused before. The package does no I/O and reads no clock; callers pass
// the time in.
package shedding

import "time"

const (
	// targetLateShare is the late part of the load up to which nothing more is refused. Single engines that fail or
	// restart make a few in a hundred late.
	targetLateShare = 0.12
	// riseGain and fallGain are the change of the refused part of the load per second for each unit by which the late part is
	// above or below targetLateShare. The rise is slow, since the use of KV cache shows an overload earlier, and after a restart
	// of many instances all first generations may be late: with half of the load late, another fifth of it is refused after a
	// second. The fall is fast, so that all are served again within about three seconds after an overload.
	riseGain = 0.5
	fallGain = 2.0
	// maxInterval bounds the time that one update accounts for, so that the refused part does not jump after the instance was
	// paused.
	maxInterval = 500 * time.Millisecond
	// maxShedShare is the largest part of a rank that is refused. No rank is starved, and the rest shows when there is
	// capacity again.
	maxShedShare = 0.8
	// The part that is refused grows with the part of KV cache in use from freeUtilization, where it is 0, to fullUtilization,
	// where it is maxFillExcess. Below freeUtilization engines admit nearly all generations. Above fullUtilization they reject some,
	// since instances know their load only as of a fraction of a second ago, and evict those with longer answers than expected.
	freeUtilization = 0.78
	fullUtilization = 0.97
	maxFillExcess   = 0.6
	// minOffered is the least number of generations in a window from which the late part is judged.
	minOffered = 8
)

// Controller determines which part of the generations of each rank of one service is refused. Rank 0 is the most urgent. The
// zero value refuses nothing.
type Controller struct {
	// excess is the part of the load that is to be refused, lateExcess that for late generations.
	excess, lateExcess float64
	updatedAt          time.Time
	// shed is the refused part of each rank.
	shed []float64
}

// Excess returns the part of the load that is to be refused.
func (c *Controller) Excess() float64 { return c.excess }

// Update adapts the refused part to the counts of all instances together, by rank, and to the part of the engines' KV cache
// that is in use at the fullest layer.
func (c *Controller) Update(now time.Time, ranks []Counts, utilization float64) {
	elapsed := min(maxInterval, now.Sub(c.updatedAt))
	c.updatedAt = now
	var all Counts
	for _, counts := range ranks {
		all = all.Add(counts)
	}
	late := 0.0
	if all.Offered >= minOffered {
		late = min(1, float64(all.Late)/float64(all.Offered)) // a generation counts as late some time after it was offered
	}
	gain := riseGain
	if late < targetLateShare {
		gain = fallGain
	}
	c.lateExcess = max(0, c.lateExcess+gain*(late-targetLateShare)*elapsed.Seconds())
	c.excess = max(c.lateExcess, maxFillExcess*(utilization-freeUtilization)/(fullUtilization-freeUtilization))
	c.distribute(ranks, all.Offered)
	c.lateExcess = min(c.lateExcess, c.excess) // does not accumulate what the ranks cannot give up
}

// distribute spreads the excess over the ranks, beginning with the least urgent one. The most urgent rank that has load
// is served, and the excess is limited to what the others can give up. A rank without load has the share of the next more urgent
// one: otherwise a returning caller, who gets the share of such a rank, could be served more often than callers of a still more
// urgent rank.
func (c *Controller) distribute(ranks []Counts, offered int) {
	c.shed = make([]float64, len(ranks))
	left, usable := max(0, c.excess)*float64(offered), 0.0
	for rank := len(ranks) - 1; rank > 0; rank-- {
		if offered == 0 || ranks[rank].Offered == 0 || !hasLoad(ranks[:rank]) {
			continue
		}
		available := maxShedShare * float64(ranks[rank].Offered)
		usable += available
		taken := min(left, available)
		left -= taken
		c.shed[rank] = taken / float64(ranks[rank].Offered)
	}
	for rank := 1; rank < len(ranks); rank++ {
		if ranks[rank].Offered == 0 {
			c.shed[rank] = c.shed[rank-1]
		}
	}
	if offered > 0 {
		c.excess = min(c.excess, usable/float64(offered))
	}
	c.excess = max(0, c.excess)
}

func hasLoad(ranks []Counts) bool {
	for _, counts := range ranks {
		if counts.Offered > 0 {
			return true
		}
	}
	return false
}

// ShedShare returns the part of the generations of a rank that is refused.
func (c *Controller) ShedShare(rank int) float64 {
	if rank >= len(c.shed) {
		return 0
	}
	return c.shed[rank]
}

// Sheds reports whether a generation is refused. random is uniformly distributed in [0, 1).
func (c *Controller) Sheds(rank int, random float64) bool { return random < c.ShedShare(rank) }
