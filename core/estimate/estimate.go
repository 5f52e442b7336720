// Package estimate estimates the speed of targets and links from measurements, and adapts the number of requests in
// progress at a target.
package estimate

import (
	"math"
	"time"
)

// Mean is an exponentially weighted mean: the weight of a sample halves every half-life. The zero value has no samples.
type Mean struct {
	sum, weight float64
	last        time.Time
}

// Observe adds a sample.
func (m *Mean) Observe(now time.Time, value float64, halfLife time.Duration) {
	m.decay(now, halfLife)
	m.sum += value
	m.weight++
}

func (m *Mean) decay(now time.Time, halfLife time.Duration) {
	if !m.last.IsZero() && now.After(m.last) {
		factor := math.Exp2(-float64(now.Sub(m.last)) / float64(halfLife))
		m.sum *= factor
		m.weight *= factor
	}
	m.last = now
}

// Weight returns the sum of the decayed weights of all samples; a new sample has weight 1.
func (m *Mean) Weight(now time.Time, halfLife time.Duration) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.weight * math.Exp2(-float64(max(0, now.Sub(m.last)))/float64(halfLife))
}

// Value returns the mean, with prior counted as one additional sample. Without new samples it converges to prior, so
// that a target or link that was slow is tried again.
func (m *Mean) Value(now time.Time, halfLife time.Duration, prior float64) float64 {
	weight := m.Weight(now, halfLife)
	if weight == 0 {
		return prior
	}
	return (m.sum/m.weight*weight + prior) / (weight + 1)
}

// Rate estimates the token rate that a target can reach, from its load reports. It uses the highest recent rate, since
// a target that is not saturated runs below its capacity.
type Rate struct {
	highest  float64
	tokens   uint64
	measured time.Time
}

// Observe adds the token counter of a load report that was measured at the given time. It returns the rate since the
// last report in tokens/s, or 0 if it is not known. A counter that decreases means that the target has restarted.
func (r *Rate) Observe(measured time.Time, tokens uint64, halfLife time.Duration) float64 {
	elapsed := measured.Sub(r.measured)
	if elapsed < 50*time.Millisecond && !r.measured.IsZero() {
		return 0 // duplicate or out of order, or the interval is too short for a rate
	}
	first := r.measured.IsZero() || tokens < r.tokens
	before := r.tokens
	r.tokens, r.measured = tokens, measured
	if first {
		return 0
	}
	rate := float64(tokens-before) / elapsed.Seconds()
	r.highest = math.Max(rate, r.highest*math.Exp2(-elapsed.Seconds()/halfLife.Seconds()))
	return rate
}

// Highest returns the highest recent rate in tokens/s, or 0 if none is known.
func (r *Rate) Highest() float64 { return r.highest }

// CongestionWindow limits the requests that one daemon has in progress at a target. Daemons that share a target do not
// coordinate. Each uses additive increase, multiplicative decrease: it grows its window while the window is full and
// load reports show no congestion of the target, and shrinks it by a factor when they show congestion. This leads to
// equal windows and a short queue. Until the first congestion, the window grows exponentially.
type CongestionWindow struct {
	size          float64
	slowStartDone bool // congestion was reported; growth is additive from then on
	lastDecrease  time.Time
}

const (
	initialWindow    = 8
	decreaseFactor   = 0.9
	decreaseInterval = 600 * time.Millisecond // until delayed load reports show the effect of a decrease
)

// Size returns the maximum number of requests in progress. It is infinite until the target has reported its load.
func (w *CongestionWindow) Size() float64 {
	if w.size == 0 {
		return math.Inf(1)
	}
	return w.size
}

// Observe adapts the window to a load report.
func (w *CongestionWindow) Observe(now time.Time, inProgress int, congested bool) {
	if w.size == 0 {
		w.size = math.Max(initialWindow, float64(inProgress))
	}
	size := w.size
	switch {
	case congested:
		if now.Sub(w.lastDecrease) >= decreaseInterval {
			w.size = math.Max(1, math.Min(size, float64(inProgress)+1)*decreaseFactor)
			w.slowStartDone, w.lastDecrease = true, now
		}
	case float64(inProgress) < size-1:
	case w.slowStartDone:
		w.size++
	default:
		w.size *= 1.25
	}
}
