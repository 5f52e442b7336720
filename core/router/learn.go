package router

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// estimates holds the estimates for one target, from the router's own requests and from delayed load reports.
type estimates struct {
	stepTime  estimate.Mean // seconds per token at the target, queueing included
	tokenRate estimate.Rate
	window    estimate.CongestionWindow
	queued    int // in the latest load report
	// running is the number of requests of all daemons in the latest load report.
	running int
	// links holds the estimates for links to other targets.
	links map[*target]*link
}

// targetClass identifies targets that share prior estimates.
type targetClass struct {
	accelerator string
	layers      int
}

// zonePair identifies an ordered pair of zones by the router's numbers for them.
type zonePair struct{ from, to int }

// link holds the estimate for the link between two targets.
type link struct{ transferTime estimate.Mean }

// zoneLinks holds the estimates that the links from one zone to another share.
type zoneLinks struct {
	transferTime estimate.Mean
	// shortest is the shortest transfer observed, in seconds. It estimates the latency without the transmission time of
	// the tokens.
	shortest float64
}

// classStepTime holds the step times of the targets of one class, in seconds.
type classStepTime struct {
	estimate.Mean
	// shortest is the shortest step observed, in seconds: that of a target with little load.
	shortest float64
}

func (c *classStepTime) observe(now time.Time, step float64) {
	c.Observe(now, step, classHalfLife)
	if c.shortest == 0 || step < c.shortest {
		c.shortest = step
	}
}

func classOf(t *target) targetClass { return targetClass{t.Accelerator, t.Layers.Len()} }

// learnHops records the hop samples of one progress summary.
func (r *Router) learnHops(hops []message.HopSample) {
	for i := range hops {
		t := r.targets.Get(hops[i].Target)
		if t == nil {
			continue
		}
		if hops[i].Step > 0 {
			t.estimates.stepTime.Observe(r.now, hops[i].Step.Seconds(), stepTimeHalfLife)
			r.stepTimeOfClass(classOf(t)).observe(r.now, hops[i].Step.Seconds())
		}
		if next := r.targets.Get(hops[i].Next); next != nil && hops[i].Transfer > 0 {
			r.learnLink(t, next, hops[i].Transfer.Seconds())
		}
	}
}

func (r *Router) stepTimeOfClass(c targetClass) *classStepTime {
	m, ok := r.classStepTimes[c]
	if !ok {
		m = &classStepTime{}
		r.classStepTimes[c] = m
	}
	return m
}

func (r *Router) learnLink(from, to *target, transfer float64) {
	if from.estimates.links == nil {
		from.estimates.links = make(map[*target]*link)
	}
	l, ok := from.estimates.links[to]
	if !ok {
		l = &link{}
		from.estimates.links[to] = l
	}
	l.transferTime.Observe(r.now, transfer, linkHalfLife)
	zones := zonePair{from.zoneIndex, to.zoneIndex}
	z, ok := r.zoneLinks[zones]
	if !ok {
		z = &zoneLinks{shortest: transfer}
		r.zoneLinks[zones] = z
	}
	z.transferTime.Observe(r.now, transfer, classHalfLife)
	z.shortest = min(z.shortest, transfer)
}

func (r *Router) applyLoad(in message.LoadReported) {
	t := r.targets.Get(in.Target)
	if t == nil {
		return
	}
	t.estimates.tokenRate.Observe(r.now.Add(-in.Age), in.TokensProcessed, rateHalfLife)
	t.estimates.queued, t.estimates.running = in.Queued, in.Running
	shortest := r.stepTimeOfClass(classOf(t)).shortest
	congested := in.Queued > 1+in.Running/50 || shortest > 0 && r.stepTime(t) > r.tuning.congestedStepRatio*shortest
	t.estimates.window.Observe(r.now, t.inProgress, congested)
}

// stepTime returns the expected time that one output token takes at the target, in seconds.
func (r *Router) stepTime(t *target) float64 {
	prior := r.stepTimeOfClass(classOf(t)).Value(r.now, classHalfLife, defaultStepTime.Seconds())
	return t.estimates.stepTime.Value(r.now, stepTimeHalfLife, prior)
}

// transferTime returns the expected time to transfer one output token over a link, and the part of it that grows with
// the number of tokens sent: the transmission time. Both are in seconds.
func (r *Router) transferTime(from, to *target) (tokenTime, transmissionTime float64) {
	z, ok := r.zoneLinks[zonePair{from.zoneIndex, to.zoneIndex}]
	if !ok {
		return defaultTransferTime.Seconds(), 0
	}
	prior := z.transferTime.Value(r.now, classHalfLife, z.shortest)
	tokenTime = prior
	if l, ok := from.estimates.links[to]; ok {
		tokenTime = l.transferTime.Value(r.now, linkHalfLife, prior)
	}
	return tokenTime, max(0, tokenTime-z.shortest)
}

const (
	stepTimeHalfLife    = time.Second
	classHalfLife       = 30 * time.Second
	linkHalfLife        = 20 * time.Second
	rateHalfLife        = 20 * time.Second
	defaultStepTime     = 10 * time.Millisecond
	defaultTransferTime = 500 * time.Microsecond
)
